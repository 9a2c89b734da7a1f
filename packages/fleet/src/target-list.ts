import { type Clock } from '@sesamereel/coordination'
import { type Dispatcher } from './dispatcher.js'
import { type EventLog } from './event-log.js'
import { type MetadataStore, type StoreRow } from './metadata-store.js'
import { TableObserver, TableWatch } from './table-watch.js'
import { type TargetInfo } from './target-types.js'
import { UnreadableRows } from './unreadable-rows.js'

/** Pause in milliseconds between two watch calls; targets write often, and none of the changes is urgent. */
const watchPauseMs = 400

/** Interval in milliseconds between two full reads of the list of targets. */
const relistIntervalMs = 5_000

/**
 * Interval in milliseconds between two full reads by an instance that neither dispatches nor is a named
 * successor. Within the store's history, so that it can go on from there.
 */
const idleListIntervalMs = 10_000

/**
 * Time in milliseconds for which a target without an entry stays in use if it answers: entries
 * that expired during a store outage come back within about this time after it.
 */
const missingEntryGraceMs = 2_000

/** Time in milliseconds for which a target that disappeared may still have runs; also a draining one may only have lost its path to the store. */
const vanishedTargetRetentionMs = 30_000

/**
 * Time in milliseconds after this instance began to follow the list within which expired entries come back, and
 * all runs at targets that it has missed end.
 */
const listSettlingMs = 3_000

/** Decodes the platform's row of a target; returns undefined when the row describes no usable target. */
export type TargetDecoder = (row: StoreRow) => TargetInfo | undefined

/**
 * Follows the store's list of the targets of all domains and passes each domain's part to its
 * dispatchers in this process.
 */
export class TargetList extends TableObserver {
  readonly #decode: TargetDecoder
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #createWatch: () => TableWatch
  readonly #dispatchers = new Set<Dispatcher>()
  /** Monotonic time in milliseconds at which the entries of targets that are still in use went missing, by id. */
  readonly #missingSince = new Map<string, number>()
  readonly #unreadable = new UnreadableRows()
  /** Monotonic time in milliseconds at which the rows of targets that were in use became unreadable, by id. */
  readonly #unreadableSince = new Map<string, number>()
  /** Monotonic time in milliseconds at which targets disappeared, by domain and id. */
  readonly #vanishedAt = new Map<string, Map<string, number>>()
  /** Decoded rows by key, with the revisions of the rows. */
  readonly #decoded = new Map<string, { readonly revision: number, readonly target: TargetInfo | undefined }>()
  #followedSince: number | undefined
  #watch: TableWatch | undefined
  #targets: ReadonlyMap<string, TargetInfo> = new Map()
  #cancelExpiry: (() => void) | undefined

  /**
   * @param random - source of the jitter after failed calls, from 0 to 1
   */
  constructor (store: MetadataStore, table: string, decode: TargetDecoder, clock: Clock, log: EventLog, random = Math.random) {
    super()
    this.#decode = decode
    this.#clock = clock
    this.#log = log
    this.#createWatch = () => new TableWatch(store, table, { relistIntervalMs, batchingPauseMs: watchPauseMs, idleListIntervalMs, random }, clock, log, this)
  }

  /** @returns milliseconds since the list was last known to be current; infinite before the first list */
  measureAgeMs (): number {
    return this.#watch?.measureAge() ?? Infinity
  }

