import { type Clock } from '@sesamereel/coordination'
import { type EventLog } from './event-log.js'
import { type MetadataStore, type StoreRow } from './metadata-store.js'
import { TableObserver, TableWatch } from './table-watch.js'

/** Table of the instances and of the dispatchers of the domains. */
export const directoryTable = 'sesamereel'

/** Fencing tokens that belong to one revision of a dispatcher's row: the holder and its successors. */
export const tokensPerRevision = 16

/** Pause in milliseconds between two lists of the directory. */
const relistMs = 5_000

/** One instance as the others see it. */
export interface InstanceEntry {
  readonly instance: string
  /** Identity of one start of the process. */
  readonly incarnation: string
  readonly domain: string
  /** `IP:PORT` of its streams. */
  readonly address: string
  /** Processors that the instance may use, in cores; decides who should dispatch. */
  readonly power: number
  /** Unix time in milliseconds of its start. */
  readonly startedMs: number
}

/** Who dispatches for a domain. */
export interface DispatcherEntry {
  readonly domain: string
  readonly instance: string
  readonly incarnation: string
  readonly address: string
  /** Instances that may take over without the store, in this order. */
  readonly successors: readonly InstanceEntry[]
  /** Revision of the row; the fencing token follows from it. */
  readonly revision: number
}

/** @returns the key of an instance's row */
export function formatInstanceKey (instance: string): string {
  return `instance/${instance}`
}

/** @returns the key of a domain's row */
export function formatDispatcherKey (domain: string): string {
  return `dispatcher/${domain}`
}

/**
 * Parses a dispatcher's row.
 *
 * @returns undefined for another row or a malformed one
 */
export function parseDispatcherRow (row: StoreRow): DispatcherEntry | undefined {
  if (!row.key.startsWith('dispatcher/')) return undefined
  const value = parseObject(row.value)
  if (value === undefined || typeof value.incarnation !== 'string' || typeof value.address !== 'string') return undefined
  return { ...value as unknown as DispatcherEntry, successors: Array.isArray(value.successors) ? value.successors as InstanceEntry[] : [], revision: row.revision }
}

function parseInstanceRow (row: StoreRow): InstanceEntry | undefined {
  if (!row.key.startsWith('instance/')) return undefined
  const value = parseObject(row.value)
  if (value === undefined || typeof value.incarnation !== 'string' || typeof value.address !== 'string') return undefined
  return value as unknown as InstanceEntry
}

function parseObject (text: string | undefined): Record<string, unknown> | undefined {
  if (text === undefined) return undefined
  try {
    const value: unknown = JSON.parse(text)
    return typeof value === 'object' && value !== null ? value as Record<string, unknown> : undefined
  } catch {
    // Rows of this table are written by instances only; the caller skips what it can't read.
    return undefined
  }
}

/** Hears of changes in the directory. */
export abstract class DirectoryObserver {
  abstract onDirectoryChanged (): void
}

/** What is known of all instances and dispatchers, from the store. */
export class Directory extends TableObserver {
  readonly #watch: TableWatch
  readonly #log: EventLog
  readonly #observers: DirectoryObserver[] = []
  #instances: ReadonlyMap<string, InstanceEntry> = new Map()
  #dispatchers: ReadonlyMap<string, DispatcherEntry> = new Map()
  #loaded = false

  /**
   * @param random - source of the jitter after failed calls
   */
  constructor (store: MetadataStore, clock: Clock, log: EventLog, random = Math.random) {
    super()
    this.#log = log
    this.#watch = new TableWatch(store, directoryTable, { relistIntervalMs: relistMs, batchingPauseMs: 0, random }, clock, log, this)
  }

  get isLoaded (): boolean { return this.#loaded }

  addObserver (observer: DirectoryObserver): void {
    this.#observers.push(observer)
  }

  start (): void {
    this.#watch.start()
  }

  close (): void {
    this.#watch.close()
  }

  findInstance (instance: string): InstanceEntry | undefined {
    return this.#instances.get(instance)
  }

  listInstances (domain?: string): readonly InstanceEntry[] {
    return [...this.#instances.values()].filter(entry => domain === undefined || entry.domain === domain)
  }

  findDispatcher (domain: string): DispatcherEntry | undefined {
    return this.#dispatchers.get(domain)
  }

  listDomains (): readonly string[] {
    return [...new Set([...this.#dispatchers.keys(), ...this.listInstances().map(entry => entry.domain)])]
  }

  /** Takes over a dispatcher's row that was read or written outside the watch. */
  recordDispatcher (entry: DispatcherEntry): void {
    const known = this.#dispatchers.get(entry.domain)
    if (known !== undefined && known.revision >= entry.revision) return
    this.#dispatchers = new Map([...this.#dispatchers, [entry.domain, entry]])
    this.#notify()
  }

  override onRows (rows: ReadonlyMap<string, StoreRow>, revision: number): void {
    const instances = new Map<string, InstanceEntry>()
    const dispatchers = new Map<string, DispatcherEntry>()
    for (const row of rows.values()) {
      const instance = parseInstanceRow(row)
      if (instance !== undefined) instances.set(instance.instance, instance)
      const dispatcher = parseDispatcherRow(row)
      if (dispatcher === undefined) continue
      const known = this.#dispatchers.get(dispatcher.domain)
      const newest = known !== undefined && known.revision > dispatcher.revision ? known : dispatcher
      if (newest.revision !== known?.revision) this.#log.log('belief', 'dispatcher-known', { domain: newest.domain, holder: newest.instance, revision: newest.revision, tableRevision: revision })
      dispatchers.set(dispatcher.domain, newest)
    }
    this.#instances = instances
    this.#dispatchers = dispatchers
    this.#loaded = true
    this.#notify()
  }

  #notify (): void {
    for (const observer of this.#observers) observer.onDirectoryChanged()
  }
}
