import { type Clock } from '@sesamereel/coordination'
import { type ConfigurationRelay } from './configuration-relay.js'
import { type Dispatcher } from './dispatcher.js'
import { LocalDispatcherRegistry } from './local-dispatcher-registry.js'
import { type DomainDrains } from './domain-drains.js'
import { HeartbeatSource } from './heartbeat-source.js'
import { type DispatcherMessage, type OwnerMessage } from './messages.js'
import { OwnerConnection } from './owner-registry.js'
import { startPeriodicTimer } from './periodic-timer.js'
import { type PeerHandler, type PeerStream } from './peer-streams.js'

/** Time in milliseconds without any message after which an owner's connection is closed; a few heartbeats. */
const heartbeatTimeoutMs = 600

/** Interval in milliseconds between checks for heartbeat timeouts. */
const timeoutCheckIntervalMs = 150

/**
 * Longest time in milliseconds between two checks that counts as silence. In a longer one this process was paused or
 * busy, and the messages that have arrived meanwhile are read only after the check.
 */
const maxObservedMs = 2 * timeoutCheckIntervalMs

/**
 * Interval in milliseconds between two heartbeats to the owners of a dispatcher. Above the number of
 * owners the longer one applies, so that heartbeats take a bounded part of a dispatcher's time.
 */
const heartbeatIntervalMs = 100
const largeFleetHeartbeatIntervalMs = 200
const largeFleetOwners = 32

type HelloMessage = Extract<OwnerMessage, { type: 'hello' }>

/** Connection to an owner over a network stream or an in-process one. */
class StreamConnection extends OwnerConnection {
  override readonly ownerId: string
  override readonly sequence: number
  override readonly isWitness: boolean
  override readonly homeDomain: string | undefined
  override readonly knownToken: number | undefined
  readonly instance: string
  readonly #stream: PeerStream
  lastMessageAt: number
  /** Time in milliseconds without a message in which this process ran. */
  observedSilentMs = 0
  /** Whether the list of lingering jobs was sent on the connection. */
  hasList = false

  /** @param isLocal - whether the owner runs in this process */
  constructor (hello: HelloMessage, stream: PeerStream, now: number, isLocal: boolean) {
    super()
    this.ownerId = hello.incarnation
    this.sequence = hello.sequence ?? 0
    this.homeDomain = hello.homeDomain
    this.knownToken = hello.knownToken
    this.isWitness = hello.confirmsStarts === true && !isLocal
    this.instance = hello.instance
    this.#stream = stream
    this.lastMessageAt = now
  }

  override send (message: DispatcherMessage): void {
    this.#stream.send(message)
  }

  close (reason: string): void {
    this.#stream.close(reason)
  }
}

/** Accepts connections from the owners of all instances and passes their messages to the dispatchers of this process. */
export class OwnerServer extends LocalDispatcherRegistry {
  readonly #incarnation: string
  readonly #clock: Clock
  readonly #relay: ConfigurationRelay
  readonly #drains: DomainDrains | undefined
  readonly #dispatchers = new Map<string, Dispatcher>()
  readonly #heartbeats = new Map<string, HeartbeatSource>()
  /** Connections with the domain of their dispatcher. */
  readonly #connections = new Map<StreamConnection, string>()
  readonly #cancelTimers: ReadonlyArray<() => void>
  #lastHeartbeatAt = -Infinity
  #checkedAt: number

