import { type Clock } from '@sesamereel/coordination'
import { type ConditionalWrite, type RowsReply, MetadataStore, type RowChange, type RowUpdate, type StoreRow, type WatchReply, type WriteReply } from '@sesamereel/fleet'
import { type EmulatedNetwork } from './emulated-network.js'

/** Time in milliseconds that the store takes to handle a call. */
const callDurationMs = 4

const callTimeoutMs = 1_200

/**
 * `down`: calls are refused; `silent`: calls get no reply and have no effect; `lose-replies`: writes take
 * effect but get no reply; `late-writes`: the same, and they take effect only after `lateWriteDelayMs`.
 */
export type StoreFault = 'none' | 'down' | 'silent' | 'lose-replies' | 'late-writes'

/** Delay in milliseconds of a late write. */
const lateWriteDelayMs = 2_500

/** Name of the store as an endpoint of the network. */
export const storeEndpoint = 'store'

interface Table {
  readonly rows: Map<string, StoreRow>
  changes: RowChange[]
}

/** The platform's metadata store; one revision counter covers all tables. */
export class EmulatedStore {
  fault: StoreFault = 'none'
  /** Endpoints whose calls the store refuses while it serves all others. */
  readonly turnedAway = new Set<string>()
  readonly #clock: Clock
  readonly #network: EmulatedNetwork
  readonly #tables = new Map<string, Table>()
  #revision = 0
  #historyFrom = 0

  constructor (clock: Clock, network: EmulatedNetwork) {
    this.#clock = clock
    this.#network = network
  }

  /** @returns a client of the store for one instance, over the emulated network */
  connect (endpoint: string): MetadataStore {
    return new StoreConnection(this, endpoint)
  }

