/**
 * Bounds in milliseconds: a stall of this process must not look like a lost answer, and the delay
 * after a lost answer must stay short.
 */
const minTimeoutMs = 60
const maxTimeoutMs = 150

/** Parameters of the moving averages, as in TCP's retransmission timeout (RFC 6298). */
const smoothingWeight = 1 / 8
const variationWeight = 1 / 4
const variationFactor = 4

/**
 * Adapts the timeout of orders to the response times of a target. When a few of many orders get no
 * answer, a task whose start order was lost can start elsewhere only after this timeout.
 */
export class OrderTimeout {
  #smoothedResponseMs: number | undefined
  #variationMs = 0

  /** @returns the time in milliseconds after which an order counts as unanswered */
  get timeoutMs (): number {
    if (this.#smoothedResponseMs === undefined) return maxTimeoutMs
    return Math.min(maxTimeoutMs, Math.max(minTimeoutMs, this.#smoothedResponseMs + variationFactor * this.#variationMs))
  }

  /** Records the response time of an answered order, in milliseconds. */
  record (responseMs: number): void {
    if (this.#smoothedResponseMs === undefined) {
      this.#smoothedResponseMs = responseMs
      this.#variationMs = responseMs / 2
      return
    }
    this.#variationMs += (Math.abs(this.#smoothedResponseMs - responseMs) - this.#variationMs) * variationWeight
    this.#smoothedResponseMs += (responseMs - this.#smoothedResponseMs) * smoothingWeight
  }
}
