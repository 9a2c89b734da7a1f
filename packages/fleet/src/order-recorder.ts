import { type Clock } from '@sesamereel/coordination'
import { Backoff } from './backoff.js'
import { type EventLog } from './event-log.js'
import { type FleetMetrics } from './fleet-metrics.js'
import { type AnnouncedStart, type EarlierOrder } from './messages.js'
import { type MetadataStore, type RowsReply, type RowUpdate } from './metadata-store.js'
import { encodeOrderRows, formatOrderKey, type OrderRow, orderTable, parseOrderRow } from './order-rows.js'

/** Shortest interval in milliseconds between two writes, so that a row holds many orders when many have no answer. */
const minWriteIntervalMs = 100

/** Shortest time in milliseconds since the last write before a call only removes rows. */
const removalDelayMs = 2_000

/**
 * Time in milliseconds for which a recorded order may be sent again without being recorded anew; orders are recorded for
 * this much longer.
 */
const refreshMs = 1_000

/** Bounds in milliseconds of the exponential delay before a failed call is repeated. */
const minRetryDelayMs = 100
const maxRetryDelayMs = 2_000

/** Largest number of rows that one call writes, or removes; the store takes 100 entries. */
const maxRowsPerCall = 45

/** Largest number of orders that wait to be written. */
const maxPendingOrders = 10_000

/** An order that the store has kept for a lost dispatcher. */
export interface RecordedOrder extends EarlierOrder {
  /** Failure domain of the target. */
  readonly domain: string
}

/** A row that this recorder is to remove. */
interface KnownRow {
  readonly orders: readonly AnnouncedStart[]
  /** Monotonic time in milliseconds at which the row was written or read. */
  readonly knownAt: number
  /** Monotonic time in milliseconds. */
  readonly expiresAt: number
}

export interface OrderRecorderOptions {
  readonly domain: string
  /** Identifies the recorder among all that write for the domain. */
  readonly writer: string
  readonly store: MetadataStore
  readonly clock: Clock
  /** Time in milliseconds after which an unanswered order can no longer be carried out. */
  readonly lateOrderMs: number
  readonly log: EventLog
  readonly metrics: FleetMetrics
  /** Returns whether an order may still be carried out, as far as the dispatcher knows. */
  readonly isOutstanding: (order: AnnouncedStart) => boolean
  /** Receives the orders of lost dispatchers of all domains. */
  readonly onRead: (orders: readonly RecordedOrder[]) => void
}

/**
 * Keeps the outstanding start orders of one dispatcher in the store, so that they are known when no process is left that knows
 * of them. Only orders that got no answer are written, many in one call, and a row is removed once none of its orders is
 * outstanding. Nothing waits for a write: while the store is away, the orders wait in memory.
 */
export class OrderRecorder {
  readonly #options: OrderRecorderOptions
  readonly #backoff = new Backoff(minRetryDelayMs, maxRetryDelayMs)
  /** Orders to be written, by their identity. */
  readonly #pending = new Map<string, AnnouncedStart>()
  /** Monotonic times in milliseconds at which orders were recorded, in ascending order. */
  readonly #recordedAt = new Map<string, number>()
  readonly #rows = new Map<string, KnownRow>()
  /** Difference in milliseconds of the store's clock to the local one that counts suspensions; undefined until it is known. */
  #storeLeadMs: number | undefined
  #isRead = false
  #isClosed = false
  #sequence = 0
  #mayWriteAt = -Infinity
  #writing: Promise<void> | undefined

  constructor (options: OrderRecorderOptions) {
    this.#options = options
  }

