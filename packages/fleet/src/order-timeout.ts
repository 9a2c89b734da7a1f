/** Bounds in milliseconds: a stall of this process must not look like a lost answer, and a lost one must not cost long. */
const shortestMs = 60
const longestMs = 150

/** Weights of the newest time, as TCP has them for its retransmission timeout (RFC 6298). */
const smoothingWeight = 1 / 8
const variationWeight = 1 / 4
const variationFactor = 4

/**
 * Decides how long an order to a target may take until it counts as unanswered. It answers the load
 * pattern in which a few of many orders get no answer: a task whose start was lost can start
 * elsewhere only after that time.
 */
export class OrderTimeout {
  #smoothedMs: number | undefined
  #variationMs = 0

  /** @returns milliseconds */
  get timeoutMs (): number {
    if (this.#smoothedMs === undefined) return longestMs
    return Math.min(longestMs, Math.max(shortestMs, this.#smoothedMs + variationFactor * this.#variationMs))
  }

  /** Records the time that an answer took, in milliseconds. */
  record (tookMs: number): void {
    if (this.#smoothedMs === undefined) {
      this.#smoothedMs = tookMs
      this.#variationMs = tookMs / 2
      return
    }
    this.#variationMs += (Math.abs(this.#smoothedMs - tookMs) - this.#variationMs) * variationWeight
    this.#smoothedMs += (tookMs - this.#smoothedMs) * smoothingWeight
  }
}
