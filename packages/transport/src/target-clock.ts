import { type TargetReply } from '@sesamereel/protocol'

/**
 * Maximum age in milliseconds of a clock reading that a start deadline is computed from. The safety
 * margin of loans allows two clocks to drift by 200 ms in 14 s, so an older reading is not used.
 */
export const maxClockReadingAgeMs = 14_000

/** Holds the latest boot id and clock reading of one target (docs/design.md, section 4.1). */
export class TargetClock {
  #bootId: string | undefined
  #clockMs = 0
  #receivedAt = 0

  /**
   * Records the boot id and clock reading of a reply.
   *
   * @param reply - fields that every reply of a target has
   * @param now - time of receipt on the local clock in milliseconds
   */
  recordReply (reply: TargetReply, now: number): void {
    this.#bootId = reply.boot
    this.#clockMs = reply.clockMs
    this.#receivedAt = now
  }

  /**
   * Converts a start deadline to the target's clock. The target's clock now shows at least the reading
   * plus the time since its receipt, so it reaches the converted deadline no later than the deadline itself.
   *
   * @param deadline - latest start on the local clock in milliseconds
   * @param now - current time on the local clock in milliseconds
   * @returns the boot id and the latest start on the target's clock, or undefined without a recent reading
   */
  convertDeadline (deadline: number, now: number): { readonly boot: string, readonly startBy: number } | undefined {
    if (this.#bootId === undefined || now - this.#receivedAt > maxClockReadingAgeMs) return undefined
    return { boot: this.#bootId, startBy: this.#clockMs + (deadline - this.#receivedAt) }
  }

  /**
   * Computes the age of the latest reading.
   *
   * @returns the age in milliseconds, `Infinity` before the first reply
   */
  computeReadingAgeMs (now: number): number {
    return this.#bootId === undefined ? Infinity : now - this.#receivedAt
  }
}
