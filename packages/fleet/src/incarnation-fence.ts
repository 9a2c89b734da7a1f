import { type FleetLimits, slowestClockRate } from './limits.js'

/**
 * Whether a delayed request to an earlier incarnation of a target may still be carried out by the current one. It can't
 * once the current one has answered a request with a higher token, or once every such request is too old.
 * Load pattern: a target goes down and up, and requests that its earlier incarnations left unanswered arrive up to
 * 12 s later.
 */
export class IncarnationFence {
  /** Time in milliseconds after which no delayed request to an earlier incarnation has an effect any more. */
  readonly #holdMs: number
  #requiredToken = 0
  #heldUntil = -Infinity

  constructor (limits: FleetLimits) {
    // The last delayed poll may extend the leases once more.
    this.#holdMs = limits.lateOrderMs + limits.maxLeaseMs / slowestClockRate
  }

  /** The lowest token whose answer confirms the fence. */
  get requiredToken (): number { return this.#requiredToken }

  /**
   * Begins a new incarnation.
   *
   * @param requiredToken - lowest token above those of all requests to earlier incarnations; 0 if there were none
   * @param now - monotonic time in milliseconds, not before the last of these requests was sent
   */
  begin (requiredToken: number, now: number): void {
    this.#requiredToken = requiredToken
    this.#heldUntil = requiredToken > 0 ? now + this.#holdMs : -Infinity
  }

  /** Records that the current incarnation has answered a request with the given token. */
  recordAnswer (token: number): void {
    if (token >= this.#requiredToken) this.#heldUntil = -Infinity
  }

  /** @returns whether no request to an earlier incarnation can be carried out any more */
  isConfirmed (now: number): boolean {
    return now >= this.#heldUntil
  }
}
