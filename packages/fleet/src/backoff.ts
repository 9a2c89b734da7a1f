/** Exponential backoff with jitter, so that many instances don't retry at the same time. */
export class Backoff {
  readonly #initialMs: number
  readonly #maxMs: number
  readonly #random: () => number
  #attempts = 0

  constructor (initialMs: number, maxMs: number, random: () => number = Math.random) {
    this.#initialMs = initialMs
    this.#maxMs = maxMs
    this.#random = random
  }

  /**
   * Computes the delay before the next retry; every call doubles the upper bound, up to `maxMs`.
   *
   * @returns a random delay in milliseconds, at least half of `initialMs`
   */
  takePauseMs (): number {
    const ceiling = Math.min(this.#maxMs, this.#initialMs * 2 ** this.#attempts)
    this.#attempts++
    return Math.max(this.#initialMs / 2, this.#random() * ceiling)
  }

  /** Starts over with the initial delay, after a success. */
  reset (): void {
    this.#attempts = 0
  }
}
