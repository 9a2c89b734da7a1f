import { type DispatchState } from './dispatch-state.js'
import { type DispatchedJob, type TaskRecord } from './dispatched-job.js'
import { slowestClockRate, type FleetLimits } from './limits.js'
import { type AnnouncedStart, type EarlierOrder } from './messages.js'
import { type OrderRecorder, type RecordedOrder } from './order-recorder.js'
import { allowsTarget, type StartHold } from './outstanding-orders.js'
import { type OwnerConnection } from './owner-registry.js'
import { type SessionContexts } from './session-contexts.js'
import { type WitnessChoice } from './witness-choice.js'

/**
 * Tasks that may start only at one target, because an order of them may still be carried out there after a restart. Learns of the
 * orders of lost dispatchers, and ends jobs that can't wait for the target or for the end of the hold.
 */
export class HeldTasks {
  readonly #state: DispatchState
  readonly #limits: FleetLimits
  readonly #contexts: SessionContexts
  readonly #choice: WitnessChoice
  readonly #recorder: OrderRecorder | undefined
  /** Held tasks that were logged. */
  readonly #logged = new WeakSet<TaskRecord>()

  /** @param recorder - keeps the orders in the store; undefined if it is not used */
  constructor (state: DispatchState, limits: FleetLimits, contexts: SessionContexts, choice: WitnessChoice, recorder: OrderRecorder | undefined) {
    this.#state = state
    this.#limits = limits
    this.#contexts = contexts
    this.#choice = choice
    this.#recorder = recorder
  }

  /** Records the orders of lost dispatchers that a witness reports. */
  receive (connection: OwnerConnection, orders: readonly EarlierOrder[]): void {
    const now = this.#state.now()
    for (const { task, attempt, target, isUnanswered, remainingMs } of orders) {
      if (!isUnanswered && this.#state.sessions.get(target)?.hasListed(task, attempt) === true) {
        connection.send({ type: 'order-settled', task, attempt })
        continue
      }
      this.#state.outstanding.record({ task, attempt, target, expiresAt: now + remainingMs, reporters: [connection.ownerId] }, isUnanswered ? Infinity : 1, [connection])
      this.#contexts.awaitIncarnations(target, now + remainingMs)
      // The dispatcher of the target's own domain records the others.
      if (this.#state.sessions.has(target)) this.#recorder?.add({ task, attempt, target })
    }
    this.#state.metrics.countOutstandingOrders('reported', orders.length)
    this.#state.log('belief', 'earlier-orders-known', { owner: connection.ownerId, orders: orders.length, targets: new Set(orders.map(({ target }) => target)).size, longestMs: Math.round(Math.max(...orders.map(({ remainingMs }) => remainingMs))) })
  }

  /** Releases the tasks of orders that a witness has reported, if no one else has, as they were answered. */
  retract (connection: OwnerConnection, orders: readonly AnnouncedStart[]): void {
    for (const order of orders) {
      const { task, attempt } = order
      for (const witness of this.#state.outstanding.retract(order, connection.ownerId)) witness.send({ type: 'order-settled', task, attempt })
    }
  }

  /** Holds the tasks of orders that the store has kept for lost dispatchers of all domains, as their jobs may be submitted here. */
  receiveRecorded (orders: readonly RecordedOrder[], domain: string): void {
    const now = this.#state.now()
    for (const { task, attempt, target, domain: ofDomain, remainingMs } of orders) {
      this.#state.outstanding.record({ task, attempt, target, expiresAt: now + remainingMs, isElsewhere: ofDomain !== domain }, Infinity, [])
      this.#contexts.awaitIncarnations(target, now + remainingMs)
    }
  }

  /**
   * Ends the jobs with a waiting task whose only target is out of reach, if their answers are of no use by the end of the hold.
   */
  check (now: number): void {
    const { outstanding } = this.#state
    if (outstanding.size === 0) return
    this.#replaceWitnesses(now)
    for (const name of outstanding.listTasks()) {
      const { job, task } = this.#state.findTask(name)
      const hold = outstanding.findHold(name, now)
      if (job === undefined || task?.state !== 'waiting' || hold === undefined) continue
      const isReachable = this.#isReachable(hold, now)
      this.#logHold(job, task, hold, now, isReachable)
      if (isReachable || job.usefulUntil >= hold.expiresAt) continue
      this.#state.metrics.countOutstandingOrders('given-up', 1)
      this.#state.endJob(job, { kind: 'unknown', reason: 'start-unconfirmed' })
    }
  }

  /** Tells another owner of the orders whose witnesses are not connected any more, so that they outlive this dispatcher. */
  #replaceWitnesses (now: number): void {
    const { outstanding, owners } = this.#state
    const unwitnessed = outstanding.listUnwitnessed(connection => owners.isOpen(connection))
    if (unwitnessed.length === 0) return
    const witness = this.#choice.choose(() => true)
    if (witness === undefined) return
    const orders = unwitnessed.map(({ order: { task, attempt, target, expiresAt }, isRepeated }): EarlierOrder => ({ task, attempt, target, isUnanswered: isRepeated, remainingMs: expiresAt - now })).filter(({ remainingMs }) => remainingMs > 0)
    witness.send({ type: 'outstanding-orders', orders })
    for (const { task } of orders) outstanding.replaceWitnesses(task, witness)
  }

  /** @returns whether a target that the hold allows may start tasks, or has answered polls until a moment ago */
  #isReachable (hold: StartHold, now: number): boolean {
    const lossMs = this.#limits.maxLeaseMs / slowestClockRate
    return [...this.#state.sessions.values()].some(session => allowsTarget(hold, session.info) && !session.info.draining && now - session.lastViewAt <= lossMs)
  }

  #logHold (job: DispatchedJob, task: TaskRecord, { target, expiresAt }: StartHold, now: number, isReachable: boolean): void {
    if (this.#logged.has(task)) return
    this.#logged.add(task)
    this.#state.metrics.countOutstandingOrders('held', 1)
    this.#state.log('order', 'task-held-for-order', { job: job.id, task: task.name, target, reachable: isReachable, holdMs: Math.round(expiresAt - now), usefulMs: Math.round(job.usefulUntil - now) })
  }
}
