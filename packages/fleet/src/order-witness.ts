import { type AnnouncedStart, type EarlierOrder } from './messages.js'
import { parseTaskName } from './job-types.js'

/**
 * Time in milliseconds beyond the longest delay of an order for which it is kept: a dispatcher sends an order at most this
 * long after it has announced it.
 */
export const announcementWindowMs = 500

/** An order that may be outstanding. */
interface KeptOrder extends AnnouncedStart {
  readonly domain: string
  /** Token of the dispatcher that has sent it. */
  readonly token: number
  /** Sequence number of its announcement; undefined for an order that was not announced to this instance. */
  readonly sequence: number | undefined
  /** Monotonic time in milliseconds at which the announcement was received. */
  readonly receivedAt: number
  isUnanswered: boolean
}

/** Orders of one announcement. */
type AnnouncedOrders = readonly KeptOrder[]

/**
 * Start orders of other processes' dispatchers. A dispatcher sends an order only after a witness has confirmed that it knows of
 * it. When the dispatcher is lost, the witness tells its successor of the orders whose answer it has not been told of.
 */
export class OrderWitness {
  readonly #retentionMs: number
  /** Orders whose answers are not known yet, by domain and by the sequence number of their announcement, in ascending order. */
  readonly #announced = new Map<string, Map<number, AnnouncedOrders>>()
  /** Orders that got no answer, or whose dispatcher's connection has ended since; in the order in which they were kept. */
  readonly #kept = new Set<KeptOrder>()
  /** Domains whose dispatcher was not connected for a while, so that orders of it were kept that may have been answered. */
  readonly #lostDomains = new Set<string>()

  /** @param lateOrderMs - time in milliseconds after which an unanswered order can no longer be carried out */
  constructor (lateOrderMs: number) {
    this.#retentionMs = lateOrderMs + announcementWindowMs
  }

  /** Number of orders that may be outstanding. */
  get keptCount (): number { return this.#kept.size }

  /** Records the orders of an announcement, before it is confirmed. */
  record (domain: string, token: number, sequence: number, starts: readonly AnnouncedStart[], now: number): void {
    const ofDomain = this.#announced.get(domain) ?? new Map<number, AnnouncedOrders>()
    this.#announced.set(domain, ofDomain)
    ofDomain.set(sequence, starts.map(start => ({ ...start, domain, token, sequence, receivedAt: now, isUnanswered: false })))
  }

  /** Keeps an order that got no answer. */
  keepUnanswered (domain: string, task: string, attempt: number): void {
    const announced = [...this.#announced.get(domain)?.values() ?? []].flat()
    for (const order of [...announced, ...this.#kept]) {
      if (order.domain !== domain || order.task !== task || order.attempt !== attempt) continue
      order.isUnanswered = true
      this.#kept.add(order)
    }
  }

  /** Forgets an order that was carried out. */
  forget (task: string, attempt: number): void {
    for (const order of this.#kept) if (order.task === task && order.attempt === attempt) this.#kept.delete(order)
  }

  /** Keeps outstanding orders of a dispatcher whose other witnesses are lost. */
  keep (domain: string, token: number, orders: readonly EarlierOrder[], now: number): void {
    for (const { task, attempt, target, isUnanswered, remainingMs } of orders) {
      this.#kept.add({ task, attempt, target, domain, token, sequence: undefined, isUnanswered, receivedAt: now + remainingMs - this.#retentionMs })
    }
  }

  /**
   * Forgets the announcements of a dispatcher up to a sequence number, as their orders were answered or reported as unanswered.
   *
   * @returns the orders among them that were kept because the dispatcher was not connected
   */
  settle (domain: string, token: number, sequence: number): readonly AnnouncedStart[] {
    const ofDomain = this.#announced.get(domain)
    for (const announced of ofDomain?.keys() ?? []) {
      if (announced > sequence) break
      ofDomain!.delete(announced)
    }
    if (!this.#lostDomains.has(domain)) return []
    const doubtful = [...this.#kept].filter(order => order.domain === domain && order.token === token && order.sequence !== undefined && !order.isUnanswered)
    const settled = doubtful.filter(order => order.sequence! <= sequence)
    for (const order of settled) this.#kept.delete(order)
    if (settled.length === doubtful.length) this.#lostDomains.delete(domain)
    return settled
  }

  /** Keeps all announced orders of a domain whose dispatcher is not connected any more, as reports of it may be lost. */
  keepAll (domain: string): void {
    for (const orders of this.#announced.get(domain)?.values() ?? []) for (const order of orders) this.#kept.add(order)
    this.#announced.delete(domain)
    this.#lostDomains.add(domain)
  }

  /** @returns the orders of a domain that may be outstanding, apart from those of the dispatcher with the given token */
  listOfDomain (domain: string, token: number | undefined, now: number): readonly EarlierOrder[] {
    return this.#list(order => order.domain === domain && order.token !== token, now)
  }

  /** @returns the orders of a job in other domains that may be outstanding */
  listOfJob (jobId: string, exceptDomain: string, now: number): readonly EarlierOrder[] {
    if (this.#kept.size === 0) return []
    return this.#list(order => order.domain !== exceptDomain && parseTaskName(order.task)?.jobId === jobId, now)
  }

  /** Forgets the orders that can't be carried out any more. */
  expire (now: number): void {
    for (const order of this.#kept) if (now - order.receivedAt > this.#retentionMs) this.#kept.delete(order)
    for (const ofDomain of this.#announced.values()) {
      for (const [sequence, orders] of ofDomain) {
        if (orders.every(order => now - order.receivedAt <= this.#retentionMs)) break
        ofDomain.delete(sequence)
      }
    }
  }

  #list (isListed: (order: KeptOrder) => boolean, now: number): readonly EarlierOrder[] {
    const orders: EarlierOrder[] = []
    for (const order of this.#kept) {
      const remainingMs = order.receivedAt + this.#retentionMs - now
      if (remainingMs > 0 && isListed(order)) orders.push({ task: order.task, attempt: order.attempt, target: order.target, isUnanswered: order.isUnanswered, remainingMs })
    }
    return orders
  }
}
