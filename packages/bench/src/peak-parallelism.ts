import { type StartRecord } from './history-records.js'

/**
 * Computes the largest number of tasks that ran at the same time.
 *
 * @param since - time before which peaks are ignored; tasks started earlier still count as running
 */
export function computePeakParallelism (starts: readonly StartRecord[], since: number): number {
  const events = starts.flatMap(({ at, endedAt }) => [{ at, change: 1 }, { at: endedAt, change: -1 }])
  events.sort((a, b) => a.at - b.at || a.change - b.change)
  let running = 0
  let peak = 0
  for (const { at, change } of events) {
    running += change
    if (at >= since && change > 0) peak = Math.max(peak, running)
  }
  return peak
}
