import { type Clock } from '@sesamereel/coordination'
import { decideCandidacy, rankInstances } from './candidacy.js'
import { type Directory, directoryTable, type DispatcherEntry, formatDispatcherKey, formatInstanceKey, type InstanceEntry, parseDispatcherRow, tokensPerRevision } from './directory.js'
import { Dispatcher, type DispatcherOptions } from './dispatcher.js'
import { computeToken } from './fencing-tokens.js'
import { type DispatcherConnection } from './dispatcher-connection.js'
import { type EventLog } from './event-log.js'
import { type FleetMetrics } from './fleet-metrics.js'
import { type JobOwner } from './job-owner.js'
import { defaultFleetLimits } from './limits.js'
import { type EarlierOrder } from './messages.js'
import { type MetadataStore } from './metadata-store.js'
import { OrderRecorder } from './order-recorder.js'
import { type OwnerServer } from './owner-server.js'
import { startPeriodicTimer } from './periodic-timer.js'
import { type TargetList } from './target-list.js'

/** Interval in milliseconds between checks of the registration and of all domains. */
const checkIntervalMs = 50

/** Number of successors that a dispatcher's row names. */
const successorCount = 3

/**
 * Shortest interval in milliseconds between two renewals of a claim for a higher token. Candidates wait for a holder that
 * is new in the row, so that the row must not change often.
 */
const minRenewalIntervalMs = 5_000

/** Time limit in milliseconds for a planned successor to claim the domain; then the old dispatcher stops anyway. */
const handOverTimeoutMs = 700

/** Time limit in milliseconds for writing the open orders of a dispatcher that ends to the store. */
const recordTimeoutMs = 400

/** Minimum interval in milliseconds between attempts to register this instance. */
const registrationRetryMs = 500

/**
 * Time in milliseconds that a holder to which this instance has never been connected has to become reachable, unless
 * it has proved to be gone. Without it, a candidate that has just started, or a new holder that is short of processor
 * time, is taken for the loss of the holder, and two instances take the domain from each other several times a second.
 */
const newHolderGraceMs = 700

/** Time in milliseconds that a domain's dispatcher has to become reachable again once the domain's targets respond. */
const foreignClaimGraceMs = 700

/** Additional delay in milliseconds for each rank among the instances of other domains. */
const foreignDelayPerRankMs = 150

/** Checks whether a domain's targets respond, which an instance of another domain needs to dispatch there. */
export abstract class DomainProbe {
  abstract canReachTargets (domain: string): Promise<boolean>
}

export interface DispatcherElectionOptions {
  readonly self: InstanceEntry
  readonly store: MetadataStore
  readonly directory: Directory
  readonly targets: TargetList
  readonly server: OwnerServer
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: FleetMetrics
  readonly probe: DomainProbe
  /** Owner of this instance, which reports the orders that its dispatchers leave open to their successors. */
  readonly owner: Pick<JobOwner, 'keepOrders' | 'listUnreportedOrders'>
  /** Builds the options of a new dispatcher; `onSuperseded` stops it. */
  readonly createDispatcherOptions: (domain: string, token: number, onSuperseded: () => void) => DispatcherOptions
}

/**
 * Decides when this instance becomes the dispatcher of a domain and when it stops being one. The
 * domain's row names the holder, and the fencing token is computed from the row's revision, so
 * holders need no lease.
 */
export class DispatcherElection {
  readonly #options: DispatcherElectionOptions
  readonly #connections = new Map<string, DispatcherConnection>()
  readonly #pendingClaims = new Set<string>()
  readonly #endedTokens = new Map<string, number>()
  /** Monotonic time in milliseconds at which the claim of each domain was last renewed for a higher token. */
  readonly #renewedAt = new Map<string, number>()
  /**
   * Time at which each domain's row first named its current holder, which gets time to become reachable: `at` counts
   * only changes that this process has seen, `knownAt` also the first read.
   */
  readonly #holdersSince = new Map<string, { readonly revision: number, readonly at: number, readonly knownAt: number }>()
  #registrationTriedAt = -Infinity
  #isRegistered = false
  #isStoreReachable = true
  #isLeaving = false
  #cancelTick: (() => void) | undefined

