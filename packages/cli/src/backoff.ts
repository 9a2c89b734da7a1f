import { setTimeout as wait } from 'node:timers/promises'

const shortestMs = 100
const longestMs = 2_000

/**
 * Computes the pause before another try. Half of it is random, so that clients that lost the
 * same server do not come back together.
 *
 * @param tries - failed tries so far, from 1
 * @param random - a number from 0 to 1
 * @returns the pause in milliseconds
 */
export function computeBackoffMs (tries: number, random: number): number {
  const full = Math.min(longestMs, shortestMs * 2 ** Math.min(tries - 1, 10))
  return full / 2 + full / 2 * random
}

/**
 * Waits, unless the signal ends the wait.
 *
 * @param ms - time in milliseconds
 * @param signal - ends the wait early without an error
 */
export async function sleep (ms: number, signal?: AbortSignal): Promise<void> {
  try {
    await wait(ms, undefined, signal === undefined ? {} : { signal })
  } catch {
    // Only the signal rejects the wait.
  }
}
