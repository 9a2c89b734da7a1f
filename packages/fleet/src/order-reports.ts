import { type Clock } from '@sesamereel/coordination'
import { type DispatcherConnection } from './dispatcher-connection.js'
import { type EventLog } from './event-log.js'
import { type DispatcherMessage, type EarlierOrder } from './messages.js'
import { OrderWitness } from './order-witness.js'

type Message<T extends DispatcherMessage['type']> = Extract<DispatcherMessage, { type: T }>

/** The part of an instance that is a witness of start orders: confirms announcements, and reports the open orders of lost dispatchers. */
export class OrderReports {
  readonly #witness: OrderWitness
  readonly #clock: Clock
  readonly #log: EventLog

  /** @param lateOrderMs - time in milliseconds after which an unanswered order can no longer be carried out */
  constructor (lateOrderMs: number, clock: Clock, log: EventLog) {
    this.#witness = new OrderWitness(lateOrderMs)
    this.#clock = clock
    this.#log = log
  }

  /**
   * Confirms an announcement once its orders are known here, so that a successor of the dispatcher is told of them.
   *
   * @param others - connections to the dispatchers of all domains
   */
  confirm (connection: DispatcherConnection, { sequence, settledSequence, starts }: Message<'start-announcement'>, others: readonly DispatcherConnection[]): void {
    this.#settle(connection, settledSequence, others)
    this.#witness.record(connection.domain, connection.token, sequence, starts, this.#clock.now())
    connection.send({ type: 'start-confirmation', sequence })
  }

  /** Applies what a dispatcher says of orders that it has announced before, or that others had. */
  apply (connection: DispatcherConnection, message: Message<'order-unanswered' | 'order-settled' | 'outstanding-orders'>): void {
    switch (message.type) {
      case 'order-unanswered': this.#witness.keepUnanswered(connection.domain, message.task, message.attempt); break
      case 'order-settled': this.#witness.forget(message.task, message.attempt); break
      case 'outstanding-orders': this.#witness.keep(connection.domain, connection.token, message.orders, this.#clock.now())
    }
  }

  /** Keeps the open orders of a dispatcher of this process that has ended. */
  keep (domain: string, token: number, orders: readonly EarlierOrder[]): void {
    this.#witness.keep(domain, token, orders, this.#clock.now())
  }

  /** @returns the orders of a domain's dispatchers that may be outstanding */
  listOfDomain (domain: string): readonly EarlierOrder[] {
    return this.#witness.listOfDomain(domain, undefined, this.#clock.now())
  }

  /** Forgets the orders that a dispatcher's heartbeat has settled. */
  settle (connection: DispatcherConnection, others: readonly DispatcherConnection[]): void {
    this.#settle(connection, connection.settledSequence, others)
  }

  /** Reports the orders of a domain's earlier dispatchers to the one that is connected now; to be called before jobs are submitted to it. */
  reportToSuccessor (connection: DispatcherConnection): void {
    this.#report(connection, this.#witness.listOfDomain(connection.domain, connection.token, this.#clock.now()))
  }

  /** Reports the orders of a lost dispatcher to those of other domains, as its jobs may be submitted to them. */
  reportLost (domain: string, others: readonly DispatcherConnection[]): void {
    this.#witness.keepAll(domain)
    const orders = this.#witness.listOfDomain(domain, undefined, this.#clock.now())
    for (const other of others) if (other.domain !== domain) this.#report(other, orders)
  }

  /** Reports the orders of a job in other domains; to be called before the job is submitted. */
  reportOfJob (jobId: string, connection: DispatcherConnection): void {
    this.#report(connection, this.#witness.listOfJob(jobId, connection.domain, this.#clock.now()))
  }

  /** Forgets the orders that can't be carried out any more. */
  expire (now: number): void {
    this.#witness.expire(now)
  }

  /** Forgets settled orders, and takes those back that were reported to other domains while their dispatcher was not connected. */
  #settle ({ domain, token }: DispatcherConnection, sequence: number, others: readonly DispatcherConnection[]): void {
    const settled = this.#witness.settle(domain, token, sequence)
    if (settled.length === 0) return
    this.#log.log('belief', 'earlier-orders-settled', { domain, token, orders: settled.length })
    const orders = settled.map(({ task, attempt, target }) => ({ task, attempt, target }))
    for (const other of others) if (other.domain !== domain) other.send({ type: 'earlier-orders-settled', orders })
  }

  #report (connection: DispatcherConnection, orders: readonly EarlierOrder[]): void {
    if (orders.length === 0) return
    const { domain, token } = connection
    this.#log.log('belief', 'earlier-orders-reported', { domain, token, orders: orders.length, targets: new Set(orders.map(({ target }) => target)).size })
    connection.send({ type: 'earlier-orders', orders })
  }
}
