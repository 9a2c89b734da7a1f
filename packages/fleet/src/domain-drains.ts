import { type Clock } from '@sesamereel/coordination'
import { type EventLog } from './event-log.js'
import { roundIfFinite } from './round-for-log.js'

/**
 * Time in milliseconds by which starts in a drained domain end before the bound. It covers the window in which a target
 * accepts a start order (300 ms on a clock that may be slow) and the time that a scheduling round takes.
 */
export const drainMarginMs = 1_000

/** Largest number of ignored rows that are remembered; further ones are neither logged nor shown. */
const maxIgnoredRows = 100

/** Number of characters of a row's key that are logged or shown. */
const maxShownLength = 100

/** What is known of the drain of one domain. */
export interface DrainEntry {
  readonly domain: string
  readonly isDrained: boolean
  /** Store revision of the row that requests the drain, or of the change that withdrew it. */
  readonly rowRevision: number
  /** Newest store revision at which this was known to be so: of a list, or of the row's last change. */
  readonly seenRevision: number
}

/** The drained domains as one instance knows them; instances exchange it. */
export interface DrainState {
  /** Store revision of the newest list of the requests; a domain without a newer entry and not listed was not drained then. */
  readonly listRevision: number
  /** Time in milliseconds since the sender itself sent its last successful request for the list; absent if it has read none. */
  readonly readMsAgo?: number
  readonly entries: readonly DrainEntry[]
}

/** A message that may carry the sender's state of the drains. */
export interface DrainCarrier {
  readonly drains?: DrainState
}

/** A row of the store that names a domain to drain. */
export interface DrainRow {
  readonly key: string
  readonly domain: string
  readonly revision: number
  /** Why the row is no valid request; absent for a valid one. */
  readonly problem?: string
}

/** A row that was written or removed. */
export interface DrainRowChange extends DrainRow {
  readonly deleted: boolean
}

/** A row that has no effect. */
export interface IgnoredDrainRow {
  readonly key: string
  readonly revision: number
  readonly reason: string
}

/** Receives a notification after each change of the drained domains. */
export abstract class DrainObserver {
  abstract onDrainsChanged (): void
}

/** What the drains of one instance depend on. */
export interface DomainDrainsOptions {
  /** Name of this instance. */
  readonly instance: string
  /** All failure domains; requests for others are ignored. */
  readonly domains: readonly string[]
  /** Time in milliseconds after the write of a request from which no task may start in the domain; undefined if domains can't be drained. */
  readonly drainBoundMs: number | undefined
  readonly clock: Clock
  readonly log: EventLog
}

/**
 * The drained domains as this instance knows them, from the store or from peers. For each domain the evidence with the
 * highest store revision counts. Only a list shows that a domain is not drained without naming it, because a watch may
 * miss a change without an error. The state has at most one entry for each domain of the settings. Times are those of the
 * clock that counts suspensions, so that a suspended machine does not take old evidence for recent.
 */
export class DomainDrains {
  readonly #options: DomainDrainsOptions
  readonly #observers = new Set<DrainObserver>()
  readonly #entries = new Map<string, DrainEntry>()
  readonly #ignored = new Map<string, IgnoredDrainRow>()
  /** Time at which the newest own list without the domain was requested, by domain. */
  readonly #absentAt = new Map<string, number>()
  #listRevision = 0
  /** Time at which the newest own list was requested. */
  #readAt = -Infinity
  /** Newest time since which a peer has sent a state that was recent enough to start tasks by. */
  #peerHeardAt = -Infinity

  constructor (options: DomainDrainsOptions) {
    this.#options = options
  }

