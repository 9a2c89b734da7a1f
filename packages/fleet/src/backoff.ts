/** Pauses between retries: exponential with full jitter, so that many instances don't retry together. */
export class Backoff {
  readonly #firstMs: number
  readonly #longestMs: number
  readonly #random: () => number
  #tries = 0

  constructor (firstMs: number, longestMs: number, random: () => number = Math.random) {
    this.#firstMs = firstMs
    this.#longestMs = longestMs
    this.#random = random
  }

  /** @returns the next pause in milliseconds, at least a half of `firstMs` */
  takePauseMs (): number {
    const ceiling = Math.min(this.#longestMs, this.#firstMs * 2 ** this.#tries)
    this.#tries++
    return Math.max(this.#firstMs / 2, this.#random() * ceiling)
  }

  reset (): void {
    this.#tries = 0
  }
}
