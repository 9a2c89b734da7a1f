import { type Clock } from '@sesamereel/coordination'
import { Backoff } from './backoff.js'
import { type EventLog } from './event-log.js'
import { type MetadataStore, type RowChange, type StoreRow } from './metadata-store.js'

/** Time in milliseconds that the store may hold a watch call open while there is no change. */
const watchTimeoutMs = 1_000

/** Bounds in milliseconds of the exponential delay before a failed call is repeated. */
const minRetryDelayMs = 100
const maxRetryDelayMs = 800

/** Options of a table watch. */
export interface TableWatchOptions {
  /** Interval in milliseconds at which the whole table is listed again. */
  readonly relistIntervalMs: number
  /** Pause in milliseconds after each successful call, so that one reply carries many changes; 0 for none. */
  readonly batchingPauseMs: number
  /** Interval in milliseconds between two full reads while the table is not followed; a table without it is always followed. */
  readonly idleListIntervalMs?: number
  /** Receives each reply. */
  readonly evidence?: TableEvidenceObserver
  /** Whether a list that comes due while a watch call waits is sent at once; else it follows the call, which may take 2 s longer. */
  readonly listsDuringWatch?: boolean
  /** Source of the retry jitter, from 0 to 1; defaults to `Math.random`. */
  readonly random?: () => number
}

/** Receives the rows of a table after each change; every call passes all known rows. */
export abstract class TableObserver {
  abstract onRows (rows: ReadonlyMap<string, StoreRow>, revision: number): void
}

/** Receives the replies about a table as they come, for decisions that need to know when each was requested. */
export abstract class TableEvidenceObserver {
  /**
   * Called with each list, also with one that is older than the known rows.
   *
   * @param sentElapsed - time at which the list was requested, by the clock that counts suspensions
   */
  abstract onListed (rows: readonly StoreRow[], revision: number, sentElapsed: number): void
  /** Called with the changes of each reply to a watch call. */
  abstract onChanges (changes: readonly RowChange[]): void
}

/**
 * Keeps a copy of one store table: lists it, then watches for changes. It lists the table again when
 * the store has discarded the history, and at regular intervals, because a watch may miss changes
 * without an error.
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
  /** Whether the observer has thrown when it last received the rows. */
  #hasMissedRows = false
  /** Clock time at which the copy was last known to be current. */
  #currentAt = -Infinity
  #isFollowing: boolean
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
    this.#isFollowing = options.idleListIntervalMs === undefined
  }

  /** Begins or stops to watch for changes; in between, the table is only listed at the idle interval. */
  setFollowing (isFollowing: boolean): void {
    if (this.#isFollowing === isFollowing || this.#options.idleListIntervalMs === undefined) return
    this.#isFollowing = isFollowing
    if (isFollowing) this.#cancelPause?.()
  }

  /** @returns milliseconds since the copy was last known to be current; `Infinity` before the first list */
  measureAge (): number {
    return this.#clock.now() - this.#currentAt
  }

  start (): void {
    this.#run().catch((error: unknown) => { this.#log.logError(`watch of ${this.#table}`, error) })
  }

  /** Lists the table at once, beside a call that may be waiting for changes. */
  relist (): void {
    this.#list(this.#clock.now()).catch((error: unknown) => { this.#handleError(error) })
  }

  close (): void {
    this.#closed = true
    this.#cancelPause?.()
  }

  async #run (): Promise<void> {
    while (!this.#closed) {
      try {
        await this.#readOnce()
      } catch (error) {
        this.#handleError(error)
        await this.#pause(this.#backoff.takePauseMs())
      }
    }
  }

  /** Lists the table if that is due, else waits for changes, and pauses as the result demands. */
  async #readOnce (): Promise<void> {
    const sentAt = this.#clock.now()
    const isListDue = !this.#isFollowing || this.#revision === undefined || sentAt - this.#listedAt >= this.#options.relistIntervalMs
    const cancelList = isListDue || this.#options.listsDuringWatch !== true ? undefined : this.#clock.startTimer(this.#listedAt + this.#options.relistIntervalMs - sentAt, () => { this.relist() })
    const failure = isListDue ? await this.#list(sentAt) : await this.#watch(this.#revision!, sentAt).finally(cancelList)
    if (this.#closed) return
    if (failure === undefined) await this.#handleSuccess()
    else await this.#handleFailure(failure)
  }

  /** Logs an unexpected error. The observer may have missed rows, so the table is listed again. */
  #handleError (error: unknown): void {
    this.#log.logError(`watch of ${this.#table}`, error)
    this.#listedAt = -Infinity
    this.#currentAt = -Infinity
  }

  #notifyObserver (revision: number): void {
    this.#hasMissedRows = true
    this.#observer.onRows(this.#rows, revision)
    this.#hasMissedRows = false
  }

  /** @returns the error message of a failed call, else undefined */
  async #list (sentAt: number): Promise<string | undefined> {
    const sentElapsed = this.#clock.readElapsed()
    const reply = await this.#store.list(this.#table)
    if (reply.kind !== 'rows') return reply.message
    if (this.#closed) return undefined
    this.#options.evidence?.onListed(reply.rows, reply.revision, sentElapsed)
    this.#listedAt = Math.max(this.#listedAt, sentAt)
    // A reply older than the known revision must not restore outdated rows.
    if (this.#revision !== undefined && reply.revision < this.#revision) return undefined
    this.#currentAt = Math.max(this.#currentAt, sentAt)
    const isChanged = this.#applyList(reply.rows)
    this.#revision = reply.revision
    if (isChanged || this.#hasMissedRows) this.#notifyObserver(reply.revision)
    return undefined
  }

  /** @returns whether a row has changed, or this is the first list */
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

  /** @returns the error message of a failed call, else undefined */
  async #watch (after: number, sentAt: number): Promise<string | undefined> {
    const reply = await this.#store.watch(this.#table, after, watchTimeoutMs)
    if (reply.kind === 'unavailable') return reply.message
    if (reply.kind === 'expired') {
      this.#log.log('belief', 'store-history-expired', { table: this.#table, revision: after })
      this.#listedAt = -Infinity
      return undefined
    }
    this.#options.evidence?.onChanges(reply.changes)
    // A list that was read meanwhile contains these changes.
    if (this.#revision !== undefined && reply.revision < this.#revision) return undefined
    this.#currentAt = Math.max(this.#currentAt, sentAt)
    this.#revision = Math.max(after, reply.revision)
    if (reply.changes.length === 0) return undefined
    for (const change of reply.changes) {
      if (change.deleted) this.#rows.delete(change.key)
      else this.#rows.set(change.key, change)
    }
    this.#notifyObserver(this.#revision)
    return undefined
  }

  async #handleSuccess (): Promise<void> {
    this.#backoff.reset()
    if (this.#failingSince === undefined) {
      const pauseMs = this.#isFollowing ? this.#options.batchingPauseMs : this.#options.idleListIntervalMs ?? 0
      if (pauseMs > 0) await this.#pause(pauseMs)
      return
    }
    this.#log.log('belief', 'store-regained', { table: this.#table, afterMs: Math.round(this.#clock.now() - this.#failingSince), revision: this.#revision ?? 0 })
    this.#failingSince = undefined
    // List at once, to read the changes made during the outage.
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