  /** Discards all recorded changes, so that watches from an earlier revision expire and their clients must list again. */
  compactHistory (): void {
    this.#historyFrom = this.#revision
    for (const table of this.#tables.values()) table.changes = []
  }

  /** Writes a row unconditionally, as the operator and the targets do. */
  put (table: string, key: string, value: string): void {
    this.#apply(table, key, value)
  }

  /** Deletes a row unconditionally. */
  remove (table: string, key: string): void {
    this.#apply(table, key, undefined)
  }

  getRow (table: string, key: string): StoreRow | undefined {
    return this.#getTable(table).rows.get(key)
  }

  list (table: string): { readonly rows: readonly StoreRow[], readonly revision: number, readonly nowMs: number } {
    return { rows: [...this.#getTable(table).rows.values()], revision: this.#revision, nowMs: Math.round(this.#clock.now()) }
  }

  /** @returns the changes after a revision, or undefined when the history no longer reaches back to it */
  listChanges (table: string, after: number): readonly RowChange[] | undefined {
    if (after < this.#historyFrom) return undefined
    return this.#getTable(table).changes.filter(change => change.revision > after)
  }

  get revision (): number { return this.#revision }

  /**
   * Calls the store over the network, subject to the current fault.
   *
   * @param isWrite - whether the faults of writes apply
   * @param serve - runs at the store and passes on its reply
   * @returns the reply, `refused` when the store is down, or undefined when no reply came in time
   */
  async call<T> (endpoint: string, timeoutMs: number, isWrite: boolean, serve: (reply: (value: T) => void) => void): Promise<T | 'refused' | undefined> {
    if (this.fault === 'down' || this.turnedAway.has(endpoint)) {
      await new Promise<void>(resolve => { this.#network.getClock(endpoint).startTimer(1, resolve) })
      return 'refused'
    }
    return await this.#network.call<T>(endpoint, storeEndpoint, timeoutMs, reply => {
      const { fault } = this
      if (fault === 'silent') return
      const isLost = isWrite && (fault === 'lose-replies' || fault === 'late-writes')
      const delayMs = isWrite && fault === 'late-writes' ? lateWriteDelayMs : callDurationMs
      this.#clock.startTimer(delayMs, () => { serve(isLost ? () => {} : reply) })
    })
  }

  /** Applies a write, unless the row is no longer at the expected revision; a row that does not exist has revision 0. */
  applyConditionalWrite (write: ConditionalWrite): WriteReply {
    const current = this.#getTable(write.table).rows.get(write.key)?.revision ?? 0
    if (write.expectedRevision !== undefined && write.expectedRevision !== current) return { kind: 'conflict' }
    this.#apply(write.table, write.key, write.value)
    return { kind: 'committed', revision: this.#revision }
  }

  /** Writes and deletes rows of one table unconditionally. */
  applyAll (table: string, updates: readonly RowUpdate[]): WriteReply {
    for (const { key, value } of updates) this.#apply(table, key, value)
    return { kind: 'committed', revision: this.#revision }
  }

  #apply (tableName: string, key: string, value: string | undefined): void {
    const table = this.#getTable(tableName)
    this.#revision++
    const row = { key, value, revision: this.#revision }
    if (value === undefined) table.rows.delete(key)
    else table.rows.set(key, row)
    table.changes.push({ ...row, deleted: value === undefined })
  }

  #getTable (name: string): Table {
    const table = this.#tables.get(name) ?? { rows: new Map(), changes: [] }
    this.#tables.set(name, table)
    return table
  }

  /**
   * Replies to a watch within 10 ms of a change, or without changes after `waitMs`; replies `expired` when
   * the history no longer reaches back to the revision `after`.
   */
  serveWatch (table: string, after: number, waitMs: number, reply: (value: WatchReply) => void): void {
    const until = this.#clock.now() + waitMs
    const check = (): void => {
      const changes = this.listChanges(table, after)
      if (changes === undefined) reply({ kind: 'expired' })
      else if (changes.length > 0 || this.#clock.now() >= until) reply({ kind: 'changes', changes, revision: this.#revision })
      else this.#clock.startTimer(10, check)
    }
    check()
  }
}

class StoreConnection extends MetadataStore {
  readonly #store: EmulatedStore
  readonly #endpoint: string

  constructor (store: EmulatedStore, endpoint: string) {
    super()
    this.#store = store
    this.#endpoint = endpoint
  }

  override async list (table: string): Promise<RowsReply> {
    return await this.#read(() => ({ kind: 'rows', ...this.#store.list(table) }))
  }

  override async read (table: string, key: string): Promise<RowsReply> {
    return await this.#read(() => {
      const row = this.#store.getRow(table, key)
      return { kind: 'rows', rows: row === undefined ? [] : [row], revision: this.#store.revision }
    })
  }

  override async watch (table: string, after: number, waitMs: number): Promise<WatchReply> {
    const reply = await this.#store.call<WatchReply>(this.#endpoint, waitMs + callTimeoutMs, false, respond => { this.#store.serveWatch(table, after, waitMs, respond) })
    return reply === undefined || reply === 'refused' ? { kind: 'unavailable', message: reply ?? 'no reply' } : reply
  }

  override async write (write: ConditionalWrite): Promise<WriteReply> {
    return await this.#write(() => this.#store.applyConditionalWrite(write))
  }

  override async writeAll (table: string, updates: readonly RowUpdate[]): Promise<WriteReply> {
    return await this.#write(() => this.#store.applyAll(table, updates))
  }

  async #write (apply: () => WriteReply): Promise<WriteReply> {
    const reply = await this.#store.call<WriteReply>(this.#endpoint, callTimeoutMs, true, respond => { respond(apply()) })
    if (reply === 'refused') return { kind: 'refused', message: 'down' }
    return reply ?? { kind: 'unknown', message: 'no reply' }
  }

  async #read (create: () => RowsReply): Promise<RowsReply> {
    const reply = await this.#store.call<RowsReply>(this.#endpoint, callTimeoutMs, false, respond => { respond(create()) })
    return reply === undefined || reply === 'refused' ? { kind: 'unavailable', message: reply ?? 'no reply' } : reply
  }
}
