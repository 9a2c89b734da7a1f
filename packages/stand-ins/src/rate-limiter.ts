import { setTimeout as delay } from 'node:timers/promises'

/** Shorter waits in milliseconds are left out, since timers have a resolution of 1 ms. */
const minWaitMs = 1

/** Delays requests that arrive faster than a service handles them; they are served in order. */
export class RateLimiter {
  readonly #intervalMs: number
  #nextFreeAt = 0

  /**
   * @param perSecond - requests that the service handles in a second
   */
  constructor (perSecond: number) { this.#intervalMs = 1_000 / perSecond }

  /**
   * Waits for the turn of a request.
   *
   * @param serviceMs - time in milliseconds that the request takes after its turn has come
   */
  async wait (serviceMs: number): Promise<void> {
    const now = performance.now()
    const startsAt = Math.max(now, this.#nextFreeAt)
    this.#nextFreeAt = startsAt + this.#intervalMs
    const waitMs = startsAt - now + serviceMs
    if (waitMs >= minWaitMs) await delay(waitMs)
  }
}
