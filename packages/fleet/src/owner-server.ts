import { type Clock } from '@sesamereel/coordination'
import { type ConfigurationRelay } from './configuration-relay.js'
import { type Dispatcher } from './dispatcher.js'
import { LocalDispatcherRegistry } from './dispatcher-connection.js'
import { type DispatcherMessage, type OwnerMessage } from './messages.js'
import { OwnerConnection } from './owner-registry.js'
import { type PeerHandler, type PeerStream } from './peer-streams.js'

/** Time in milliseconds without any message after which an owner's connection is closed; a few heartbeats. */
const heartbeatTimeoutMs = 600

/** Interval in milliseconds between checks for heartbeat timeouts. */
const timeoutCheckIntervalMs = 150

type HelloMessage = Extract<OwnerMessage, { type: 'hello' }>

/** Connection to an owner over a network stream or an in-process one. */
class StreamConnection extends OwnerConnection {
  override readonly ownerId: string
  override readonly sequence: number
  readonly instance: string
  readonly #stream: PeerStream
  lastMessageAt: number
  /** Ids of lingering jobs that were sent last, joined; unchanged ids are not sent again. */
  lastSentLingering = ''
  lastSentConfigurationVersion = 0

  constructor (hello: HelloMessage, stream: PeerStream, now: number) {
    super()
    this.ownerId = hello.incarnation
    this.sequence = hello.sequence ?? 0
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
  readonly #dispatchers = new Map<string, Dispatcher>()
  /** Connections with the domain of their dispatcher. */
  readonly #connections = new Map<StreamConnection, string>()
  #cancelTimeoutCheck: (() => void) | undefined

  constructor (incarnation: string, clock: Clock, relay: ConfigurationRelay) {
    super()
    this.#incarnation = incarnation
    this.#clock = clock
    this.#relay = relay
    this.#scheduleTimeoutCheck()
  }

  addDispatcher (dispatcher: Dispatcher): void {
    this.#dispatchers.set(dispatcher.domain, dispatcher)
  }

  /** Closes the connections of a dispatcher that has stopped, so that its owners connect to its successor. */
  removeDispatcher (dispatcher: Dispatcher, reason: string): void {
    this.#dispatchers.delete(dispatcher.domain)
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
        if (received.type === 'hello') connection = this.#acceptHello(received, stream)
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
        if (received.type === 'hello') connection = this.#acceptHello(received, replyStream)
        else if (connection !== undefined && !isClosed) this.#handleMessage(connection, received)
      },
      close: reason => { replyStream.close(reason) }
    }
  }

  close (): void {
    this.#cancelTimeoutCheck?.()
    for (const connection of [...this.#connections.keys()]) connection.close('the instance stops')
  }

  #acceptHello (hello: HelloMessage, stream: PeerStream): StreamConnection | undefined {
    const dispatcher = this.#dispatchers.get(hello.domain)
    if (dispatcher === undefined) {
      stream.send({ type: 'not-dispatching', incarnation: this.#incarnation } satisfies DispatcherMessage)
      return undefined
    }
    const connection = new StreamConnection(hello, stream, this.#clock.now())
    this.#connections.set(connection, hello.domain)
    dispatcher.addOwner(connection)
    return connection
  }

  #handleMessage (connection: StreamConnection, message: OwnerMessage): void {
    connection.lastMessageAt = this.#clock.now()
    const dispatcher = this.#dispatchers.get(this.#connections.get(connection) ?? '')
    if (dispatcher === undefined) return
    if (message.type === 'configuration') {
      this.#relay.applyIfNewer(message, `instance ${connection.instance}`)
      return
    }
    dispatcher.enqueueMessage(connection, message)
    if (message.type === 'ping') this.#sendPong(connection, dispatcher, message.configurationVersion)
  }

  #sendPong (connection: StreamConnection, dispatcher: Dispatcher, configurationVersion: number): void {
    const lingering = dispatcher.listLingering()
    const text = lingering.join()
    const isChanged = text !== connection.lastSentLingering
    connection.lastSentLingering = text
    connection.send({ type: 'pong', sentAt: this.#clock.now(), load: dispatcher.summarizeLoad(), configurationVersion: this.#relay.version, ...(isChanged ? { lingering } : {}) })
    const { current } = this.#relay
    if (current === undefined || configurationVersion >= current.version || connection.lastSentConfigurationVersion === current.version) return
    connection.lastSentConfigurationVersion = current.version
    connection.send({ type: 'configuration', ...current })
  }

  #removeConnection (connection: StreamConnection): void {
    const domain = this.#connections.get(connection)
    this.#connections.delete(connection)
    if (domain !== undefined) this.#dispatchers.get(domain)?.removeOwner(connection)
  }

  #scheduleTimeoutCheck (): void {
    this.#cancelTimeoutCheck = this.#clock.startTimer(timeoutCheckIntervalMs, () => {
      this.#scheduleTimeoutCheck()
      const now = this.#clock.now()
      for (const connection of [...this.#connections.keys()]) if (now - connection.lastMessageAt > heartbeatTimeoutMs) connection.close('silent')
    })
  }
}
