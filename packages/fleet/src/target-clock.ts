import { slowestClockRate } from './limits.js'

/** Estimates a target's clock from the times in its replies. All times are in milliseconds. */
export class TargetClock {
  #clockMs: number | undefined
  #receivedAt = 0
  /** Latest lease end that any order has requested, on the target's clock. */
  #latestLeaseEnd = -Infinity

  /**
   * Records the clock in a reply, unless a reply that was received later is recorded already.
   *
   * @param clockMs - the target's clock when it replied
   * @param receivedAt - local monotonic time at which the reply arrived
   */
  recordReply (clockMs: number, receivedAt: number): void {
    if (this.#clockMs !== undefined && receivedAt < this.#receivedAt) return
    this.#clockMs = clockMs
    this.#receivedAt = receivedAt
  }

  /** Discards all state when a new incarnation of the target begins. */
  reset (): void {
    this.#clockMs = undefined
    this.#latestLeaseEnd = -Infinity
  }

  /** @returns a time that the target's clock has reached for certain, or undefined before the first reply */
  estimateLowerBound (now: number): number | undefined {
    if (this.#clockMs === undefined) return undefined
    return this.#clockMs + Math.floor((now - this.#receivedAt) * slowestClockRate)
  }

  /**
   * @param limitAt - local time by which the lease must have ended, even if the target's clock is slow
   * @returns the end, on the target's clock, of a lease of at most `leaseMs` from now; undefined before the first reply and when the limit has passed
   */
  computeLeaseEnd (now: number, leaseMs: number, limitAt = Infinity): number | undefined {
    if (this.#clockMs === undefined || limitAt <= now) return undefined
    return this.estimateLowerBound(now)! + Math.floor(Math.min(leaseMs, (limitAt - now) * slowestClockRate))
  }

  /** Records a lease end that an order requests, whether or not the order arrives. */
  recordLeaseEnd (leaseEnd: number): void {
    this.#latestLeaseEnd = Math.max(this.#latestLeaseEnd, leaseEnd)
  }

  /** @returns the local time by which every lease has ended for certain, even if the target's clock is slow */
  computeLatestLeaseEndAt (): number {
    if (this.#clockMs === undefined) return -Infinity
    return this.#receivedAt + (this.#latestLeaseEnd - this.#clockMs) / slowestClockRate
  }

  /** @returns whether every lease has ended for certain, even if the target's clock is slow */
  haveAllLeasesExpired (now: number): boolean {
    const lower = this.estimateLowerBound(now)
    return lower === undefined || lower > this.#latestLeaseEnd
  }
}
