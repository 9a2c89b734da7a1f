import { type StartRecord } from './history-records.js'

/**
 * Counts the most tasks that ran at one moment.
 *
 * @param since - moments before this time are left out
 */
export function computePeakParallelism (starts: readonly StartRecord[], since: number): number {
  const events = starts.flatMap(({ at, endedAt }) => [{ at, change: 1 }, { at: endedAt, change: -1 }])
  events.sort((a, b) => a.at - b.at || a.change - b.change)
  let present = 0
  let most = 0
  for (const { at, change } of events) {
    present += change
    if (at >= since && change > 0) most = Math.max(most, present)
  }
  return most
}
