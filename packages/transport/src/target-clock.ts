import { type TargetReply } from '@sesamereel/protocol'

/**
 * Oldest reading in milliseconds that a start may be computed from. The margin of the loans
 * allows a drift of 200 ms in 14 s between two clocks, so an older reading is not used.
 */
export const maxClockReadingAgeMs = 14_000

/** The latest boot id and clock reading of one target (docs/design.md, section 4.1). */
export class TargetClock {
  #boot: string | undefined
  #clockMs = 0
  #receivedAt = 0

  /**
   * Keeps the reading of a reply.
   *
   * @param reply - fields that every reply of a target has
   * @param now - time of receipt on the own clock in milliseconds
   */
  recordReply (reply: TargetReply, now: number): void {
    this.#boot = reply.boot
    this.#clockMs = reply.clockMs
    this.#receivedAt = now
  }

  /**
   * Converts a deadline to the target's clock. The target's clock is at least the reading plus
   * the time since its receipt, so the target reaches the result no later than the deadline.
   *
   * @param deadline - latest start on the own clock in milliseconds
   * @param now - own clock in milliseconds
   * @returns the boot id and the latest start on the target's clock, or undefined without a recent reading
   */
  convertDeadline (deadline: number, now: number): { readonly boot: string, readonly startBy: number } | undefined {
    if (this.#boot === undefined || now - this.#receivedAt > maxClockReadingAgeMs) return undefined
    return { boot: this.#boot, startBy: this.#clockMs + (deadline - this.#receivedAt) }
  }

  /**
   * Tells how old the reading is.
   *
   * @returns age in milliseconds, infinite before the first reply
   */
  computeReadingAgeMs (now: number): number {
    return this.#boot === undefined ? Infinity : now - this.#receivedAt
  }
}
