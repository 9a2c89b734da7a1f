import { type Clock } from '@sesamereel/coordination'
import { Backoff } from './backoff.js'
import { type EventLog } from './event-log.js'
import { type MetadataStore, type StoreRow } from './metadata-store.js'

/** Time in milliseconds that one watch call waits for a change. */
const watchTimeoutMs = 1_000

/** Shortest and longest pause in milliseconds after a failed call. */
const minRetryDelayMs = 100
const maxRetryDelayMs = 800

export interface TableWatchOptions {
  /** Pause in milliseconds between two lists. */
  readonly relistIntervalMs: number
  /** Pause in milliseconds after each watch call, so that many changes come in one reply. */
  readonly batchingPauseMs: number
  /** Source of the jitter after failed calls, from 0 to 1; `Math.random` when absent. */
  readonly random?: () => number
}

/** Receives the rows of a table; each call holds all rows that are known. */
export abstract class TableObserver {
  abstract onRows (rows: ReadonlyMap<string, StoreRow>, revision: number): void
}

/**
 * Follows one table: lists it, then waits for changes. It lists again when the store has dropped
 * its history, and now and then, because a watch may miss changes without an error.
 */
export class TableWatch {
  readonly #store: MetadataStore
  readonly #table: string
  readonly #options: TableWatchOptions
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #observer: TableObserver
  readonly #rows = new Map<string, StoreRow>()
  readonly #backoff: Backoff
  #revision: number | undefined
  #listedAt = -Infinity
  #failingSince: number | undefined
  #currentAt = -Infinity
  #closed = false
  #cancelPause: (() => void) | undefined

  constructor (store: MetadataStore, table: string, options: TableWatchOptions, clock: Clock, log: EventLog, observer: TableObserver) {
    this.#store = store
    this.#table = table
    this.#options = options
    this.#backoff = new Backoff(minRetryDelayMs, maxRetryDelayMs, options.random)
    this.#clock = clock
    this.#log = log
    this.#observer = observer
  }

  /** @returns milliseconds since the table was last known to be current */
  measureAge (): number {
    return this.#clock.now() - this.#currentAt
  }

  start (): void {
    this.#run().catch((error: unknown) => { this.#log.logError(`watch of ${this.#table}`, error) })
  }

  close (): void {
    this.#closed = true
    this.#cancelPause?.()
  }

  async #run (): Promise<void> {
    while (!this.#closed) {
      const sentAt = this.#clock.now()
      const isListDue = this.#revision === undefined || sentAt - this.#listedAt >= this.#options.relistIntervalMs
      const failure = isListDue ? await this.#list(sentAt) : await this.#watch(this.#revision!, sentAt)
      if (this.#closed) return
      if (failure === undefined) await this.#handleSuccess()
      else await this.#handleFailure(failure)
    }
  }

  /** @returns what failed, or undefined */
  async #list (sentAt: number): Promise<string | undefined> {
    const reply = await this.#store.list(this.#table)
    if (reply.kind !== 'rows') return reply.message
    this.#listedAt = sentAt
    this.#currentAt = sentAt
    // An answer that overtook a later one must not bring rows back.
    if (this.#revision !== undefined && reply.revision < this.#revision) return undefined
    const isChanged = this.#applyList(reply.rows)
    this.#revision = reply.revision
    if (isChanged) this.#observer.onRows(this.#rows, reply.revision)
    return undefined
  }

  #applyList (rows: readonly StoreRow[]): boolean {
    let isChanged = this.#revision === undefined
    const listed = new Set<string>()
    for (const row of rows) {
      listed.add(row.key)
      if (this.#rows.get(row.key)?.revision === row.revision) continue
      this.#rows.set(row.key, row)
      isChanged = true
    }
    for (const key of [...this.#rows.keys()]) {
      if (listed.has(key)) continue
      this.#rows.delete(key)
      isChanged = true
    }
    return isChanged
  }

  async #watch (after: number, sentAt: number): Promise<string | undefined> {
    const reply = await this.#store.watch(this.#table, after, watchTimeoutMs)
    if (reply.kind === 'unavailable') return reply.message
    if (reply.kind === 'expired') {
      this.#log.log('belief', 'store-history-expired', { table: this.#table, revision: after })
      this.#listedAt = -Infinity
      return undefined
    }
    this.#currentAt = sentAt
    this.#revision = Math.max(after, reply.revision)
    if (reply.changes.length === 0) return undefined
    for (const change of reply.changes) {
      if (change.deleted) this.#rows.delete(change.key)
      else this.#rows.set(change.key, change)
    }
    this.#observer.onRows(this.#rows, this.#revision)
    return undefined
  }

  async #handleSuccess (): Promise<void> {
    this.#backoff.reset()
    if (this.#failingSince === undefined) {
      if (this.#options.batchingPauseMs > 0) await this.#pause(this.#options.batchingPauseMs)
      return
    }
    this.#log.log('belief', 'store-regained', { table: this.#table, afterMs: Math.round(this.#clock.now() - this.#failingSince), revision: this.#revision ?? 0 })
    this.#failingSince = undefined
    // Changes that the outage hid are read at once.
    this.#listedAt = -Infinity
  }

  async #handleFailure (message: string): Promise<void> {
    if (this.#failingSince === undefined) {
      this.#failingSince = this.#clock.now()
      this.#log.log('belief', 'store-lost', { table: this.#table, message, revision: this.#revision ?? 0 })
    }
    await this.#pause(this.#backoff.takePauseMs())
  }

  async #pause (delayMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const cancel = this.#clock.startTimer(delayMs, resolve)
      this.#cancelPause = () => { cancel(); resolve() }
    })
  }
}
