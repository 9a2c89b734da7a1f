import { type ManualClock } from '@sesamereel/coordination'
import { type OwnerServer, PeerConnector, type PeerHandler, type PeerOpenResult, type PeerStream } from '@sesamereel/fleet'
import { type EmulatedNetwork } from './emulated-network.js'

/** One end of a stream; messages keep their order. */
class StreamEnd implements PeerStream {
  remoteEnd: StreamEnd | undefined
  handler: PeerHandler | undefined
  readonly #from: string
  readonly #to: string
  readonly #network: EmulatedNetwork
  #isOpen = true

  constructor (from: string, to: string, network: EmulatedNetwork) {
    this.#from = from
    this.#to = to
    this.#network = network
  }

  readonly send = (message: unknown): void => {
    const copy: unknown = structuredClone(message)
    if (this.#isOpen) this.#network.deliver(this.#from, this.#to, () => { this.remoteEnd!.receive(copy) })
  }

  readonly close = (reason: string): void => {
    if (!this.#isOpen) return
    this.#isOpen = false
    this.handler?.onClose(reason)
    this.#network.deliver(this.#from, this.#to, () => { this.remoteEnd!.close('closed by the peer') })
  }

  receive (message: unknown): void {
    if (this.#isOpen) this.handler?.onMessage(message)
  }
}

/** The instances' streams to each other. */
export class EmulatedPeerNetwork {
  readonly #servers = new Map<string, OwnerServer>()
  readonly #streams = new Map<string, Set<StreamEnd>>()
  readonly #network: EmulatedNetwork
  readonly #clock: ManualClock

  constructor (network: EmulatedNetwork, clock: ManualClock) {
    this.#network = network
    this.#clock = clock
  }

  addServer (place: string, server: OwnerServer): void {
    this.#servers.set(place, server)
  }

  /** Ends a process: its streams close at the other ends, and nobody listens. */
  removeServer (place: string): void {
    this.#servers.delete(place)
    for (const end of this.#streams.get(place) ?? []) end.remoteEnd!.close('ECONNRESET')
    this.#streams.delete(place)
  }

  connect (place: string): PeerConnector {
    return new EmulatedPeerConnector(place, this)
  }

  async open (from: string, to: string, timeoutMs: number, handler: PeerHandler): Promise<PeerOpenResult> {
    if (!this.#network.isOpen(from, to) || !this.#network.isOpen(to, from)) {
      await new Promise<void>(resolve => { this.#clock.startTimer(timeoutMs, resolve) })
      return { kind: 'unreachable', message: 'timeout' }
    }
    await new Promise<void>(resolve => { this.#clock.startTimer(1, resolve) })
    const server = this.#servers.get(to)
    if (server === undefined) return { kind: 'refused', message: 'ECONNREFUSED' }
    const near = new StreamEnd(from, to, this.#network)
    const far = new StreamEnd(to, from, this.#network)
    near.remoteEnd = far
    far.remoteEnd = near
    near.handler = handler
    this.#follow(from, near)
    this.#follow(to, far)
    server.serve(farHandler => {
      far.handler = farHandler
      return far
    })
    return { kind: 'open', stream: near }
  }

  #follow (place: string, end: StreamEnd): void {
    const ends = this.#streams.get(place) ?? new Set<StreamEnd>()
    ends.add(end)
    this.#streams.set(place, ends)
  }
}

class EmulatedPeerConnector extends PeerConnector {
  readonly #place: string
  readonly #peers: EmulatedPeerNetwork

  constructor (place: string, peers: EmulatedPeerNetwork) {
    super()
    this.#place = place
    this.#peers = peers
  }

  override async open (address: string, timeoutMs: number, handler: PeerHandler): Promise<PeerOpenResult> {
    return await this.#peers.open(this.#place, address, timeoutMs, handler)
  }
}
