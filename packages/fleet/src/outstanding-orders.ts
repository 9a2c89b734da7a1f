import { parseTaskName } from './job-types.js'
import { type AnnouncedStart } from './messages.js'
import { type OwnerConnection } from './owner-registry.js'
import { type TargetInfo } from './target-types.js'

/** A start order that was not answered and that a later incarnation of its target may still carry out. */
export interface OutstandingOrder {
  readonly task: string
  readonly attempt: number
  /** Id of the target. */
  readonly target: string
  /** Address that the order was sent to; undefined for an order of another dispatcher. */
  readonly address?: string
  /** Monotonic time in milliseconds from which the order can't be carried out any more. */
  readonly expiresAt: number
  /** Whether the target is in another failure domain, whose dispatcher knows of the order as well if there is one. */
  readonly isElsewhere?: boolean
  /** Incarnation ids of the owners that have reported the order, if nothing but their reports tells of it. */
  readonly reporters?: readonly string[]
  /** Monotonic times in milliseconds at which this dispatcher has sent the order without an answer. */
  readonly sentAt?: readonly number[]
}

/** How a task may start while orders of it are outstanding: only by the very same order. */
export interface StartHold {
  readonly attempt: number
  /** Id of the target; undefined if the task may not start at all, because several orders are outstanding or theirs can't be sent again. */
  readonly target: string | undefined
  /** Address of that target; undefined if it is not known. */
  readonly address: string | undefined
  /** Monotonic time in milliseconds at which the hold ends. */
  readonly expiresAt: number
}

/** An order with how often other dispatchers have sent it without an answer, at most. */
interface CountedOrder extends OutstandingOrder {
  readonly reportedSends: number
}

/** The outstanding orders of one task. */
interface TaskOrders {
  readonly orders: readonly CountedOrder[]
  /** Whether the target refuses the order's attempt. */
  readonly isBarred: boolean
  /** Connections of the owners that know of the orders. */
  readonly witnesses: readonly OwnerConnection[]
}

/** @returns whether a task may start at a target while orders of it are outstanding */
export function allowsTarget ({ target, address }: StartHold, info: TargetInfo): boolean {
  return info.id === target && (address === undefined || info.address === address)
}

/**
 * The start orders that one dispatcher knows to be outstanding, its own and those of lost dispatchers. A stop that the target
 * has accepted, or a higher token that it has seen, bars such an order only until the target restarts. Until the order is too old,
 * the task may therefore start only by the same order, at the same target and for the same attempt: a restart of the target ends the run
 * before the late order can be carried out, and an order that arrives beside the run has no effect.
 */
export class OutstandingOrders {
  readonly #byTask = new Map<string, TaskOrders>()