  /** Whether the orders of lost dispatchers were read. */
  get isRead (): boolean { return this.#isRead }

  /** Reads the orders of lost dispatchers, again after each failure. */
  start (): void {
    this.#read().catch((error: unknown) => { this.#options.log.logError('order-recorder', error) })
  }

  close (): void {
    this.#isClosed = true
  }

  /** Records an outstanding order, unless it was recorded a moment ago. */
  add (order: AnnouncedStart): void {
    const key = formatIdentity(order)
    const now = this.#options.clock.now()
    if (now - (this.#recordedAt.get(key) ?? -Infinity) < refreshMs) return
    this.#pending.set(key, order)
    if (this.#pending.size > maxPendingOrders) this.#pending.delete(this.#pending.keys().next().value!)
    this.#writeIfDue(now)
  }

  /** Writes orders that wait, and removes rows of which no order is outstanding. */
  check (now: number): void {
    for (const [key, recordedAt] of this.#recordedAt) {
      if (now - recordedAt < refreshMs) break
      this.#recordedAt.delete(key)
    }
    this.#writeIfDue(now)
  }

  /**
   * Writes all orders that wait, for a dispatcher that ends.
   *
   * @param timeoutMs - time limit in milliseconds
   */
  async flush (timeoutMs: number): Promise<void> {
    const { clock } = this.#options
    const until = clock.now() + timeoutMs
    await new Promise<void>(resolve => {
      const cancel = clock.startTimer(timeoutMs, resolve)
      this.#flushUntil(until).finally(() => {
        cancel()
        resolve()
      })
    })
  }

  async #flushUntil (until: number): Promise<void> {
    await this.#writing
    while (this.#pending.size > 0 && this.#options.clock.now() < until) {
      await this.#write()
      if (this.#pending.size > 0) await this.#pause(this.#backoff.takePauseMs())
    }
  }

  #writeIfDue (now: number): void {
    if (this.#isClosed || this.#writing !== undefined || now < this.#mayWriteAt) return
    for (const [key, order] of this.#pending) if (!this.#options.isOutstanding(order)) this.#pending.delete(key)
    const isRemovalDue = now >= this.#mayWriteAt + removalDelayMs && this.#listRemovable(now).length > 0
    if (this.#pending.size > 0 || isRemovalDue) this.#write().catch((error: unknown) => { this.#options.log.logError('order-recorder', error) })
  }

  async #write (): Promise<void> {
    this.#writing = this.#writePending().finally(() => { this.#writing = undefined })
    await this.#writing
  }

  async #writePending (): Promise<void> {
    const { store, clock, domain, lateOrderMs, writer } = this.#options
    const beganAt = clock.now()
    const lifeMs = lateOrderMs + refreshMs
    const expiresMs = this.#storeLeadMs === undefined ? undefined : Math.ceil(clock.readElapsed() + this.#storeLeadMs + lifeMs)
    const rows = encodeOrderRows(domain, expiresMs, [...this.#pending.values()]).filter(({ orders }) => orders.length > 0).slice(0, maxRowsPerCall)
      .map(({ text, orders }) => ({ key: formatOrderKey(domain, writer, ++this.#sequence), value: text, orders }))
    const removed = this.#listRemovable(beganAt).slice(0, maxRowsPerCall)
    const orders = rows.flatMap(row => row.orders)
    for (const order of orders) this.#pending.delete(formatIdentity(order))
    // A write without a reply may have been carried out.
    for (const row of rows) this.#rows.set(row.key, { orders: row.orders, knownAt: beganAt, expiresAt: beganAt + lifeMs })
    const reply = await store.writeAll(orderTable, [...rows.map(({ key, value }): RowUpdate => ({ key, value })), ...removed.map((key): RowUpdate => ({ key }))])
    const isCommitted = reply.kind === 'committed'
    if (isCommitted) this.#noteCommitted(orders, removed, beganAt)
    else for (const order of orders) this.#requeue(order)
    this.#mayWriteAt = clock.now() + (isCommitted ? minWriteIntervalMs : this.#backoff.takePauseMs())
    this.#options.log.log('order', 'orders-recorded', { domain, orders: orders.length, rows: rows.length, removed: removed.length, reply: reply.kind, tookMs: Math.round(clock.now() - beganAt), waiting: this.#pending.size })
  }

  #noteCommitted (orders: readonly AnnouncedStart[], removed: readonly string[], now: number): void {
    this.#backoff.reset()
    for (const key of removed) this.#rows.delete(key)
    for (const order of orders) this.#recordedAt.set(formatIdentity(order), now)
    this.#options.metrics.countOutstandingOrders('recorded', orders.length)
  }

  #requeue (order: AnnouncedStart): void {
    // A dispatcher that ends also records orders whose answers are open.
    if (this.#isClosed || this.#options.isOutstanding(order)) this.#pending.set(formatIdentity(order), order)
  }

  #listRemovable (now: number): readonly string[] {
    const isSettled = ({ orders, knownAt }: KnownRow): boolean => now - knownAt > refreshMs && !orders.some(order => this.#options.isOutstanding(order))
    return [...this.#rows].filter(([, row]) => row.expiresAt <= now || isSettled(row)).map(([key]) => key)
  }

  async #read (): Promise<void> {
    const { store, clock } = this.#options
    const backoff = new Backoff(minRetryDelayMs, maxRetryDelayMs)
    while (!this.#isClosed) {
      const sentElapsed = clock.readElapsed()
      const reply = await store.list(orderTable)
      if (this.#isClosed) return
      if (reply.kind === 'rows') {
        this.#handleRows(reply, sentElapsed)
        return
      }
      await this.#pause(backoff.takePauseMs())
    }
  }

  /** @param sentElapsed - time at which the rows were requested, by the clock that counts suspensions */
  #handleRows (reply: Extract<RowsReply, { kind: 'rows' }>, sentElapsed: number): void {
    const { clock, domain, lateOrderMs, log, metrics, onRead } = this.#options
    const now = clock.now()
    // The store has read its clock after the call was sent, so this is at most too high: orders are kept for longer, not for less.
    if (reply.nowMs !== undefined) this.#storeLeadMs = reply.nowMs - sentElapsed
    const rows = reply.rows.map(parseOrderRow).filter(row => row !== undefined)
    const recorded: RecordedOrder[] = []
    for (const row of rows) {
      const remainingMs = Math.min(lateOrderMs + refreshMs, this.#measureRemainingMs(row, reply.nowMs))
      if (row.domain === domain || remainingMs <= 0) this.#rows.set(row.key, { orders: row.orders, knownAt: now, expiresAt: now + remainingMs })
      if (remainingMs > 0) recorded.push(...row.orders.map(order => ({ ...order, domain: row.domain, isUnanswered: true, remainingMs })))
    }
    this.#isRead = true
    metrics.countOutstandingOrders('read', recorded.length)
    log.log('belief', 'recorded-orders-read', { domain, rows: reply.rows.length, unreadable: reply.rows.length - rows.length, orders: recorded.length, elsewhere: recorded.filter(order => order.domain !== domain).length, tookMs: Math.round(clock.readElapsed() - sentElapsed) })
    onRead(recorded)
  }

  #measureRemainingMs ({ expiresMs }: OrderRow, nowMs: number | undefined): number {
    return expiresMs === undefined || nowMs === undefined ? Infinity : expiresMs - nowMs
  }

  async #pause (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.#options.clock.startTimer(ms, resolve) })
  }
}

function formatIdentity ({ task, attempt, target }: AnnouncedStart): string {
  return `${task}#${attempt}@${target}`
}
