import { type Clock } from '@sesamereel/coordination'
import { type StopReply } from './target-types.js'
import { type UnansweredOrder } from './unanswered-orders.js'

/** Pause in milliseconds before an unanswered stop order is sent again. */
export const stopRetryMs = 200

/**
 * Blocks start orders that were sent to a target and not answered, by stop orders: a target refuses a start
 * that arrives after the stop. Orders are repeated until one is answered.
 */
export class OrderBlocker {
  readonly #clock: Clock
  readonly #lateOrderMs: number
  readonly #sendStop: (order: UnansweredOrder) => Promise<StopReply>
  #pendingCount = 0

  /**
   * @param lateOrderMs - time in milliseconds after which an order can no longer be carried out
   * @param sendStop - sends the stop order for a start order
   */
  constructor (clock: Clock, lateOrderMs: number, sendStop: (order: UnansweredOrder) => Promise<StopReply>) {
    this.#clock = clock
    this.#lateOrderMs = lateOrderMs
    this.#sendStop = sendStop
  }

  /** @returns whether orders wait for the answer to their stop order */
  get isPending (): boolean { return this.#pendingCount > 0 }

  /**
   * Resolves when a stop order was accepted or the start order can't arrive any more.
   *
   * @param isNeeded - returns false once the order's target has restarted again or its session is closed
   */
  async block (order: UnansweredOrder, isNeeded: () => boolean): Promise<void> {
    this.#pendingCount++
    while (isNeeded() && this.#clock.now() - order.sentAt <= this.#lateOrderMs) {
      const reply = await this.#sendStop(order)
      if (reply.kind === 'accepted' || (reply.kind === 'rejected' && reply.reason !== 'invalid')) break
      await new Promise<void>(resolve => { this.#clock.startTimer(stopRetryMs, resolve) })
    }
    this.#pendingCount--
  }
}