  /** Number of tasks with outstanding orders. */
  get size (): number { return this.#byTask.size }

  /**
   * Records an order.
   *
   * @param reportedSends - how often other dispatchers have sent it without an answer, at most
   * @param witnesses - connections of the owners that know of it
   */
  record (order: OutstandingOrder, reportedSends: number, witnesses: readonly OwnerConnection[]): void {
    const known = this.#byTask.get(order.task)
    const earlier = known?.orders.find(other => isSameOrder(other, order))
    const others = known?.orders.filter(other => other !== earlier) ?? []
    this.#byTask.set(order.task, {
      orders: [...others, earlier === undefined ? { ...order, reportedSends } : mergeOrders(earlier, order, reportedSends)],
      isBarred: known?.isBarred ?? false,
      witnesses: [...new Set([...known?.witnesses ?? [], ...witnesses])]
    })
  }

  /**
   * Takes back the report of an order that was answered.
   *
   * @param reporter - incarnation id of the owner that has reported it
   * @returns connections of the owners that know of an order that is not outstanding any more
   */
  retract (order: AnnouncedStart, reporter: string): readonly OwnerConnection[] {
    const reported = this.#find(order)
    if (reported?.reporters?.includes(reporter) !== true || countSends(reported) > 1) return []
    const reporters = reported.reporters.filter(other => other !== reporter)
    return this.#replace(reported, reporters.length === 0 ? undefined : { ...reported, reporters })
  }

  /**
   * Notes that one send of an order by this dispatcher was answered after all.
   *
   * @returns as for `retract`
   */
  settleSend (order: AnnouncedStart, sentAt: number): readonly OwnerConnection[] {
    const known = this.#find(order)
    if (known?.sentAt?.includes(sentAt) !== true) return []
    const remaining = { ...known, sentAt: known.sentAt.filter(other => other !== sentAt) }
    return this.#replace(known, countSends(remaining) === 0 ? undefined : remaining)
  }

  /**
   * Notes that an order was carried out. It is carried out once each time that it was sent.
   *
   * @returns connections of the owners that know of an order that is not outstanding any more
   */
  settle (task: string, attempt: number): readonly OwnerConnection[] {
    const known = this.#byTask.get(task)
    const [order, ...others] = known?.orders ?? []
    if (known === undefined || others.length > 0 || order?.attempt !== attempt || countSends(order) !== 1) return []
    this.#byTask.delete(task)
    return known.witnesses
  }

  /** Notes that an owner knows of the orders of a task in place of those that did before. */
  replaceWitnesses (task: string, witness: OwnerConnection): void {
    const known = this.#byTask.get(task)
    if (known !== undefined) this.#byTask.set(task, { ...known, witnesses: [witness] })
  }

  /**
   * @param isOpen - whether a connection has not been closed
   * @returns the orders that no connected owner knows of, and whether they may have been sent several times
   */
  listUnwitnessed (isOpen: (connection: OwnerConnection) => boolean): ReadonlyArray<{ readonly order: OutstandingOrder, readonly isRepeated: boolean }> {
    return [...this.#byTask.values()].filter(({ witnesses }) => !witnesses.some(isOpen)).flatMap(({ orders }) => orders.map(order => ({ order, isRepeated: countSends(order) > 1 })))
  }

  /** Notes that the target refuses the attempt of a task's order, as a run of it has ended there or was stopped. */
  bar (task: string): void {
    const known = this.#byTask.get(task)
    if (known !== undefined) this.#byTask.set(task, { ...known, isBarred: true })
  }

  /** @returns how the task may start; undefined if no order of it is outstanding */
  findHold (task: string, now: number): StartHold | undefined {
    const known = this.#byTask.get(task)
    const orders = known?.orders.filter(({ expiresAt }) => expiresAt > now) ?? []
    const [first, ...others] = orders
    if (known === undefined || first === undefined) return undefined
    const { attempt, target, address } = first
    const expiresAt = Math.max(...orders.map(order => order.expiresAt))
    if (known.isBarred || others.length > 0) return { attempt, target: undefined, address: undefined, expiresAt }
    return { attempt, target, address, expiresAt }
  }

  /** @returns the names of the tasks with outstanding orders */
  listTasks (): readonly string[] {
    return [...this.#byTask.keys()]
  }

  /** @returns whether an order is outstanding */
  has ({ task, attempt, target }: AnnouncedStart): boolean {
    return this.#byTask.get(task)?.orders.some(order => order.attempt === attempt && order.target === target) === true
  }

  /** @returns all outstanding orders */
  list (): readonly OutstandingOrder[] {
    return [...this.#byTask.values()].flatMap(({ orders }) => orders)
  }

  /** @returns ids of the jobs of tasks that may start only at targets of this domain, or not at all */
  listJobs (): readonly string[] {
    const tasks = [...this.#byTask].filter(([, { orders }]) => orders.some(({ isElsewhere }) => isElsewhere !== true)).map(([task]) => task)
    return [...new Set(tasks.map(task => parseTaskName(task)?.jobId).filter(jobId => jobId !== undefined))]
  }

  #find (order: AnnouncedStart): CountedOrder | undefined {
    return this.#byTask.get(order.task)?.orders.find(other => isSameOrder(other, order))
  }

  /** @returns the connections of the owners that know of the task's orders, if none is left */
  #replace (order: CountedOrder, replacement: CountedOrder | undefined): readonly OwnerConnection[] {
    const known = this.#byTask.get(order.task)!
    const orders = [...known.orders.filter(other => other !== order), ...(replacement === undefined ? [] : [replacement])]
    if (orders.length > 0) {
      this.#byTask.set(order.task, { ...known, orders })
      return []
    }
    this.#byTask.delete(order.task)
    return known.witnesses
  }

  /** Removes the orders that can't be carried out any more. */
  expire (now: number): void {
    for (const [task, { orders }] of this.#byTask) {
      if (orders.every(({ expiresAt }) => expiresAt <= now)) this.#byTask.delete(task)
    }
  }
}

function isSameOrder (one: AnnouncedStart, other: AnnouncedStart): boolean {
  return one.attempt === other.attempt && one.target === other.target
}

function countSends ({ reportedSends, sentAt = [] }: CountedOrder): number {
  return reportedSends + sentAt.length
}

/** Adds a report, or a further send of this dispatcher, to what is known of an order. */
function mergeOrders (known: CountedOrder, order: OutstandingOrder, reportedSends: number): CountedOrder {
  const address = order.address ?? known.address
  const isElsewhere = known.isElsewhere === true && order.isElsewhere === true
  const reporters = known.reporters !== undefined && order.reporters !== undefined ? [...new Set([...known.reporters, ...order.reporters])] : undefined
  const { task, attempt, target } = known
  return {
    task,
    attempt,
    target,
    expiresAt: Math.max(order.expiresAt, known.expiresAt),
    // Several witnesses report the same send.
    reportedSends: Math.max(known.reportedSends, reportedSends),
    sentAt: [...known.sentAt ?? [], ...order.sentAt ?? []],
    ...(address === undefined ? {} : { address }),
    ...(isElsewhere ? { isElsewhere } : {}),
    ...(reporters === undefined ? {} : { reporters })
  }
}
