import { type Clock } from '@sesamereel/coordination'

/** Grid in milliseconds on which periodic timers fire, so that several of one process share a wake-up. */
const gridMs = 50

/**
 * Runs a task periodically. All timers of a process with intervals that are multiples of the grid fire
 * together; the first interval is shorter accordingly.
 *
 * @param intervalMs - time in milliseconds between two calls
 * @returns a function that ends the calls
 */
export function startPeriodicTimer (clock: Clock, intervalMs: number, task: () => void): () => void {
  let cancel = (): void => {}
  let dueAt = -Infinity
  const schedule = (): void => {
    // A timer may fire up to a millisecond early, so the next call is counted from the time at which this one was due.
    dueAt = Math.max(dueAt + intervalMs, Math.floor((clock.now() + intervalMs) / gridMs) * gridMs)
    cancel = clock.startTimer(Math.max(1, dueAt - clock.now()), () => {
      schedule()
      task()
    })
  }
  schedule()
  return () => { cancel() }
}
