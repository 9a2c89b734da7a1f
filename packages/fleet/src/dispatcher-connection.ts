import { type Clock } from '@sesamereel/coordination'
import { type CancelledEntry, CancelledJobs } from './cancelled-jobs.js'
import { type ConfigurationRelay } from './configuration-relay.js'
import { type Directory, type InstanceEntry, tokensPerRevision } from './directory.js'
import { type DispatcherConnectionObserver } from './dispatcher-connection-observer.js'
import { type DomainDrains } from './domain-drains.js'
import { type EventLog } from './event-log.js'
import { LingeringList } from './lingering-list.js'
import { type LocalDispatcherRegistry } from './local-dispatcher-registry.js'
import { type DispatcherMessage, type HeartbeatMessage, type LoadSummary, type OwnerMessage } from './messages.js'
import { startPeriodicTimer } from './periodic-timer.js'
import { type PeerConnector, type PeerStream } from './peer-streams.js'

/** Interval in milliseconds between checks of a connection. */
const checkIntervalMs = 50

/**
 * Longest time in milliseconds between two checks that counts as silence or as loss of the dispatcher. In a longer
 * one this process was paused or busy, and what has arrived meanwhile is read only after the check.
 */
const maxObservedMs = 2 * checkIntervalMs

/** Time in milliseconds without any message after which a connected dispatcher is asked for one; longer than between its heartbeats. */
const pingAfterMs = 250

/** Minimum interval in milliseconds between two such requests. */
const pingIntervalMs = 100

/** Time in milliseconds without any message after which the connection is closed. */
const heartbeatTimeoutMs = 450

/** Time limit in milliseconds for opening a stream, and again for the dispatcher's first message on it. */
const connectTimeoutMs = 200

/**
 * Time in milliseconds after the end of a dispatcher until all its leases have expired, including at
 * targets with slow clocks. It also covers a dispatcher that goes on behind a partition that refuses
 * connections: no run outlives the owner's last sign of life by the resubmission time.
 */
const endedDispatcherRunExpiryMs = 1_300

/**
 * Time in milliseconds after the loss of a dispatcher that may still be running until no run that it
 * started for this owner can exist: it detects the owner's heartbeat timeout, waits for the owner to
 * reconnect, drops the owner's jobs, and the longest lease expires.
 */
export const lostDispatcherRunExpiryMs = 2_300

/** What the connection to the dispatcher of one domain depends on. */
export interface DispatcherConnectionOptions {
  readonly domain: string
  readonly self: InstanceEntry
  readonly directory: Directory
  readonly connector: PeerConnector
  readonly local: LocalDispatcherRegistry
  readonly relay: ConfigurationRelay
  /** State of the drains that is exchanged with the dispatcher; undefined for none. */
  readonly drains?: DomainDrains
  readonly clock: Clock
  readonly log: EventLog
  readonly observer: DispatcherConnectionObserver
  /** Cancelled jobs, shared with the owner of this process; by default a list of the connection's own. */
  readonly cancelled?: CancelledJobs
}

interface Endpoint {
  readonly instance: string
  readonly incarnation: string
  readonly address: string
}

/**
 * Connection of this instance to the dispatcher of one domain. It prefers a local dispatcher, then
 * tries the holder that the directory names, then the successors in order. Heartbeats detect a
 * dispatcher that no longer responds.
 */
export class DispatcherConnection {
  readonly #options: DispatcherConnectionOptions
  #stream: PeerStream | undefined
  #connected = false
  /** Number of streams that were opened to dispatchers of the domain. */
  #streamCount = 0
  #token = 0
  #load: LoadSummary | undefined
  #settledSequence = 0
  readonly #lingering = new LingeringList()
  readonly #cancelled: CancelledJobs
  #disconnectedAt: number
  #lastMessageAt = 0
  #pingedAt = -Infinity
  #checkedAt: number
  /** Time in milliseconds without a message, or without a connection, in which this process ran. */
  #observedMs = 0
  /** Newest `sentAt` that was received on the current stream. */
  #heardSentAt: number | undefined
  #holder: Endpoint | undefined
  /** Whether the last attempt proved that the named holder no longer dispatches. */
  #isHolderGone = false
  /** Incarnation of the last holder that was connected, or to which an attempt to connect has ended. */
  #triedIncarnation: string | undefined
  /** Whether the previously connected dispatcher has provably ended. */
  #previousHasEnded = false
  /** Clock time by which all runs that earlier dispatchers started for this owner have ended. */
  #earlierRunsEndAt = 0
  #closed = false
  #connecting = false
  /** Revision of the domain's row whose endpoints are being tried. */
  #triedRevision = 0
  /** Gives up the attempt that waits for the first message of an endpoint. */
  #abandonAttempt: (() => void) | undefined
  #cancelTimer: (() => void) | undefined

