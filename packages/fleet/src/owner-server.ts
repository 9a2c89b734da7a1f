import { type Clock } from '@sesamereel/coordination'
import { type ConfigurationRelay } from './configuration-relay.js'
import { type Dispatcher } from './dispatcher.js'
import { LocalDispatcherRegistry } from './dispatcher-connection.js'
import { type DispatcherMessage, type OwnerMessage } from './messages.js'
import { OwnerConnection } from './owner-registry.js'
import { type PeerHandler, type PeerStream } from './peer-streams.js'

/** Silence in milliseconds after which an owner counts as lost; a few heartbeats. */
const ownerSilenceMs = 600

/** Pause in milliseconds between two checks for silent owners. */
const checkMs = 150

/** A port over a stream or a local call. */
class StreamPort extends OwnerConnection {
  override readonly ownerId: string
  readonly instance: string
  readonly #stream: PeerStream
  heardAt: number
  sentLingering = ''
  sentConfiguration = 0

  constructor (ownerId: string, instance: string, stream: PeerStream, now: number) {
    super()
    this.ownerId = ownerId
    this.instance = instance
    this.#stream = stream
    this.heardAt = now
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
  readonly #ports = new Map<StreamPort, string>()
  #cancelCheck: (() => void) | undefined

  constructor (incarnation: string, clock: Clock, relay: ConfigurationRelay) {
    super()
    this.#incarnation = incarnation
    this.#clock = clock
    this.#relay = relay
    this.#check()
  }

  addDispatcher (dispatcher: Dispatcher): void {
    this.#dispatchers.set(dispatcher.domain, dispatcher)
  }

  /** Ends the ports of a dispatcher that has stopped, so that its owners look for the next one. */
  removeDispatcher (dispatcher: Dispatcher, reason: string): void {
    this.#dispatchers.delete(dispatcher.domain)
    for (const [port, domain] of [...this.#ports]) {
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
    for (const [port, portDomain] of this.#ports) {
      if (portDomain !== domain || port.instance !== instance) continue
      port.send(message)
      isSent = true
    }
    return isSent
  }

  /** @returns instances whose owners are connected to the domain's dispatcher */
  listConnected (domain: string): ReadonlySet<string> {
    return new Set([...this.#ports].filter(([, portDomain]) => portDomain === domain).map(([port]) => port.instance))
  }

  /** Serves a stream that another instance has opened. */
  serve (connect: (handler: PeerHandler) => PeerStream): void {
    let port: StreamPort | undefined
    const stream: PeerStream = connect({
      onMessage: message => {
        const received = message as OwnerMessage
        if (received.type === 'hello') port = this.#greet(received, stream)
        else if (port !== undefined) this.#handle(port, received)
      },
      onClose: () => { if (port !== undefined) this.#remove(port) }
    })
  }

  override open (domain: string, onMessage: (message: DispatcherMessage) => void, onClose: (reason: string) => void): PeerStream | undefined {
    if (!this.#dispatchers.has(domain)) return undefined
    let port: StreamPort | undefined
    let isClosed = false
    const back: PeerStream = {
      // Deferred, as on a stream: the owner answers a welcome with jobs, which need the port below.
      send: message => { queueMicrotask(() => { if (!isClosed) onMessage(message as DispatcherMessage) }) },
      close: reason => {
        if (isClosed) return
        isClosed = true
        if (port !== undefined) this.#remove(port)
        onClose(reason)
      }
    }
    return {
      send: message => {
        const received = message as OwnerMessage
        if (received.type === 'hello') port = this.#greet(received, back)
        else if (port !== undefined && !isClosed) this.#handle(port, received)
      },
      close: reason => { back.close(reason) }
    }
  }

  close (): void {
    this.#cancelCheck?.()
    for (const port of [...this.#ports.keys()]) port.close('the instance stops')
  }

  #greet (hello: Extract<OwnerMessage, { type: 'hello' }>, stream: PeerStream): StreamPort | undefined {
    const dispatcher = this.#dispatchers.get(hello.domain)
    if (dispatcher === undefined) {
      stream.send({ type: 'not-dispatching', incarnation: this.#incarnation } satisfies DispatcherMessage)
      return undefined
    }
    const port = new StreamPort(hello.incarnation, hello.instance, stream, this.#clock.now())
    this.#ports.set(port, hello.domain)
    dispatcher.addOwner(port)
    return port
  }

  #handle (port: StreamPort, message: OwnerMessage): void {
    port.heardAt = this.#clock.now()
    const dispatcher = this.#dispatchers.get(this.#ports.get(port) ?? '')
    if (dispatcher === undefined) return
    if (message.type === 'ping') this.#respond(port, dispatcher, message.configurationVersion)
    else if (message.type === 'configuration') this.#relay.applyIfNewer(message, `instance ${port.instance}`)
    else dispatcher.handle(port, message)
  }

  #respond (port: StreamPort, dispatcher: Dispatcher, configurationVersion: number): void {
    const lingering = dispatcher.listLingering()
    const text = lingering.join()
    const isChanged = text !== port.sentLingering
    port.sentLingering = text
    port.send({ type: 'pong', load: dispatcher.summarize(), configurationVersion: this.#relay.version, ...(isChanged ? { lingering } : {}) })
    const { current } = this.#relay
    if (current === undefined || configurationVersion >= current.version || port.sentConfiguration === current.version) return
    port.sentConfiguration = current.version
    port.send({ type: 'configuration', ...current })
  }

  #remove (port: StreamPort): void {
    const domain = this.#ports.get(port)
    this.#ports.delete(port)
    if (domain !== undefined) this.#dispatchers.get(domain)?.removeOwner(port)
  }

  #check (): void {
    this.#cancelCheck = this.#clock.startTimer(checkMs, () => {
      this.#check()
      const now = this.#clock.now()
      for (const port of [...this.#ports.keys()]) if (now - port.heardAt > ownerSilenceMs) port.close('silent')
    })
  }
}
