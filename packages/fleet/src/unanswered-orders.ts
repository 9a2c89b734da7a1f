/** Identity of a run and of its start order. */
export interface RunIdentity {
  readonly task: string
  readonly attempt: number
}

/** A start order; `sentAt` is the local monotonic time in milliseconds at which it was sent. */
export interface UnansweredOrder extends RunIdentity {
  readonly sentAt: number
}

/**
 * Start orders to one target that were not answered and may still be carried out. An incarnation of
 * the target refuses such an order after it accepted a stop for it or after the order's deadline.
 * Neither holds in a new incarnation, which therefore needs a new stop order.
 */
export class UnansweredOrders {
  readonly #lateOrderMs: number
  /** The highest attempt of each task; a stop order also covers all earlier attempts. */
  readonly #orders = new Map<string, UnansweredOrder>()

  /** @param lateOrderMs - time in milliseconds after which an unanswered order can no longer be carried out */
  constructor (lateOrderMs: number) {
    this.#lateOrderMs = lateOrderMs
  }

  /** Records a start order as unanswered. */
  record (order: UnansweredOrder): void {
    this.#expire(order.sentAt)
    // The attempts of a job that was dropped and submitted again are numbered from the start.
    const attempt = Math.max(order.attempt, this.#orders.get(order.task)?.attempt ?? 0)
    // Deleting first keeps the map in the order in which the orders were sent.
    this.#orders.delete(order.task)
    this.#orders.set(order.task, { task: order.task, attempt, sentAt: order.sentAt })
  }

  /** Forgets an order that was answered after all, unless it was sent again since. */
  settle ({ task, attempt }: RunIdentity, sentAt: number): void {
    const order = this.#orders.get(task)
    if (order?.attempt === attempt && order.sentAt === sentAt) this.#orders.delete(task)
  }

  /** @returns the orders that may still be carried out */
  list (now: number): readonly UnansweredOrder[] {
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