  /** @param drains - state of the drains that is exchanged with the owners; undefined for none */
  constructor (incarnation: string, clock: Clock, relay: ConfigurationRelay, drains?: DomainDrains) {
    super()
    this.#incarnation = incarnation
    this.#clock = clock
    this.#relay = relay
    this.#drains = drains
    this.#checkedAt = clock.now()
    this.#cancelTimers = [
      startPeriodicTimer(clock, timeoutCheckIntervalMs, () => { this.#closeSilentConnections() }),
      startPeriodicTimer(clock, heartbeatIntervalMs, () => { this.#sendHeartbeats() })
    ]
  }

  addDispatcher (dispatcher: Dispatcher): void {
    this.#dispatchers.set(dispatcher.domain, dispatcher)
    this.#heartbeats.set(dispatcher.domain, new HeartbeatSource(dispatcher))
  }

  /** Closes the connections of a dispatcher that has stopped, so that its owners connect to its successor. */
  removeDispatcher (dispatcher: Dispatcher, reason: string): void {
    this.#dispatchers.delete(dispatcher.domain)
    this.#heartbeats.delete(dispatcher.domain)
    for (const [connection, domain] of [...this.#connections]) {
      if (domain !== dispatcher.domain) continue
      connection.send({ type: 'stopped' })
      connection.close(reason)
    }
  }

  listDispatchers (): readonly Dispatcher[] {
    return [...this.#dispatchers.values()]
  }

  findDispatcher (domain: string): Dispatcher | undefined {
    return this.#dispatchers.get(domain)
  }

  override hasDispatcher (domain: string): boolean {
    return this.#dispatchers.has(domain)
  }

  /**
   * Sends a message to the owner at one instance, over its connections to a domain's dispatcher.
   *
   * @returns whether there was a connection
   */
  notifyInstance (domain: string, instance: string, message: DispatcherMessage): boolean {
    let isSent = false
    for (const [connection, connectedDomain] of this.#connections) {
      if (connectedDomain !== domain || connection.instance !== instance) continue
      connection.send(message)
      isSent = true
    }
    return isSent
  }

  /** @returns instances whose owners are connected to the domain's dispatcher */
  listConnected (domain: string): ReadonlySet<string> {
    return new Set([...this.#connections].filter(([, connectedDomain]) => connectedDomain === domain).map(([connection]) => connection.instance))
  }

  /**
   * Serves a stream that another instance has opened.
   *
   * @param connect - attaches the handler to the stream and returns it
   */
  serve (connect: (handler: PeerHandler) => PeerStream): void {
    let connection: StreamConnection | undefined
    const stream: PeerStream = connect({
      onMessage: message => {
        const received = message as OwnerMessage
        if (received.type === 'hello') connection = this.#acceptHello(received, stream, false)
        else if (connection !== undefined) this.#handleMessage(connection, received)
      },
      onClose: () => { if (connection !== undefined) this.#removeConnection(connection) }
    })
  }

  override open (domain: string, onMessage: (message: DispatcherMessage) => void, onClose: (reason: string) => void): PeerStream | undefined {
    if (!this.#dispatchers.has(domain)) return undefined
    let connection: StreamConnection | undefined
    let isClosed = false
    const replyStream: PeerStream = {
      // Deferred, as on a network stream: the owner replies to the welcome with jobs, and handling them needs
      // `connection`, which is assigned only after the hello was processed.
      send: message => { queueMicrotask(() => { if (!isClosed) onMessage(message as DispatcherMessage) }) },
      close: reason => {
        if (isClosed) return
        isClosed = true
        if (connection !== undefined) this.#removeConnection(connection)
        onClose(reason)
      }
    }
    return {
      send: message => {
        const received = message as OwnerMessage
        if (received.type === 'hello') connection = this.#acceptHello(received, replyStream, true)
        else if (connection !== undefined && !isClosed) this.#handleMessage(connection, received)
      },
      close: reason => { replyStream.close(reason) }
    }
  }

  close (): void {
    for (const cancel of this.#cancelTimers) cancel()
    for (const connection of [...this.#connections.keys()]) connection.close('the instance stops')
  }

  #acceptHello (hello: HelloMessage, stream: PeerStream, isLocal: boolean): StreamConnection | undefined {
    this.#drains?.receive(hello, hello.instance)
    const dispatcher = this.#dispatchers.get(hello.domain)
    if (dispatcher === undefined) {
      stream.send({ type: 'not-dispatching', incarnation: this.#incarnation } satisfies DispatcherMessage)
      return undefined
    }
    const connection = new StreamConnection(hello, stream, this.#clock.now(), isLocal)
    this.#connections.set(connection, hello.domain)
    connection.hasList = hello.expectsList === true
    dispatcher.addOwner(connection, connection.hasList ? this.#heartbeats.get(hello.domain)?.listForWelcome() : undefined)
    return connection
  }

  #handleMessage (connection: StreamConnection, message: OwnerMessage): void {
    connection.lastMessageAt = this.#clock.now()
    connection.observedSilentMs = 0
    const dispatcher = this.#dispatchers.get(this.#connections.get(connection) ?? '')
    if (dispatcher === undefined) return
    if (message.type === 'configuration') {
      this.#relay.applyIfNewer(message, `instance ${connection.instance}`)
      return
    }
    if (message.type === 'configuration-request') {
      this.#sendConfiguration(connection)
      return
    }
    if (message.type === 'heartbeat-reply') this.#drains?.receive(message, connection.instance, message.heardSentAt)
    dispatcher.enqueueMessage(connection, message)
    if (message.type === 'ping') this.#sendPong(connection, dispatcher)
    if (message.type !== 'ping' && message.type !== 'heartbeat-reply') return
    this.#relay.notePeerVersion(message.configurationVersion, this.#clock.now(), () => { connection.send({ type: 'configuration-request' }) })
  }

  #sendHeartbeats (): void {
    const now = this.#clock.now()
    const isLargeFleet = this.#connections.size > largeFleetOwners
    if (this.#dispatchers.size === 0 || (isLargeFleet && now - this.#lastHeartbeatAt < largeFleetHeartbeatIntervalMs - heartbeatIntervalMs / 2)) return
    this.#lastHeartbeatAt = now
    for (const [domain, source] of this.#heartbeats) this.#sendHeartbeat(domain, source)
  }

  #sendHeartbeat (domain: string, source: HeartbeatSource): void {
    const heartbeat = { ...source.createNext(this.#clock.readElapsed(), this.#relay.version), ...this.#drains?.describe() }
    for (const [connection, connectedDomain] of this.#connections) {
      if (connectedDomain !== domain) continue
      connection.send(connection.hasList ? heartbeat : source.completeForNewOwner(heartbeat))
      connection.hasList = true
    }
  }

  #sendPong (connection: StreamConnection, dispatcher: Dispatcher): void {
    connection.send({ type: 'pong', sentAt: this.#clock.readElapsed(), load: dispatcher.summarizeLoad(), configurationVersion: this.#relay.version, lingering: dispatcher.listLingering() })
  }

  #sendConfiguration (connection: StreamConnection): void {
    const { current } = this.#relay
    if (current !== undefined) connection.send({ type: 'configuration', ...current })
  }

  #removeConnection (connection: StreamConnection): void {
    const domain = this.#connections.get(connection)
    this.#connections.delete(connection)
    if (domain !== undefined) this.#dispatchers.get(domain)?.removeOwner(connection)
  }

  #closeSilentConnections (): void {
    const now = this.#clock.now()
    const observedMs = Math.min(now - this.#checkedAt, maxObservedMs)
    this.#checkedAt = now
    for (const connection of [...this.#connections.keys()]) {
      connection.observedSilentMs += observedMs
      if (Math.min(now - connection.lastMessageAt, connection.observedSilentMs) <= heartbeatTimeoutMs) continue
      connection.isSilent = true
      connection.close('silent')
    }
  }
}
