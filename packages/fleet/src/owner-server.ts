import { type Clock } from '@sesamereel/coordination'
import { type ConfigurationRelay } from './configuration-relay.js'
import { type Dispatcher } from './dispatcher.js'
import { LocalDispatcherRegistry } from './dispatcher-connection.js'
import { type DispatcherMessage, type OwnerMessage } from './messages.js'
import { OwnerConnection } from './owner-registry.js'
import { type PeerHandler, type PeerStream } from './peer-streams.js'

/** Silence in milliseconds after which an owner counts as lost; a few heartbeats. */
const heartbeatTimeoutMs = 600

/** Pause in milliseconds between two checks for silent owners. */
const timeoutCheckIntervalMs = 150

/** A port over a stream or a local call. */
class StreamConnection extends OwnerConnection {
  override readonly ownerId: string
  readonly instance: string
  readonly #stream: PeerStream
  lastMessageAt: number
  lastSentLingering = ''
  lastSentConfigurationVersion = 0

  constructor (ownerId: string, instance: string, stream: PeerStream, now: number) {
    super()
    this.ownerId = ownerId
    this.instance = instance
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

/** Accepts the owners of all instances and hands their messages to the dispatchers of this process. */
export class OwnerServer extends LocalDispatcherRegistry {
  readonly #incarnation: string
  readonly #clock: Clock
  readonly #relay: ConfigurationRelay
  readonly #dispatchers = new Map<string, Dispatcher>()
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

  /** Ends the ports of a dispatcher that has stopped, so that its owners look for the next one. */
  removeDispatcher (dispatcher: Dispatcher, reason: string): void {
    this.#dispatchers.delete(dispatcher.domain)
    for (const [port, domain] of [...this.#connections]) {
      if (domain !== dispatcher.domain) continue
      port.send({ type: 'stopped' })
      port.close(reason)
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

  /** Sends a message to the owners of a domain's dispatcher at one instance. */
  notifyInstance (domain: string, instance: string, message: DispatcherMessage): boolean {
    let isSent = false
    for (const [port, portDomain] of this.#connections) {
      if (portDomain !== domain || port.instance !== instance) continue
      port.send(message)
      isSent = true
    }
    return isSent
  }

  /** @returns instances whose owners are connected to the domain's dispatcher */
  listConnected (domain: string): ReadonlySet<string> {
    return new Set([...this.#connections].filter(([, portDomain]) => portDomain === domain).map(([port]) => port.instance))
  }

  /** Serves a stream that another instance has opened. */
  serve (connect: (handler: PeerHandler) => PeerStream): void {
    let port: StreamConnection | undefined
    const stream: PeerStream = connect({
      onMessage: message => {
        const received = message as OwnerMessage
        if (received.type === 'hello') port = this.#acceptHello(received, stream)
        else if (port !== undefined) this.#handleMessage(port, received)
      },
      onClose: () => { if (port !== undefined) this.#removeConnection(port) }
    })
  }

  override open (domain: string, onMessage: (message: DispatcherMessage) => void, onClose: (reason: string) => void): PeerStream | undefined {
    if (!this.#dispatchers.has(domain)) return undefined
    let port: StreamConnection | undefined
    let isClosed = false
    const replyStream: PeerStream = {
      // Deferred, as on a stream: the owner answers a welcome with jobs, which need the port below.
      send: message => { queueMicrotask(() => { if (!isClosed) onMessage(message as DispatcherMessage) }) },
      close: reason => {
        if (isClosed) return
        isClosed = true
        if (port !== undefined) this.#removeConnection(port)
        onClose(reason)
      }
    }
    return {
      send: message => {
        const received = message as OwnerMessage
        if (received.type === 'hello') port = this.#acceptHello(received, replyStream)
        else if (port !== undefined && !isClosed) this.#handleMessage(port, received)
      },
      close: reason => { replyStream.close(reason) }
    }
  }

  close (): void {
    this.#cancelTimeoutCheck?.()
    for (const port of [...this.#connections.keys()]) port.close('the instance stops')
  }

  #acceptHello (hello: Extract<OwnerMessage, { type: 'hello' }>, stream: PeerStream): StreamConnection | undefined {
    const dispatcher = this.#dispatchers.get(hello.domain)
    if (dispatcher === undefined) {
      stream.send({ type: 'not-dispatching', incarnation: this.#incarnation } satisfies DispatcherMessage)
      return undefined
    }
    const port = new StreamConnection(hello.incarnation, hello.instance, stream, this.#clock.now())
    this.#connections.set(port, hello.domain)
    dispatcher.addOwner(port)
    return port
  }

  #handleMessage (port: StreamConnection, message: OwnerMessage): void {
    port.lastMessageAt = this.#clock.now()
    const dispatcher = this.#dispatchers.get(this.#connections.get(port) ?? '')
    if (dispatcher === undefined) return
    if (message.type === 'ping') this.#sendPong(port, dispatcher, message.configurationVersion)
    else if (message.type === 'configuration') this.#relay.applyIfNewer(message, `instance ${port.instance}`)
    else dispatcher.handle(port, message)
  }

  #sendPong (port: StreamConnection, dispatcher: Dispatcher, configurationVersion: number): void {
    const lingering = dispatcher.listLingering()
    const text = lingering.join()
    const isChanged = text !== port.lastSentLingering
    port.lastSentLingering = text
    port.send({ type: 'pong', load: dispatcher.summarize(), configurationVersion: this.#relay.version, ...(isChanged ? { lingering } : {}) })
    const { current } = this.#relay
    if (current === undefined || configurationVersion >= current.version || port.lastSentConfigurationVersion === current.version) return
    port.lastSentConfigurationVersion = current.version
    port.send({ type: 'configuration', ...current })
  }

  #removeConnection (port: StreamConnection): void {
    const domain = this.#connections.get(port)
    this.#connections.delete(port)
    if (domain !== undefined) this.#dispatchers.get(domain)?.removeOwner(port)
  }

  #scheduleTimeoutCheck (): void {
    this.#cancelTimeoutCheck = this.#clock.startTimer(timeoutCheckIntervalMs, () => {
      this.#scheduleTimeoutCheck()
      const now = this.#clock.now()
      for (const port of [...this.#connections.keys()]) if (now - port.lastMessageAt > heartbeatTimeoutMs) port.close('silent')
    })
  }
}