  constructor (options: DispatcherConnectionOptions) {
    this.#options = options
    this.#cancelled = options.cancelled ?? new CancelledJobs()
    this.#disconnectedAt = options.clock.now()
    this.#checkedAt = this.#disconnectedAt
  }

  get domain (): string { return this.#options.domain }
  get isConnected (): boolean { return this.#connected }
  get token (): number { return this.#token }
  get load (): LoadSummary | undefined { return this.#load }
  /** Sequence number up to which the dispatcher's announcements of starts are settled. */
  get settledSequence (): number { return this.#settledSequence }
  /** Instance to which this connection was made last. */
  get holder (): string | undefined { return this.#holder?.instance }
  /** Whether the holder that the directory names has proved not to dispatch any more. */
  get isHolderGone (): boolean { return this.#isHolderGone }

  /** Whether the first attempt to connect to the holder that the directory names has not ended yet. */
  get isHolderUntried (): boolean {
    const entry = this.#options.directory.findDispatcher(this.domain)
    return entry !== undefined && entry.incarnation !== this.#triedIncarnation
  }

  /** @returns milliseconds without a connection; 0 while connected */
  measureLostMs (): number {
    return this.#connected ? 0 : this.#options.clock.now() - this.#disconnectedAt
  }

  /** @returns milliseconds without a connection in which this process ran, so that it could have connected; 0 while connected */
  measureObservedLostMs (): number {
    return Math.min(this.measureLostMs(), this.#observedMs)
  }

  /** @returns whether the process with this incarnation was the last one to accept this connection */
  hasBeenConnectedTo (incarnation: string): boolean {
    return this.#holder?.incarnation === incarnation
  }

  /** @returns milliseconds until all runs that earlier dispatchers of the domain started for this owner have ended */
  measureQuietMs (): number {
    return Math.max(0, this.#earlierRunsEndAt - this.#options.clock.now())
  }

  /** @returns milliseconds since the list of lingering jobs was last received; undefined if it was not on this connection */
  measureListAgeMs (): number | undefined {
    return this.#lingering.measureAgeMs(this.#options.clock.now())
  }

  /** @returns whether the dispatcher, or the one before it, reported that it may still hold the job or runs of it */
  isLingering (jobId: string): boolean {
    return this.#lingering.has(jobId) || (this.#lingering.wasListedEarlier(jobId) && this.measureQuietMs() > 0)
  }

  start (): void {
    this.#cancelTimer = startPeriodicTimer(this.#options.clock, checkIntervalMs, () => { this.#check() })
    this.#connect()
  }

  close (): void {
    this.#closed = true
    this.#cancelTimer?.()
    this.#stream?.close('the connection is closed')
  }

  send (message: OwnerMessage): void {
    this.#stream?.send(message)
  }

  /**
   * Subtracts a job that was just submitted from the free capacity, until the next heartbeat reply updates it.
   *
   * @param processors - demand of the job, in thousandths of a core
   */
  reserveProcessors (processors: number): void {
    if (this.#load === undefined) return
    this.#load = { ...this.#load, freeProcessors: this.#load.freeProcessors - processors }
  }

  /**
   * Reacts to a change of the directory or of the local dispatchers: closes the connection if another
   * dispatcher with a higher token holds the domain, and connects at once if disconnected.
   */
  refresh (): void {
    if (this.#closed) return
    const entry = this.#options.directory.findDispatcher(this.domain)
    const isSuperseded = entry !== undefined && this.#holder !== undefined && entry.incarnation !== this.#holder.incarnation && entry.revision * tokensPerRevision > this.#token
    if (this.#connected && isSuperseded) this.#stream?.close('another dispatcher holds the domain')
    if (this.#connected) return
    // The endpoint that is being tried belongs to an earlier row.
    if (entry !== undefined && entry.revision !== this.#triedRevision) this.#abandonAttempt?.()
    this.#connect()
  }

  /** Connects, or checks whether the dispatcher still responds. */
  #check (): void {
    const now = this.#options.clock.now()
    this.#observedMs += Math.min(now - this.#checkedAt, maxObservedMs)
    this.#checkedAt = now
    if (!this.#connected) {
      this.#connect()
      return
    }
    const silentMs = Math.min(now - this.#lastMessageAt, this.#observedMs)
    if (silentMs > heartbeatTimeoutMs) {
      this.#stream?.close('silent')
      return
    }
    if (silentMs < pingAfterMs || now - this.#pingedAt < pingIntervalMs) return
    this.#pingedAt = now
    this.send({ type: 'ping', configurationVersion: this.#options.relay.version, ...(this.#heardSentAt === undefined ? {} : { heardSentAt: this.#heardSentAt }) })
  }

  #connect (): void {
    if (this.#connecting || this.#connected || this.#closed) return
    this.#connecting = true
    this.#tryEndpoints()
      .catch((error: unknown) => { this.#options.log.logError('domain-link', error) })
      .finally(() => { this.#connecting = false })
  }

  async #tryEndpoints (): Promise<void> {
    if (this.#connectLocally()) return
    const entry = this.#options.directory.findDispatcher(this.domain)
    if (entry === undefined) return
    this.#triedRevision = entry.revision
    for (const endpoint of [entry, ...entry.successors]) {
      if (endpoint.incarnation === this.#options.self.incarnation) continue
      const isGone = await this.#tryEndpoint(endpoint).finally(() => {
        if (endpoint.incarnation === entry.incarnation) this.#triedIncarnation = entry.incarnation
      })
      if (endpoint.incarnation === entry.incarnation) this.#isHolderGone = isGone
      if (isGone && endpoint.incarnation === this.#holder?.incarnation) this.#previousHasEnded = true
      if (this.#connected || this.#closed) return
      // This instance may have become the dispatcher meanwhile: a domain without one is claimed by its
      // instances, and only in that case are the successors worth trying.
      if (this.#connectLocally()) return
      if (this.#options.directory.findDispatcher(this.domain)?.revision !== entry.revision) {
        await this.#tryEndpoints()
        return
      }
    }
  }

  #createHello (): OwnerMessage {
    const { self, domain } = this.#options
    this.#streamCount++
    return { type: 'hello', instance: self.instance, incarnation: self.incarnation, domain, sequence: this.#streamCount, expectsList: true, confirmsStarts: true, homeDomain: self.domain, ...(this.#token > 0 ? { knownToken: this.#token } : {}), ...this.#options.drains?.describe() }
  }

  /** @returns whether this process has a dispatcher of the domain */
  #connectLocally (): boolean {
    const { local, domain, self } = this.#options
    const stream = local.open(domain, message => { this.#handleMessage(message, self) }, reason => {
      this.#previousHasEnded = !local.hasDispatcher(domain)
      this.#handleClose(stream, reason)
    })
    if (stream === undefined) return false
    this.#stream = stream
    stream.send(this.#createHello())
    return true
  }

  /** @returns whether the endpoint's process has proved not to be the dispatcher any more */
  async #tryEndpoint (endpoint: Endpoint): Promise<boolean> {
    const { connector, clock } = this.#options
    let finish: (isGone: boolean) => void = () => {}
    const settled = new Promise<boolean>(resolve => { finish = resolve })
    const result = await connector.open(endpoint.address, connectTimeoutMs, {
      onMessage: message => {
        const received = message as DispatcherMessage
        // First, because handling the message closes the stream, which ends the attempt without that evidence.
        if (received.type === 'not-dispatching') finish(this.#hasEndedAt(endpoint, received.incarnation))
        this.#handleMessage(received, endpoint)
        if (received.type === 'welcome') finish(false)
      },
      onClose: reason => {
        this.#handleClose(result.kind === 'open' ? result.stream : undefined, reason)
        finish(false)
      }
    })
    if (result.kind !== 'open') return result.kind === 'refused'
    this.#stream = result.stream
    result.stream.send(this.#createHello())
    this.#abandonAttempt = () => { finish(false) }
    const cancelTimeout = clock.startTimer(connectTimeoutMs, this.#abandonAttempt)
    const isGone = await settled
    cancelTimeout()
    this.#abandonAttempt = undefined
    if (!this.#connected) result.stream.close('no welcome message in time')
    return isGone
  }

  /**
   * Decides whether the dispatcher at an endpoint has ended when the process there answers that it does not dispatch. The
   * process that the row names may have claimed the domain a moment ago, and not have read the store's reply yet.
   *
   * @param incarnation - incarnation of the process that has answered
   */
  #hasEndedAt (endpoint: Endpoint, incarnation: string): boolean {
    return incarnation !== endpoint.incarnation || this.hasBeenConnectedTo(incarnation)
  }

  #handleMessage (message: DispatcherMessage, endpoint: Endpoint): void {
    this.#lastMessageAt = this.#options.clock.now()
    if (this.#connected) this.#observedMs = 0
    if (message.type === 'welcome' || message.type === 'heartbeat') this.#options.drains?.receive(message, endpoint.instance)
    switch (message.type) {
      case 'stopped': this.#previousHasEnded = true; return
      case 'welcome':
        this.#heardSentAt = message.sentAt
        this.#cancelled.merge(message.cancelled ?? [], this.#lastMessageAt)
        this.#handleWelcome(message, endpoint)
        if (this.#connected && message.sentAt !== undefined) this.#replyToHeartbeat(message.sentAt, message.cancelled)
        return
      case 'not-dispatching': this.#stream?.close('not dispatching'); return
      case 'configuration': this.#options.relay.applyIfNewer(message, `dispatcher of ${this.domain}`); return
      case 'configuration-request': this.#sendConfiguration(); return
      case 'heartbeat':
        this.#lingering.update(message, this.#options.clock.now())
        this.#cancelled.merge(message.cancelledAdded ?? [], this.#lastMessageAt)
        this.#settledSequence = message.settledSequence ?? 0
        this.#handleLoad(message)
        this.#replyToHeartbeat(message.sentAt)
        return
      case 'pong':
        if (message.lingering !== undefined) this.#lingering.replace(message.lingering, this.#options.clock.now())
        this.#handleLoad(message)
        return
      default: this.#options.observer.onDispatcherMessage(this, message)
    }
  }

  #handleWelcome ({ token, lingering }: Extract<DispatcherMessage, { type: 'welcome' }>, endpoint: Endpoint): void {
    const entry = this.#options.directory.findDispatcher(this.domain)
    if (entry !== undefined && token < entry.revision * tokensPerRevision) {
      this.#stream?.close('the dispatcher is superseded')
      return
    }
    const isNew = token !== this.#token
    // The runs of an even earlier dispatcher may last longer than those of the last one.
    if (isNew) this.#earlierRunsEndAt = Math.max(this.#earlierRunsEndAt, this.#disconnectedAt + (this.#previousHasEnded ? endedDispatcherRunExpiryMs : lostDispatcherRunExpiryMs))
    this.#previousHasEnded = false
    this.#lingering.begin(lingering, isNew, this.#options.clock.now())
    this.#connected = true
    this.#settledSequence = 0
    this.#observedMs = 0
    this.#isHolderGone = false
    this.#triedIncarnation = endpoint.incarnation
    this.#token = token
    this.#holder = endpoint
    this.#options.log.log('belief', 'dispatcher-linked', { domain: this.domain, holder: endpoint.instance, token, afterMs: Math.round(this.#lastMessageAt - this.#disconnectedAt) })
    this.#options.observer.onConnected(this, isNew)
  }

  /**
   * Answers at once: the dispatcher keeps runs alive only for owners that it knows to live.
   *
   * @param listed - cancelled jobs that a welcome has listed, so that the answer lists only others; undefined for a
   *   heartbeat, and for a dispatcher of an earlier version
   */
  #replyToHeartbeat (heardSentAt: number, listed?: readonly CancelledEntry[]): void {
    const cancelled = listed === undefined ? [] : this.#cancelled.listOthers(listed, this.#options.clock.now())
    this.send({ type: 'heartbeat-reply', configurationVersion: this.#options.relay.version, heardSentAt, ...(cancelled.length > 0 ? { cancelled } : {}), ...this.#options.drains?.describe() })
  }

  #handleLoad (message: HeartbeatMessage | Extract<DispatcherMessage, { type: 'pong' }>): void {
    this.#load = message.load
    this.#heardSentAt = message.sentAt
    this.#options.relay.notePeerVersion(message.configurationVersion, this.#options.clock.now(), () => { this.send({ type: 'configuration-request' }) })
    this.#options.observer.onLoadChanged(this)
  }

  #sendConfiguration (): void {
    const { current } = this.#options.relay
    if (current !== undefined) this.send({ type: 'configuration', ...current })
  }

  #handleClose (stream: PeerStream | undefined, reason: string): void {
    if (stream === undefined || stream !== this.#stream) return
    this.#stream = undefined
    if (!this.#connected) return
    this.#connected = false
    this.#observedMs = 0
    this.#load = undefined
    this.#disconnectedAt = this.#options.clock.now()
    this.#options.log.log('belief', 'dispatcher-lost', { domain: this.domain, holder: this.#holder?.instance, token: this.#token, reason, heardMsAgo: Math.round(this.#disconnectedAt - this.#lastMessageAt) })
    this.#options.observer.onDisconnected(this)
    if (!this.#closed) this.#connect()
  }
}
