import { slowestClockRate } from './limits.js'

/** What is known of a target's clock, from the times in its replies. */
export class TargetClock {
  #clock: number | undefined
  #receivedAt = 0
  #sentAt = 0
  /** Latest lease end that any order has asked for, on the target's clock. */
  #latestLease = -Infinity

  /** Records the clock in a reply to a request that was sent at `sentAt`; times are local and monotonic. */
  recordReply (clock: number, sentAt: number, receivedAt: number): void {
    if (this.#clock !== undefined && receivedAt < this.#receivedAt) return
    this.#clock = clock
    this.#sentAt = sentAt
    this.#receivedAt = receivedAt
  }

  /** Forgets all, for a new life of the target. */
  reset (): void {
    this.#clock = undefined
    this.#latestLease = -Infinity
  }

  /** @returns a time on the target's clock that has surely been reached, or undefined before the first reply */
  estimateLowerBound (now: number): number | undefined {
    if (this.#clock === undefined) return undefined
    return this.#clock + Math.floor((now - this.#receivedAt) * slowestClockRate)
  }

  /** @returns the end of a lease of `leaseMs` that begins when the order arrives */
  computeLeaseEnd (now: number, leaseMs: number): number | undefined {
    if (this.#clock === undefined) return undefined
    return Math.ceil(this.#clock + (now - this.#sentAt) + leaseMs)
  }

  /** Records a lease end that an order asks for, whether or not it arrives. */
  recordLeaseEnd (until: number): void {
    this.#latestLease = Math.max(this.#latestLease, until)
  }

  /** @returns whether every lease has surely ended, also when the target's clock is slow */
  haveAllLeasesLapsed (now: number): boolean {
    const lower = this.estimateLowerBound(now)
    return lower === undefined || lower > this.#latestLease
  }
}