  /** Starts to watch the list. */
  start (): void {
    this.#watch = this.#createWatch()
    if (this.#followedSince !== undefined) this.#watch.setFollowing(true)
    this.#watch.start()
  }

  close (): void {
    this.#watch?.close()
    this.#cancelExpiry?.()
  }

  /**
   * Begins or stops to follow every change of the list. Targets write their rows often, so that only the
   * instances that dispatch, or may have to at once, follow them.
   */
  setFollowing (isFollowing: boolean): void {
    const mustFollow = isFollowing || this.#dispatchers.size > 0
    if (mustFollow) this.#followedSince ??= this.#clock.now()
    else this.#followedSince = undefined
    this.#watch?.setFollowing(mustFollow)
  }

  /** Reads the list at once, beside the watch. */
  readSoon (): void {
    this.#watch?.relist()
  }

  listTargets (domain: string): readonly TargetInfo[] {
    return [...this.#targets.values()].filter(target => target.domain === domain)
  }

  /**
   * Tells whether the list names every target of a domain that may hold runs.
   *
   * @returns false before this instance has followed the list for a while, and while targets that disappeared may
   *   still have runs
   */
  isComplete (domain: string): boolean {
    const now = this.#clock.now()
    if (this.#followedSince === undefined || now - this.#followedSince < listSettlingMs) return false
    const vanished = this.#vanishedAt.get(domain)
    return vanished === undefined || [...vanished.values()].every(at => now - at > vanishedTargetRetentionMs)
  }

  addDispatcher (dispatcher: Dispatcher): void {
    this.#dispatchers.add(dispatcher)
    this.setFollowing(true)
    // A new dispatcher may trust only a list that is not older than itself.
    this.#watch?.relist()
    dispatcher.updateTargets(this.listTargets(dispatcher.domain))
  }

  removeDispatcher (dispatcher: Dispatcher): void {
    this.#dispatchers.delete(dispatcher)
  }

  override onRows (rows: ReadonlyMap<string, StoreRow>): void {
    const targets = new Map<string, TargetInfo>()
    for (const key of this.#decoded.keys()) if (!rows.has(key)) this.#decoded.delete(key)
    for (const key of this.#unreadableSince.keys()) if (!rows.has(key)) this.#unreadableSince.delete(key)
    this.#unreadable.expire(rows)
    for (const row of rows.values()) this.#addRow(row, targets)
    this.#recordVanished(targets)
    this.#retainMissing(targets)
    this.#targets = targets
    this.#publish()
  }

  #addRow (row: StoreRow, targets: Map<string, TargetInfo>): void {
    const target = this.#decodeOnce(row)
    if (target !== undefined) {
      targets.set(target.id, target)
      this.#unreadableSince.delete(row.key)
      return
    }
    this.#retainUnreadable(row, targets)
    if (this.#unreadable.record(row.key)) this.#log.log('belief', 'target-row-unreadable', { target: row.key, revision: row.revision })
  }

  /**
   * Keeps a target whose row became unreadable as a draining one for as long as it may have runs: it gets no more
   * tasks, and a new dispatcher asks it for its runs.
   */
  #retainUnreadable (row: StoreRow, targets: Map<string, TargetInfo>): void {
    const known = this.#targets.get(row.key)
    if (known === undefined) return
    const now = this.#clock.now()
    const since = this.#unreadableSince.get(row.key) ?? now
    this.#unreadableSince.set(row.key, since)
    if (now - since < vanishedTargetRetentionMs) targets.set(row.key, { ...known, draining: true, revision: row.revision })
  }

  #decodeOnce (row: StoreRow): TargetInfo | undefined {
    const known = this.#decoded.get(row.key)
    if (known?.revision === row.revision) return known.target
    const target = this.#tryDecode(row)
    this.#decoded.set(row.key, { revision: row.revision, target })
    return target
  }

  /** @returns undefined also if the decoder throws, as one row must not keep the others from being read */
  #tryDecode (row: StoreRow): TargetInfo | undefined {
    try {
      return this.#decode(row)
    } catch {
      // The caller logs rows that can't be decoded.
      return undefined
    }
  }

  #recordVanished (targets: ReadonlyMap<string, TargetInfo>): void {
    const now = this.#clock.now()
    for (const [id, target] of this.#targets) {
      if (targets.has(id)) continue
      const vanished = this.#vanishedAt.get(target.domain) ?? new Map<string, number>()
      this.#vanishedAt.set(target.domain, vanished)
      if (!vanished.has(id)) vanished.set(id, now)
    }
    for (const vanished of this.#vanishedAt.values()) {
      for (const [id, at] of vanished) if (targets.has(id) || now - at > vanishedTargetRetentionMs) vanished.delete(id)
    }
  }

  /** Keeps targets whose entries went missing less than the grace time ago, unless they were draining. */
  #retainMissing (targets: Map<string, TargetInfo>): void {
    const now = this.#clock.now()
    for (const id of this.#missingSince.keys()) if (targets.has(id)) this.#missingSince.delete(id)
    for (const [id, target] of this.#targets) {
      if (targets.has(id) || target.draining) continue
      const since = this.#missingSince.get(id) ?? now
      this.#missingSince.set(id, since)
      if (now - since < missingEntryGraceMs) targets.set(id, target)
      else this.#missingSince.delete(id)
    }
    if (this.#missingSince.size > 0 && this.#cancelExpiry === undefined) {
      this.#cancelExpiry = this.#clock.startTimer(missingEntryGraceMs, () => { this.#expireMissing() })
    }
  }

  #expireMissing (): void {
    this.#cancelExpiry = undefined
    const now = this.#clock.now()
    const targets = new Map(this.#targets)
    for (const [id, since] of this.#missingSince) {
      if (now - since < missingEntryGraceMs) continue
      targets.delete(id)
      this.#missingSince.delete(id)
    }
    this.#targets = targets
    if (this.#missingSince.size > 0) this.#cancelExpiry = this.#clock.startTimer(missingEntryGraceMs, () => { this.#expireMissing() })
    this.#publish()
  }

  #publish (): void {
    for (const dispatcher of this.#dispatchers) dispatcher.updateTargets(this.listTargets(dispatcher.domain))
  }
}