  constructor (options: DispatcherElectionOptions) {
    this.#options = options
  }

  addConnection (connection: DispatcherConnection): void {
    this.#connections.set(connection.domain, connection)
  }

  start (): void {
    this.#cancelTick = startPeriodicTimer(this.#options.clock, checkIntervalMs, () => { this.#tick() })
    this.#tick()
  }

  /** Hands over all domains, waits a limited time until successors hold them, and deletes the registration. */
  async leave (): Promise<void> {
    this.#isLeaving = true
    await Promise.all(this.#options.server.listDispatchers().map(async dispatcher => { await this.#handOver(dispatcher) }))
    await this.#options.store.write({ table: directoryTable, key: formatInstanceKey(this.#options.self.instance) })
  }

  /**
   * Ends all dispatchers of this instance, and writes the open orders that no dispatcher knows of to the store. To be called when
   * the process ends as planned, after its jobs.
   */
  async retire (): Promise<void> {
    this.#isLeaving = true
    const { server, owner } = this.#options
    await Promise.all(server.listDispatchers().map(async dispatcher => { await this.#retireDispatcher(dispatcher, 'the instance stops') }))
    await Promise.all(owner.listUnreportedOrders().map(async ({ domain, orders }) => { await this.#recordOrders(domain, orders) }))
  }

  close (): void {
    this.#cancelTick?.()
    for (const dispatcher of this.#options.server.listDispatchers()) this.#stopDispatcher(dispatcher, 'the instance stops')
  }

  /** Claims a domain whose dispatcher hands it over to this instance. */
  takeOver (domain: string): void {
    if (this.#isLeaving || this.#options.server.findDispatcher(domain) !== undefined) return
    this.#beginClaim(domain, 'handed-over')
  }

  /** Stops dispatchers whose row names another holder with a higher token, and refreshes all connections. */
  onDirectoryChanged (): void {
    const { directory, self, server, targets } = this.#options
    for (const dispatcher of server.listDispatchers()) {
      const entry = directory.findDispatcher(dispatcher.domain)
      if (entry === undefined || entry.incarnation === self.incarnation) continue
      if (entry.revision * tokensPerRevision > dispatcher.token) this.#replaceDispatcher(dispatcher, `the row names ${entry.instance}`)
    }
    targets.setFollowing(this.#isNamedInRows())
    for (const connection of this.#connections.values()) connection.refresh()
  }

  #tick (): void {
    this.#register()
    if (this.#isLeaving) return
    for (const [domain, connection] of this.#connections) this.#checkDomain(domain, connection)
  }

  /** Writes this instance's row until a write is committed, and again whenever the row shows another incarnation. */
  #register (): void {
    const { self, store, clock, directory } = this.#options
    const known = directory.findInstance(self.instance)
    if (this.#isLeaving || (this.#isRegistered && (known === undefined || known.incarnation === self.incarnation))) return
    if (clock.now() - this.#registrationTriedAt < registrationRetryMs) return
    this.#registrationTriedAt = clock.now()
    store.write({ table: directoryTable, key: formatInstanceKey(self.instance), value: JSON.stringify(self) })
      .then(reply => {
        this.#isStoreReachable = reply.kind === 'committed' || reply.kind === 'conflict'
        this.#isRegistered = reply.kind === 'committed'
        if (!this.#isRegistered) this.#options.log.log('belief', 'registration-failed', { reply: reply.kind })
      })
      .catch((error: unknown) => { this.#options.log.logError('registration', error) })
  }

  #checkDomain (domain: string, connection: DispatcherConnection): void {
    const { self, directory, server } = this.#options
    if (connection.isConnected || this.#pendingClaims.has(domain) || !directory.isLoaded || server.findDispatcher(domain) !== undefined) return
    const entry = directory.findDispatcher(domain)
    if (entry?.incarnation === self.incarnation) {
      // A claim of this instance was committed although its reply was lost, or its dispatcher was fenced by one that the row does not name.
      const token = computeToken(entry.revision)
      if (token > this.#getEndedToken(domain)) this.#becomeDispatcher(domain, token, 'claim-found')
      else this.#beginClaim(domain, 'fenced')
      return
    }
    const unavailableMs = this.#measureClaimableMs(domain, entry, connection)
    const successor = entry?.successors.findIndex(other => other.incarnation === self.incarnation) ?? -1
    const candidacy = decideCandidacy({
      self,
      domain,
      members: directory.listInstances(domain),
      lostMs: unavailableMs,
      isHolderUntried: connection.isHolderUntried,
      successorRank: successor < 0 ? undefined : successor,
      storeReachable: this.#isStoreReachable,
      formerHolder: connection.isHolderGone ? entry?.instance : undefined
    })
    if (candidacy === 'claim') this.#beginClaim(domain, `lost for ${Math.round(unavailableMs)} ms`)
    else if (candidacy === 'take-over-without-store') this.#becomeDispatcher(domain, computeToken(entry!.revision, successor + 1), 'without-store')
  }

  /** @returns whether the row of a domain names this instance as the holder or as a successor */
  #isNamedInRows (): boolean {
    const { directory, self } = this.#options
    return [...this.#connections.keys()].some(domain => {
      const entry = directory.findDispatcher(domain)
      return entry !== undefined && [entry, ...entry.successors].some(({ incarnation }) => incarnation === self.incarnation)
    })
  }

  #beginClaim (domain: string, reason: string): void {
    if (this.#pendingClaims.has(domain)) return
    this.#pendingClaims.add(domain)
    this.#claim(domain, reason)
      .catch((error: unknown) => { this.#options.log.logError('claim', error) })
      .finally(() => { this.#pendingClaims.delete(domain) })
  }

  /** Writes the row of a domain that this instance holds again, which gives its dispatcher a higher token. */
  #renewClaim (dispatcher: Dispatcher): void {
    const { domain } = dispatcher
    const now = this.#options.clock.now()
    if (dispatcher.isStopped || this.#isLeaving || now - (this.#renewedAt.get(domain) ?? -Infinity) < minRenewalIntervalMs) return
    const entry = this.#options.directory.findDispatcher(domain)
    // A successor that has taken over without the store claims the row as soon as it can.
    if (entry?.incarnation !== this.#options.self.incarnation || this.#pendingClaims.has(domain)) return
    this.#renewedAt.set(domain, now)
    this.#pendingClaims.add(domain)
    this.#writeClaim(domain, entry, 'tokens-used')
      .catch((error: unknown) => { this.#options.log.logError('claim', error) })
      .finally(() => { this.#pendingClaims.delete(domain) })
  }

  /** Tries to write this instance into the domain's row, on condition that the row has not changed since it was read. */
  async #claim (domain: string, reason: string): Promise<void> {
    const { self, directory } = this.#options
    if (self.domain !== domain && !await this.#shouldClaimForeignDomain(domain)) return
    const before = directory.findDispatcher(domain)
    const current = await this.#readRow(domain)
    if (current === 'unavailable') return
    if (current !== undefined && current.revision !== (before?.revision ?? 0)) {
      directory.recordDispatcher(current)
      if (current.incarnation !== self.incarnation) return
    }
    await this.#writeClaim(domain, current, reason)
  }

  /** @param current - the row as it was read last; undefined if there is none */
  async #writeClaim (domain: string, current: DispatcherEntry | undefined, reason: string): Promise<void> {
    const { self, store, directory } = this.#options
    const value = { domain, instance: self.instance, incarnation: self.incarnation, address: self.address, successors: this.#pickSuccessors(domain) }
    const reply = await store.write({ table: directoryTable, key: formatDispatcherKey(domain), expectedRevision: current?.revision ?? 0, value: JSON.stringify(value) })
    this.#options.log.log('belief', 'claim', { domain, reason, expectedRevision: current?.revision ?? 0, previous: current?.instance, reply: reply.kind, revision: reply.kind === 'committed' ? reply.revision : undefined })
    this.#isStoreReachable = reply.kind === 'committed' || reply.kind === 'conflict'
    if (reply.kind === 'committed') {
      directory.recordDispatcher({ ...value, revision: reply.revision })
      this.#becomeDispatcher(domain, computeToken(reply.revision), 'claimed')
    } else if (reply.kind === 'conflict' || reply.kind === 'unknown') {
      const newest = await this.#readRow(domain)
      if (newest !== undefined && newest !== 'unavailable') directory.recordDispatcher(newest)
    }
  }

  /**
   * Decides whether this instance should claim another domain: the domain's targets respond, and its
   * dispatcher still does not become reachable within the grace time. The end of a network partition
   * brings both back at the same time, so reachable targets alone are no sign of a lost dispatcher.
   */
  async #shouldClaimForeignDomain (domain: string): Promise<boolean> {
    const { self, directory, probe, clock } = this.#options
    if (!await probe.canReachTargets(domain)) return false
    const others = rankInstances(directory.listInstances().filter(entry => entry.domain !== domain))
    const rank = Math.max(0, others.findIndex(entry => entry.instance === self.instance))
    await new Promise<void>(resolve => { clock.startTimer(foreignClaimGraceMs + rank * foreignDelayPerRankMs, resolve) })
    return !this.#connections.get(domain)!.isConnected && this.#measureUnavailableMs(domain) >= foreignClaimGraceMs
  }

  /** @returns milliseconds for which the domain has been unavailable, after the grace time of a holder that was never reached */
  #measureClaimableMs (domain: string, entry: DispatcherEntry | undefined, connection: DispatcherConnection): number {
    const unavailableMs = this.#measureUnavailableMs(domain)
    if (entry === undefined || connection.isHolderGone || connection.hasBeenConnectedTo(entry.incarnation)) return unavailableMs
    // The candidates keep the order of their ranks after the grace time.
    return Math.min(unavailableMs, this.#options.clock.now() - this.#holdersSince.get(domain)!.knownAt - newHolderGraceMs)
  }

  /** @returns milliseconds for which the domain's named dispatcher has been unreachable */
  #measureUnavailableMs (domain: string): number {
    const revision = this.#options.directory.findDispatcher(domain)?.revision ?? 0
    const now = this.#options.clock.now()
    const known = this.#holdersSince.get(domain)
    if (known?.revision !== revision) this.#holdersSince.set(domain, { revision, at: known === undefined ? -Infinity : now, knownAt: now })
    const lostMs = this.#connections.get(domain)?.measureObservedLostMs() ?? 0
    return Math.min(lostMs, now - this.#holdersSince.get(domain)!.at)
  }

  /** @returns the dispatcher's row; a malformed one yields an entry without a holder; undefined if there is none */
  async #readRow (domain: string): Promise<DispatcherEntry | undefined | 'unavailable'> {
    const reply = await this.#options.store.read(directoryTable, formatDispatcherKey(domain))
    this.#isStoreReachable = reply.kind === 'rows'
    if (reply.kind !== 'rows') return 'unavailable'
    const row = reply.rows[0]
    if (row === undefined) return undefined
    const entry = parseDispatcherRow(row)
    return entry ?? { domain, instance: '', incarnation: '', address: '', successors: [], revision: row.revision }
  }

  #pickSuccessors (domain: string): readonly InstanceEntry[] {
    const { directory, self } = this.#options
    return rankInstances(directory.listInstances(domain).filter(entry => entry.instance !== self.instance)).slice(0, successorCount)
  }

  /** Starts a dispatcher for the domain, or raises the token of the one that is running. */
  #becomeDispatcher (domain: string, token: number, cause: string): void {
    const { server, targets, log, metrics } = this.#options
    if (this.#isLeaving || token <= this.#getEndedToken(domain)) return
    const known = server.findDispatcher(domain)
    if (known !== undefined) {
      known.raiseToken(token)
      return
    }
    log.log('belief', 'dispatcher-begins', { domain, token, how: cause, targetsAgeMs: Math.round(targets.measureAgeMs()) })
    metrics.countTakeover(cause)
    const dispatcher: Dispatcher = new Dispatcher({
      ...this.#options.createDispatcherOptions(domain, token, () => { this.#replaceDispatcher(dispatcher, 'fenced by a higher token') }),
      requestToken: () => { this.#renewClaim(dispatcher) }
    })
    server.addDispatcher(dispatcher)
    targets.addDispatcher(dispatcher)
    this.#connections.get(domain)?.refresh()
  }

  /** @returns the highest token of this instance's dispatchers of the domain that have ended; targets may know a higher one */
  #getEndedToken (domain: string): number {
    return this.#endedTokens.get(domain) ?? 0
  }

  #stopDispatcher (dispatcher: Dispatcher, reason: string): void {
    if (dispatcher.isStopped) return
    this.#endedTokens.set(dispatcher.domain, Math.max(dispatcher.token, this.#getEndedToken(dispatcher.domain)))
    this.#options.log.log('belief', 'dispatcher-ends', { domain: dispatcher.domain, token: dispatcher.token, reason })
    dispatcher.stop()
    this.#options.targets.removeDispatcher(dispatcher)
    // Before the owner of this instance connects to the successor.
    this.#options.owner.keepOrders(dispatcher.domain, dispatcher.token, dispatcher.listOpenOrders())
    this.#options.server.removeDispatcher(dispatcher, reason)
  }

  /** Stops a dispatcher in whose place another one is. */
  #replaceDispatcher (dispatcher: Dispatcher, reason: string): void {
    this.#retireDispatcher(dispatcher, reason).catch((error: unknown) => { this.#options.log.logError('order-recorder', error) })
  }

  /** Stops a dispatcher and writes its open orders to the store, as its successor may be lost before this instance has reported them. */
  async #retireDispatcher (dispatcher: Dispatcher, reason: string): Promise<void> {
    this.#stopDispatcher(dispatcher, reason)
    await dispatcher.recordOpenOrders(recordTimeoutMs)
  }

  /** Writes orders that this instance has kept for a lost dispatcher to the store. */
  async #recordOrders (domain: string, orders: readonly EarlierOrder[]): Promise<void> {
    const { self, store, clock, log, metrics } = this.#options
    const recorder = new OrderRecorder({ domain, writer: self.incarnation, store, clock, lateOrderMs: defaultFleetLimits.lateOrderMs, log, metrics, isOutstanding: () => true, onRead: () => {} })
    for (const order of orders) recorder.add(order)
    await recorder.flush(recordTimeoutMs)
  }

  /** Hands a domain over to the best connected instance, preferably one of the domain itself. */
  async #handOver (dispatcher: Dispatcher): Promise<void> {
    const { server, directory, self, clock, log } = this.#options
    const { domain } = dispatcher
    const connected = server.listConnected(domain)
    const candidates = directory.listInstances().filter(entry => entry.instance !== self.instance && connected.has(entry.instance))
    const sameDomain = rankInstances(candidates.filter(entry => entry.domain === domain))
    const successor = sameDomain[0] ?? rankInstances(candidates)[0]
    log.log('belief', 'hand-over', { domain, successor: successor?.instance, candidates: candidates.length })
    if (successor === undefined) return
    dispatcher.prepareHandOver()
    server.notifyInstance(domain, successor.instance, { type: 'hand-over', successor: successor.instance })
    const deadline = clock.now() + handOverTimeoutMs
    while (!dispatcher.isStopped && clock.now() < deadline) {
      await new Promise<void>(resolve => { clock.startTimer(10, resolve) })
    }
    await this.#retireDispatcher(dispatcher, 'handed over')
  }
}
