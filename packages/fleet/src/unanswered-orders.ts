import { type Run } from './run.js'

/** Identity of a start order. */
export interface RunIdentity {
  readonly task: string
  readonly attempt: number
}

interface UnansweredOrder extends RunIdentity {
  readonly sentAt: number
}

/**
 * Start orders to one target that got no answer and may still be carried out. Within a life of
 * the target an accepted stop or the order's deadline bars them; a new life knows of neither, so
 * it must be told anew.
 */
export class UnansweredOrders {
  readonly #lateOrderMs: number
  /** The newest order of each task; a bar holds for all earlier attempts. */
  readonly #orders = new Map<string, UnansweredOrder>()

  /** @param lateOrderMs - time after which an order is surely not carried out any more */
  constructor (lateOrderMs: number) {
    this.#lateOrderMs = lateOrderMs
  }

  record (run: Run): void {
    this.#expire(run.sentAt)
    // Deleted first, so that the orders stay sorted by the time at which they were sent.
    this.#orders.delete(run.task)
    this.#orders.set(run.task, { task: run.task, attempt: run.attempt, sentAt: run.sentAt })
  }

  /** @returns orders that may still be carried out */
  list (now: number): readonly RunIdentity[] {
    this.#expire(now)
    return [...this.#orders.values()]
  }

  #expire (now: number): void {
    for (const [task, order] of this.#orders) {
      if (now - order.sentAt <= this.#lateOrderMs) break
      this.#orders.delete(task)
    }
  }
}
