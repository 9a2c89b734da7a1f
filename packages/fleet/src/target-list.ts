import { type Clock } from '@sesamereel/coordination'
import { type Dispatcher } from './dispatcher.js'
import { type EventLog } from './event-log.js'
import { type MetadataStore, type StoreRow } from './metadata-store.js'
import { TableObserver, TableWatch } from './table-watch.js'
import { type TargetInfo } from './target-types.js'

/** Pause in milliseconds between two lists of the targets. */
const relistMs = 5_000

/**
 * Time in milliseconds for which a target without an entry stays in use if it answers: entries
 * that lapsed during a store outage come back about that long after it.
 */
const lapsedEntryMs = 2_000

/** Decodes the platform's row of a target; undefined when the row names no target to use. */
export type TargetDecoder = (row: StoreRow) => TargetInfo | undefined

/** The targets of all domains as the store lists them, for the dispatchers of this process. */
export class TargetList extends TableObserver {
  readonly #decode: TargetDecoder
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #createWatch: () => TableWatch
  readonly #dispatchers = new Set<Dispatcher>()
  readonly #missingSince = new Map<string, number>()
  readonly #unreadable = new Set<string>()
  #watch: TableWatch | undefined
  #targets: ReadonlyMap<string, TargetInfo> = new Map()
  #cancelExpiry: (() => void) | undefined

  constructor (store: MetadataStore, table: string, decode: TargetDecoder, clock: Clock, log: EventLog) {
    super()
    this.#decode = decode
    this.#clock = clock
    this.#log = log
    this.#createWatch = () => new TableWatch(store, table, relistMs, clock, log, this)
  }

  /** @returns milliseconds since the list was known to be current; infinite before the first list */
  measureAge (): number {
    return this.#watch?.measureAge() ?? Infinity
  }

  /** Begins to follow the list. */
  start (): void {
    this.#watch = this.#createWatch()
    this.#watch.start()
  }

  close (): void {
    this.#watch?.close()
    this.#cancelExpiry?.()
  }

  listTargets (domain: string): readonly TargetInfo[] {
    return [...this.#targets.values()].filter(target => target.domain === domain)
  }

  addDispatcher (dispatcher: Dispatcher): void {
    this.#dispatchers.add(dispatcher)
    dispatcher.updateTargets(this.listTargets(dispatcher.domain))
  }

  removeDispatcher (dispatcher: Dispatcher): void {
    this.#dispatchers.delete(dispatcher)
  }

  override onRows (rows: ReadonlyMap<string, StoreRow>): void {
    const targets = new Map<string, TargetInfo>()
    for (const row of rows.values()) this.#addRow(row, targets)
    this.#keepMissing(targets)
    this.#targets = targets
    this.#publish()
  }

  #addRow (row: StoreRow, targets: Map<string, TargetInfo>): void {
    const target = this.#decode(row)
    if (target !== undefined) {
      targets.set(target.id, target)
      this.#unreadable.delete(row.key)
      return
    }
    if (this.#unreadable.has(row.key)) return
    this.#unreadable.add(row.key)
    this.#log.log('belief', 'target-row-unreadable', { target: row.key, revision: row.revision })
  }

  /** Keeps targets whose entries have just gone, unless they had said that they leave. */
  #keepMissing (targets: Map<string, TargetInfo>): void {
    const now = this.#clock.now()
    for (const id of this.#missingSince.keys()) if (targets.has(id)) this.#missingSince.delete(id)
    for (const [id, target] of this.#targets) {
      if (targets.has(id) || target.draining) continue
      const since = this.#missingSince.get(id) ?? now
      this.#missingSince.set(id, since)
      if (now - since < lapsedEntryMs) targets.set(id, target)
      else this.#missingSince.delete(id)
    }
    if (this.#missingSince.size > 0 && this.#cancelExpiry === undefined) {
      this.#cancelExpiry = this.#clock.startTimer(lapsedEntryMs, () => { this.#expireMissing() })
    }
  }

  #expireMissing (): void {
    this.#cancelExpiry = undefined
    const now = this.#clock.now()
    const targets = new Map(this.#targets)
    for (const [id, since] of this.#missingSince) {
      if (now - since < lapsedEntryMs) continue
      targets.delete(id)
      this.#missingSince.delete(id)
    }
    this.#targets = targets
    if (this.#missingSince.size > 0) this.#cancelExpiry = this.#clock.startTimer(lapsedEntryMs, () => { this.#expireMissing() })
    this.#publish()
  }

  #publish (): void {
    for (const dispatcher of this.#dispatchers) dispatcher.updateTargets(this.listTargets(dispatcher.domain))
  }
}
