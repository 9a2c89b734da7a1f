import { type Clock } from '@sesamereel/coordination'
import { type EventLog } from './event-log.js'
import { type MetadataStore, type StoreRow } from './metadata-store.js'
import { TableObserver, TableWatch } from './table-watch.js'
import { UnreadableRows } from './unreadable-rows.js'

/** Store table with a row for each instance and a row for each domain's dispatcher. */
export const directoryTable = 'sesamereel'

/** Fencing tokens reserved for each revision of a dispatcher's row: one for the holder, the next ones for its successors. */
export const tokensPerRevision = 16

/** Interval in milliseconds at which the whole table is listed again. */
const relistIntervalMs = 5_000

/** Longest row in characters that is parsed; a dispatcher's row with its successors has about a thousand. */
const maxRowLength = 4 * 1024

/** An instance as it registers itself in the directory. */
export interface InstanceEntry {
  readonly instance: string
  /** Unique id of this run of the process; a restarted instance has a new one. */
  readonly incarnation: string
  readonly domain: string
  /** `IP:PORT` on which it accepts streams from other instances. */
  readonly address: string
  /** Processing power that the instance may use, in cores; ranks the candidates for dispatcher. */
  readonly power: number
  /** Start of the process, as Unix time in milliseconds. */
  readonly startedMs: number
}

/** The dispatcher of a domain, as its row names it. */
export interface DispatcherEntry {
  readonly domain: string
  readonly instance: string
  readonly incarnation: string
  readonly address: string
  /** Instances that may take over while the store is unreachable, in order of precedence. */
  readonly successors: readonly InstanceEntry[]
  /** Revision of the row, from which the fencing token is computed. */
  readonly revision: number
}

/** @returns the key of the row of an instance */
export function formatInstanceKey (instance: string): string {
  return `instance/${instance}`
}

/** @returns the key of the row that names a domain's dispatcher */
export function formatDispatcherKey (domain: string): string {
  return `dispatcher/${domain}`
}

/**
 * Parses a dispatcher's row.
 *
 * @returns undefined for a row of another kind, a malformed one, and one that names another domain than its key
 */
export function parseDispatcherRow (row: StoreRow): DispatcherEntry | undefined {
  const value = row.key.startsWith(formatDispatcherKey('')) ? parseObject(row.value) : undefined
  if (value === undefined) return undefined
  const { domain, instance, incarnation, address, successors } = value
  if (!isText(domain) || !isText(instance) || !isText(incarnation) || !isText(address) || row.key !== formatDispatcherKey(domain)) return undefined
  const known = Array.isArray(successors) ? successors.map(parseInstance).filter(entry => entry !== undefined) : []
  return { domain, instance, incarnation, address, successors: known, revision: row.revision }
}

function parseInstanceRow (row: StoreRow): InstanceEntry | undefined {
  const entry = row.key.startsWith(formatInstanceKey('')) ? parseInstance(parseObject(row.value)) : undefined
  return entry !== undefined && row.key === formatInstanceKey(entry.instance) ? entry : undefined
}

function parseInstance (value: unknown): InstanceEntry | undefined {
  if (!isObject(value)) return undefined
  const { instance, incarnation, domain, address, power, startedMs } = value
  if (!isText(instance) || !isText(incarnation) || !isText(domain) || !isText(address)) return undefined
  if (typeof power !== 'number' || !Number.isFinite(power) || power <= 0) return undefined
  if (typeof startedMs !== 'number' || !Number.isFinite(startedMs)) return undefined
  return { instance, incarnation, domain, address, power, startedMs }
}

function parseObject (text: string | undefined): Readonly<Record<string, unknown>> | undefined {
  if (text === undefined || text.length > maxRowLength) return undefined
  try {
    const value: unknown = JSON.parse(text)
    return isObject(value) ? value : undefined
  } catch {
    // The caller logs rows that can't be parsed.
    return undefined
  }
}

function isObject (value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null
}

function isText (value: unknown): value is string {
  return typeof value === 'string' && value !== ''
}

/** What a row names, with the revision of the row; nothing if it is unreadable. */
interface ParsedRow {
  readonly revision: number
  readonly instance: InstanceEntry | undefined
  readonly dispatcher: DispatcherEntry | undefined
}

/** Receives a notification after each change of the directory. */
export abstract class DirectoryObserver {
  abstract onDirectoryChanged (): void
}

/** All known instances and dispatchers, kept up to date by watching the store table. */
export class Directory extends TableObserver {
  readonly #watch: TableWatch
  readonly #log: EventLog
  readonly #observers: DirectoryObserver[] = []
  readonly #unreadable = new UnreadableRows()
  /** Parsed rows by key: the observer of a table receives all rows at each change. */
  readonly #parsed = new Map<string, ParsedRow>()
  #instances: ReadonlyMap<string, InstanceEntry> = new Map()
  #dispatchers: ReadonlyMap<string, DispatcherEntry> = new Map()
  #loaded = false

  /**
   * @param random - source of the retry jitter, from 0 to 1
   */
  constructor (store: MetadataStore, clock: Clock, log: EventLog, random = Math.random) {
    super()
    this.#log = log
    this.#watch = new TableWatch(store, directoryTable, { relistIntervalMs, batchingPauseMs: 0, random }, clock, log, this)
  }

  /** Whether the table was read at least once. */
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

  /** @returns the instances of a domain, or of all domains without an argument */
  listInstances (domain?: string): readonly InstanceEntry[] {
    return [...this.#instances.values()].filter(entry => domain === undefined || entry.domain === domain)
  }

  findDispatcher (domain: string): DispatcherEntry | undefined {
    return this.#dispatchers.get(domain)
  }

  /** @returns every domain that has an instance or a dispatcher's row */
  listDomains (): readonly string[] {
    return [...new Set([...this.#dispatchers.keys(), ...this.listInstances().map(entry => entry.domain)])]
  }

  /** Records a dispatcher's row that was read or written outside the watch, unless a newer one is known. */
  recordDispatcher (entry: DispatcherEntry): void {
    const known = this.#dispatchers.get(entry.domain)
    if (known !== undefined && known.revision >= entry.revision) return
    this.#dispatchers = new Map([...this.#dispatchers, [entry.domain, entry]])
    this.#notify()
  }

  override onRows (rows: ReadonlyMap<string, StoreRow>, revision: number): void {
    const instances = new Map<string, InstanceEntry>()
    const dispatchers = new Map<string, DispatcherEntry>()
    this.#unreadable.expire(rows)
    for (const key of this.#parsed.keys()) if (!rows.has(key)) this.#parsed.delete(key)
    for (const row of rows.values()) {
      const { instance, dispatcher } = this.#parseOnce(row)
      if (instance !== undefined) instances.set(instance.instance, instance)
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

  #parseOnce (row: StoreRow): ParsedRow {
    const known = this.#parsed.get(row.key)
    if (known?.revision === row.revision) return known
    const parsed = { revision: row.revision, instance: parseInstanceRow(row), dispatcher: parseDispatcherRow(row) }
    this.#parsed.set(row.key, parsed)
    const isUnreadable = parsed.instance === undefined && parsed.dispatcher === undefined
    if (isUnreadable && this.#unreadable.record(row.key)) this.#log.log('belief', 'directory-row-unreadable', { key: row.key, revision: row.revision })
    return parsed
  }

  #notify (): void {
    for (const observer of this.#observers) observer.onDirectoryChanged()
  }
}
