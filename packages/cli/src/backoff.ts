import { setTimeout as wait } from 'node:timers/promises'

const minBackoffMs = 100
const maxBackoffMs = 2_000

/**
 * Computes the pause before a retry: exponential up to 2 s, with half of it random so that
 * clients that lost the same server at once do not retry at the same moment.
 *
 * @param failedTries - number of failed tries so far, from 1
 * @param randomFraction - a number from 0 to 1
 * @returns the pause in milliseconds
 */
export function computeBackoffMs (failedTries: number, randomFraction: number): number {
  const ceilingMs = Math.min(maxBackoffMs, minBackoffMs * 2 ** Math.min(failedTries - 1, 10))
  return ceilingMs / 2 + ceilingMs / 2 * randomFraction
}

/**
 * Waits until the time has passed or the signal is aborted.
 *
 * @param ms - time in milliseconds
 * @param signal - ends the wait early, without an error
 */
export async function sleep (ms: number, signal?: AbortSignal): Promise<void> {
  try {
    await wait(ms, undefined, signal === undefined ? {} : { signal })
  } catch {
    // The promise rejects only when the signal is aborted.
  }
}
