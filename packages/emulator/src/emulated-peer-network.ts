import { type OwnerServer, PeerConnector, type PeerHandler, type PeerOpenResult, type PeerStream } from '@sesamereel/fleet'
import { type EmulatedNetwork } from './emulated-network.js'

/** Time in milliseconds in which a connection is opened or refused. */
const usualConnectDurationMs = 1

const refused = { kind: 'refused', message: 'ECONNREFUSED' } as const

/** One end of a stream between two instances; messages that are not dropped arrive in order. */
class StreamEnd implements PeerStream {
  remoteEnd: StreamEnd | undefined
  handler: PeerHandler | undefined
  readonly #from: string
  readonly #to: string
  readonly #network: EmulatedNetwork
  #isOpen = true
  #isSilent = false

  constructor (from: string, to: string, network: EmulatedNetwork) {
    this.#from = from
    this.#to = to
    this.#network = network
  }

  readonly send = (message: unknown): void => {
    const copy: unknown = structuredClone(message)
    if (this.#isOpen && !this.#isSilent) this.#network.deliver(this.#from, this.#to, () => { this.remoteEnd!.receive(copy) })
  }

  readonly close = (reason: string): void => {
    if (!this.#isOpen) return
    this.#isOpen = false
    this.handler?.onClose(reason)
    if (!this.#isSilent) this.#network.deliver(this.#from, this.#to, () => { this.remoteEnd!.close('closed by the peer') })
  }

  /** @returns both ends of the stream with the endpoints that hold them */
  listEnds (): ReadonlyArray<{ readonly endpoint: string, readonly end: StreamEnd }> {
    return [{ endpoint: this.#from, end: this }, { endpoint: this.#to, end: this.remoteEnd! }]
  }

  /** Emulates a power loss at this end: nothing more is sent. */
  vanish (): void {
    this.#isOpen = false
  }

  /** Drops all that is sent or received from now on; this end goes on as if the stream were open. */
  silence (): void {
    this.#isSilent = true
  }

  /** Emulates the end of the process at this end: nothing more is sent but the reset of the connection. */
  break (): void {
    if (!this.#isOpen) return
    this.#isOpen = false
    if (!this.#isSilent) this.#network.deliver(this.#from, this.#to, () => { this.remoteEnd!.close('ECONNRESET') })
  }

  receive (message: unknown): void {
    if (this.#isOpen && !this.#isSilent) this.handler?.onMessage(message)
  }
}

/** Streams between the instances, over the emulated network. */
export class EmulatedPeerNetwork {
  /** Time in milliseconds in which connections are opened or refused; a full link makes it longer. */
  connectDurationMs = usualConnectDurationMs
  readonly #servers = new Map<string, OwnerServer>()
  readonly #streams = new Map<string, Set<StreamEnd>>()
  readonly #poweredOff = new Set<string>()
  readonly #network: EmulatedNetwork

  constructor (network: EmulatedNetwork) {
    this.#network = network
  }

  addServer (endpoint: string, server: OwnerServer): void {
    this.#servers.set(endpoint, server)
    this.#poweredOff.delete(endpoint)
  }

  /** Emulates the end of a process: its streams close at their remote ends, and later connections are refused. */
  removeServer (endpoint: string): void {
    this.#servers.delete(endpoint)
    for (const end of this.#takeStreams(endpoint)) end.break()
  }

  /** Emulates a power loss: streams fall silent, and later connections time out until a server is added again. */
  powerOff (endpoint: string): void {
    this.#servers.delete(endpoint)
    this.#poweredOff.add(endpoint)
    for (const end of this.#takeStreams(endpoint)) end.vanish()
  }

  /** Resets the streams of an endpoint whose process lives; both ends notice it. */
  resetStreams (endpoint: string): void {
    for (const end of this.#takeStreams(endpoint)) {
      for (const { endpoint: owner, end: side } of end.listEnds()) this.#network.receive(owner, () => { side.close('ECONNRESET') })
    }
  }

  /** Lets the open streams of an endpoint fall silent for good, without a close at either end; new streams work. */
  silenceStreams (endpoint: string): void {
    for (const near of this.#takeStreams(endpoint)) for (const { end } of near.listEnds()) end.silence()
  }

  /** @returns the connector of one instance */
  connect (endpoint: string): PeerConnector {
    return new EmulatedPeerConnector(endpoint, this)
  }

  /**
   * Opens a stream between two instances.
   *
   * @param handler - gets the messages at the near end
   * @returns the near end; `unreachable` after the timeout when a direction is cut or the host is without
   * power, `refused` when no server listens or a cut refuses streams
   */
  async open (from: string, to: string, timeoutMs: number, handler: PeerHandler): Promise<PeerOpenResult> {
    if (this.#network.isRefusing(from, to)) return await this.#refuse(from)
    if (this.#poweredOff.has(to) || !this.#network.isOpen(from, to) || !this.#network.isOpen(to, from)) {
      await this.#wait(from, timeoutMs)
      return { kind: 'unreachable', message: 'timeout' }
    }
    await this.#wait(from, this.connectDurationMs)
    const server = this.#servers.get(to)
    if (server === undefined) return refused
    const nearEnd = new StreamEnd(from, to, this.#network)
    const farEnd = new StreamEnd(to, from, this.#network)
    nearEnd.remoteEnd = farEnd
    farEnd.remoteEnd = nearEnd
    nearEnd.handler = handler
    this.#trackStream(from, nearEnd)
    this.#trackStream(to, farEnd)
    // The kernel accepts the connection, even while the process is paused.
    this.#network.receive(to, () => {
      server.serve(farHandler => {
        farEnd.handler = farHandler
        return farEnd
      })
    })
    return { kind: 'open', stream: nearEnd }
  }

  async #refuse (endpoint: string): Promise<PeerOpenResult> {
    await this.#wait(endpoint, this.connectDurationMs)
    return refused
  }

  async #wait (endpoint: string, ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.#network.getClock(endpoint).startTimer(ms, resolve) })
  }

  #takeStreams (endpoint: string): readonly StreamEnd[] {
    const ends = [...this.#streams.get(endpoint) ?? []]
    this.#streams.delete(endpoint)
    return ends
  }

  #trackStream (endpoint: string, end: StreamEnd): void {
    const ends = this.#streams.get(endpoint) ?? new Set<StreamEnd>()
    ends.add(end)
    this.#streams.set(endpoint, ends)
  }
}

class EmulatedPeerConnector extends PeerConnector {
  readonly #endpoint: string
  readonly #network: EmulatedPeerNetwork

  constructor (endpoint: string, network: EmulatedPeerNetwork) {
    super()
    this.#endpoint = endpoint
    this.#network = network
  }

  override async open (address: string, timeoutMs: number, handler: PeerHandler): Promise<PeerOpenResult> {
    return await this.#network.open(this.#endpoint, address, timeoutMs, handler)
  }
}