  /** Whether domains can be drained. */
  get isEnabled (): boolean { return this.#options.drainBoundMs !== undefined }

  /** Time in milliseconds after the write of a request from which no task may start in the domain; infinite if domains can't be drained. */
  get drainBoundMs (): number { return this.#options.drainBoundMs ?? Infinity }

  addObserver (observer: DrainObserver): void {
    this.#observers.add(observer)
  }

  removeObserver (observer: DrainObserver): void {
    this.#observers.delete(observer)
  }

  isDrained (domain: string): boolean {
    return this.#entries.get(domain)?.isDrained === true
  }

  /** @returns the revision of the row that requests the drain of a domain; undefined if it is not drained */
  findRevision (domain: string): number | undefined {
    const entry = this.#entries.get(domain)
    return entry?.isDrained === true ? entry.rowRevision : undefined
  }

  /** @returns the time at which this instance requested its newest list without a drain of the domain; `-Infinity` if it has read none */
  getAbsentAt (domain: string): number {
    return this.#absentAt.get(domain) ?? -Infinity
  }

  /** @returns milliseconds since this instance requested its newest list; infinite if it has read none */
  measureReadAgeMs (): number {
    return this.#options.clock.readElapsed() - this.#readAt
  }

  /** @returns whether a list that was requested since a time was read, or a peer has sent a recent state since then */
  hasStateSince (elapsed: number): boolean {
    return !this.isEnabled || this.#readAt >= elapsed || this.#peerHeardAt >= elapsed
  }

  /** @returns the rows that have no effect */
  listIgnored (): readonly IgnoredDrainRow[] {
    return [...this.#ignored.values()]
  }

  /** @returns the field of a message that carries this state; nothing if domains can't be drained or nothing is known yet */
  describe (): DrainCarrier {
    if (!this.isEnabled || (this.#listRevision === 0 && this.#entries.size === 0)) return {}
    const readMsAgo = roundIfFinite(this.measureReadAgeMs())
    return { drains: { listRevision: this.#listRevision, ...(readMsAgo === undefined ? {} : { readMsAgo }), entries: [...this.#entries.values()] } }
  }

  /**
   * Applies all requests that a list of the store has shown.
   *
   * @param rows - all rows that name a domain to drain
   * @param revision - store revision of the list
   * @param sentElapsed - time at which the list was requested
   */
  applyList (rows: readonly DrainRow[], revision: number, sentElapsed: number): void {
    for (const key of [...this.#ignored.keys()]) if (!rows.some(row => row.key === key)) this.#ignored.delete(key)
    const valid = rows.filter(row => this.#isValid(row))
    if (!this.isEnabled) return
    this.#readAt = Math.max(this.#readAt, sentElapsed)
    const requested = new Set(valid.map(row => row.domain))
    for (const domain of this.#options.domains) {
      if (!requested.has(domain)) this.#absentAt.set(domain, Math.max(this.getAbsentAt(domain), sentElapsed))
    }
    const entries = valid.map(row => ({ domain: row.domain, isDrained: true, rowRevision: row.revision, seenRevision: Math.max(revision, row.revision) }))
    this.#merge(revision, entries, 'store')
  }

  /** Applies changes of single rows, which a watch of the store has delivered. */
  applyChanges (changes: readonly DrainRowChange[]): void {
    for (const { key, deleted } of changes) if (deleted) this.#ignored.delete(key)
    const entries = changes
      .filter(({ domain }) => this.#options.domains.includes(domain))
      .map(row => ({ domain: row.domain, isDrained: !row.deleted && this.#isValid(row), rowRevision: row.revision, seenRevision: row.revision }))
    for (const row of changes) if (!row.deleted && !this.#options.domains.includes(row.domain)) this.#isValid(row)
    if (this.isEnabled) this.#merge(0, entries, 'store')
  }

  /**
   * Takes over what a message of another instance shows to be newer.
   *
   * @param message - message that may carry a state of the drains
   * @param instance - name of the sender
   * @param sentAfter - time, by this instance's clock, after which the message was certainly sent; undefined if it may have
   *   waited while this process was paused
   */
  receive (message: DrainCarrier, instance: string, sentAfter?: number): void {
    const { drains } = message
    if (!isDrainState(drains) || !this.isEnabled || instance === this.#options.instance) return
    this.#merge(drains.listRevision, drains.entries, `instance ${instance}`)
    // A request that an older state lacks may be due already.
    if (sentAfter !== undefined && drains.readMsAgo !== undefined && drains.readMsAgo <= this.drainBoundMs - drainMarginMs) this.#peerHeardAt = Math.max(this.#peerHeardAt, sentAfter)
  }

  /** Logs and remembers an invalid row, once for its revision. */
  #isValid ({ key, domain, revision, problem }: DrainRow): boolean {
    const reason = !this.isEnabled ? 'not enabled in the settings' : !this.#options.domains.includes(domain) ? 'unknown domain' : problem
    const shownKey = key.slice(0, maxShownLength)
    if (reason === undefined) {
      this.#ignored.delete(key)
      return true
    }
    const known = this.#ignored.get(key)
    if (known?.revision === revision || (known === undefined && this.#ignored.size >= maxIgnoredRows)) return false
    this.#ignored.set(key, { key: shownKey, revision, reason })
    this.#options.log.log('belief', 'drain-ignored', { key: shownKey, revision, reason })
    return false
  }

  /**
   * Merges evidence into this state.
   *
   * @param listRevision - revision of a complete list, 0 for single entries; domains without an entry were not drained then
   * @param entries - what is known of single domains
   * @param source - where the evidence comes from, for the log
   */
  #merge (listRevision: number, entries: readonly DrainEntry[], source: string): void {
    let isChanged = false
    for (const domain of this.#options.domains) {
      const known = this.#entries.get(domain) ?? { domain, isDrained: false, rowRevision: 0, seenRevision: this.#listRevision }
      const found = findNewest(entries, domain) ?? { domain, isDrained: false, rowRevision: listRevision, seenRevision: listRevision }
      // At equal revisions a drain counts, because a start in a drained domain is the graver fault.
      const isNewer = found.seenRevision > known.seenRevision || (found.seenRevision === known.seenRevision && found.isDrained && !known.isDrained)
      if (!isNewer) continue
      this.#entries.set(domain, found)
      if (found.isDrained === known.isDrained) continue
      isChanged = true
      this.#logChange(found, known, source)
    }
    this.#listRevision = Math.max(this.#listRevision, listRevision)
    for (const [domain, entry] of [...this.#entries]) if (!entry.isDrained && entry.seenRevision <= this.#listRevision) this.#entries.delete(domain)
    if (isChanged) for (const observer of [...this.#observers]) observer.onDrainsChanged()
  }

  #logChange ({ domain, isDrained, rowRevision, seenRevision }: DrainEntry, known: DrainEntry, source: string): void {
    const inputs = { domain, source, seenRevision, readMsAgo: roundIfFinite(this.measureReadAgeMs()) }
    if (!isDrained) {
      this.#options.log.log('belief', 'domain-drain-ends', { ...inputs, revision: known.rowRevision })
      return
    }
    const absentMsAgo = roundIfFinite(this.#options.clock.readElapsed() - this.getAbsentAt(domain))
    this.#options.log.log('belief', 'domain-drain-begins', { ...inputs, revision: rowRevision, absentMsAgo })
  }
}

/** @returns the newest evidence of a domain; one reply of a watch may hold several changes of a row */
function findNewest (entries: readonly DrainEntry[], domain: string): DrainEntry | undefined {
  let newest: DrainEntry | undefined
  for (const entry of entries) if (entry.domain === domain && entry.seenRevision >= (newest?.seenRevision ?? 0)) newest = entry
  return newest
}

/** @returns false also for a state of another version that lacks what this one reads */
function isDrainState (state: DrainState | undefined): state is DrainState {
  return state !== undefined && Number.isFinite(state.listRevision) && Array.isArray(state.entries)
}
