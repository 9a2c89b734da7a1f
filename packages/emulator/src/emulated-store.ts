import { type Clock } from '@sesamereel/coordination'
import { type ConditionalWrite, type RowsReply, MetadataStore, type RowChange, type StoreRow, type WatchReply, type WriteReply } from '@sesamereel/fleet'
import { type EmulatedNetwork } from './emulated-network.js'

/** Time in milliseconds that the store takes for a call. */
const callDurationMs = 4

const callTimeoutMs = 1_200

/** `lose-replies`: writes take effect and are not answered; `late-writes`: they do so seconds later. */
export type StoreFault = 'none' | 'down' | 'silent' | 'lose-replies' | 'late-writes'

/** Delay in milliseconds of a late write. */
const lateWriteDelayMs = 2_500

/** Name of the store as a place in the network. */
export const storeEndpoint = 'store'

interface Table {
  readonly rows: Map<string, StoreRow>
  changes: RowChange[]
}

/** The platform's store with one counter of revisions. */
export class EmulatedStore {
  fault: StoreFault = 'none'
  readonly #clock: Clock
  readonly #network: EmulatedNetwork
  readonly #tables = new Map<string, Table>()
  #revision = 0
  #historyFrom = 0

  constructor (clock: Clock, network: EmulatedNetwork) {
    this.#clock = clock
    this.#network = network
  }

  /** @returns the store as one instance reaches it */
  connect (place: string): MetadataStore {
    return new StoreConnection(this, place)
  }

  /** Drops the history, so that watches must list again. */
  compactHistory (): void {
    this.#historyFrom = this.#revision
    for (const table of this.#tables.values()) table.changes = []
  }

  /** Writes without a condition, as the operator and the targets do. */
  put (table: string, key: string, value: string): void {
    this.#apply(table, key, value)
  }

  remove (table: string, key: string): void {
    this.#apply(table, key, undefined)
  }

  getRow (table: string, key: string): StoreRow | undefined {
    return this.#getTable(table).rows.get(key)
  }

  list (table: string): { readonly rows: readonly StoreRow[], readonly revision: number } {
    return { rows: [...this.#getTable(table).rows.values()], revision: this.#revision }
  }

  listChanges (table: string, after: number): readonly RowChange[] | undefined {
    if (after < this.#historyFrom) return undefined
    return this.#getTable(table).changes.filter(change => change.revision > after)
  }

  get revision (): number { return this.#revision }

  async call<T> (place: string, timeoutMs: number, isWrite: boolean, serve: (reply: (value: T) => void) => void): Promise<T | 'refused' | undefined> {
    if (this.fault === 'down') {
      await new Promise<void>(resolve => { this.#clock.startTimer(1, resolve) })
      return 'refused'
    }
    return await this.#network.call<T>(place, storeEndpoint, timeoutMs, reply => {
      const { fault } = this
      if (fault === 'silent') return
      const isLost = isWrite && (fault === 'lose-replies' || fault === 'late-writes')
      const delayMs = isWrite && fault === 'late-writes' ? lateWriteDelayMs : callDurationMs
      this.#clock.startTimer(delayMs, () => { serve(isLost ? () => {} : reply) })
    })
  }

  applyConditionalWrite (write: ConditionalWrite): WriteReply {
    const current = this.#getTable(write.table).rows.get(write.key)?.revision ?? 0
    if (write.expectedRevision !== undefined && write.expectedRevision !== current) return { kind: 'conflict' }
    this.#apply(write.table, write.key, write.value)
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

  /** Answers a watch as soon as there is a change, or when its wait is over. */
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
  readonly #place: string

  constructor (store: EmulatedStore, place: string) {
    super()
    this.#store = store
    this.#place = place
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
    const reply = await this.#store.call<WatchReply>(this.#place, waitMs + callTimeoutMs, false, respond => { this.#store.serveWatch(table, after, waitMs, respond) })
    return reply === undefined || reply === 'refused' ? { kind: 'unavailable', message: reply ?? 'no reply' } : reply
  }

  override async write (write: ConditionalWrite): Promise<WriteReply> {
    const reply = await this.#store.call<WriteReply>(this.#place, callTimeoutMs, true, respond => { respond(this.#store.applyConditionalWrite(write)) })
    if (reply === 'refused') return { kind: 'refused', message: 'down' }
    return reply ?? { kind: 'unknown', message: 'no reply' }
  }

  async #read (create: () => RowsReply): Promise<RowsReply> {
    const reply = await this.#store.call<RowsReply>(this.#place, callTimeoutMs, false, respond => { respond(create()) })
    return reply === undefined || reply === 'refused' ? { kind: 'unavailable', message: reply ?? 'no reply' } : reply
  }
}
