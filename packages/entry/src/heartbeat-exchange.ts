import { type Clock, type Dispatcher, hashTopology, type Heartbeat, type HeartbeatReply, type Membership, type SeatDirectory } from '@sesamereel/coordination'
import { type Settings } from '@sesamereel/protocol'
import { formatSeat, type InstanceDescription, type InstanceList } from '@sesamereel/state'
import { type PeerClients } from '@sesamereel/transport'
import { type ConfigurationSync } from './configuration-sync.js'
import { type EventLog } from './event-log.js'
import { type Identity } from './identity.js'
import { type InstancePhase } from './instance-phase.js'
import { type SeatKeeper } from './seat-keeper.js'

/** Pause in milliseconds between two rounds of heartbeats in the own domain. */
export const heartbeatIntervalMs = 500

/** Other domains get a heartbeat in each fourth round, every 2 s. */
const roundsBetweenDomains = 4

/** Above this number of seats only one instance of each other domain gets heartbeats. */
const maxFullMeshSeats = 32

export interface HeartbeatExchangeOptions {
  readonly settings: Settings
  readonly identity: Identity
  readonly clock: Clock
  readonly log: EventLog
  readonly membership: Membership
  readonly directory: SeatDirectory
  readonly keeper: SeatKeeper
  readonly phase: InstancePhase
  readonly sync: ConfigurationSync
  readonly peers: PeerClients
  readonly dispatcher: Pick<Dispatcher, 'readDemand' | 'applyPeers'>
  readonly readVersion: () => number
}

/** Tells the other instances about this one and learns about them. */
export class HeartbeatExchange {
  readonly #options: HeartbeatExchangeOptions
  readonly #topologyHash: number
  readonly #states = new Map<string, string>()
  readonly #pending = new Set<string>()
  #listed: ReadonlyMap<string, InstanceDescription> = new Map()
  #round = 0

  constructor (options: HeartbeatExchangeOptions) {
    this.#options = options
    this.#topologyHash = hashTopology(options.settings.topology)
  }

  /**
   * Sends one round of heartbeats. A peer that still owes a reply gets no second one.
   *
   * @param toAll - whether the other domains get one out of turn
   */
  async sendRound (toAll = false): Promise<void> {
    const { clock, directory, identity } = this.#options
    directory.recordTick(clock.now())
    const isRoundForAll = toAll || this.#round++ % roundsBetweenDomains === 0
    const contacts = this.#listContacts().filter(contact => isRoundForAll || contact.domain === identity.domain)
    await Promise.all(contacts.filter(({ address }) => !this.#pending.has(address)).map(async contact => {
      this.#pending.add(contact.address)
      await this.#exchange(contact).finally(() => { this.#pending.delete(contact.address) })
    }))
    this.#publish()
  }

  /**
   * Takes a peer's heartbeat.
   *
   * @returns the reply
   */
  handleHeartbeat (heartbeat: Heartbeat): HeartbeatReply {
    const { clock, directory } = this.#options
    this.#learn(heartbeat)
    const seat = directory.answerSeatCheck(heartbeat, { generation: heartbeat.generation, incarnation: heartbeat.incarnation }, clock.now())
    return { heartbeat: this.#compose(heartbeat.domain), seat }
  }

  /**
   * Takes the platform's list.
   */
  applyInstanceList (list: InstanceList): void {
    this.#listed = new Map(list.instances.map(instance => [formatSeat(instance), instance]))
    this.#options.membership.applyInstanceList(list, this.#options.clock.now())
  }

  /** Tells whether a peer has another topology in its settings. */
  isTopologyMismatch (hash: number): boolean {
    return hash !== this.#topologyHash
  }

  async #exchange (contact: { readonly name: string | undefined, readonly domain: string | undefined, readonly address: string }): Promise<void> {
    const { clock, identity, keeper, membership, peers, phase } = this.#options
    const sentAt = clock.now()
    const result = await peers.sendHeartbeat(contact.address, this.#compose(contact.domain ?? identity.domain))
    const now = clock.now()
    if (result.kind !== 'replied') {
      if (contact.name !== undefined) membership.recordMissedHeartbeat(contact.name, now)
      return
    }
    const { seat } = result.value
    const heartbeat = { ...result.value.heartbeat, peerAddress: contact.address }
    this.#learn(heartbeat)
    if (heartbeat.domain === identity.domain) keeper.applyPeerCheck({ sentAt, now, newest: seat.newest, settled: seat.settled })
    else keeper.observeHolder(seat.newest)
    phase.markPeerReplied()
  }

  #learn (received: Heartbeat): void {
    const { clock, identity, keeper, membership, sync } = this.#options
    const heartbeat = this.#resolveAddress(received)
    membership.observeHeartbeat(heartbeat, clock.now())
    keeper.observeHolder(heartbeat.holders[formatSeat(identity)])
    if (heartbeat.domain === identity.domain && heartbeat.seat === identity.seat) keeper.observeHolder(heartbeat)
    sync.observeVersion(heartbeat.configurationVersion, heartbeat.peerAddress).catch((error: unknown) => { this.#options.log.logError('heartbeat', error) })
  }

  /**
   * The platform may list an instance under an address of its own for each domain. The caller
   * address tells whether the list means this instance or an earlier one in the seat.
   */
  #resolveAddress (heartbeat: Heartbeat): Heartbeat {
    const entry = this.#listed.get(formatSeat(heartbeat))
    return entry?.callerAddress === heartbeat.callerAddress ? { ...heartbeat, peerAddress: entry.peerAddress } : heartbeat
  }

  #compose (toDomain: string): Heartbeat {
    const { dispatcher, directory, identity, keeper, phase, settings } = this.#options
    const holder = keeper.readHolder()
    const demand = dispatcher.readDemand()
    const isOwnDomain = toDomain === identity.domain
    return {
      domain: identity.domain,
      seat: identity.seat,
      generation: holder.generation,
      incarnation: holder.incarnation,
      peerAddress: settings.peerAddress,
      callerAddress: settings.callerAddress,
      state: phase.getState(),
      configurationVersion: this.#options.readVersion(),
      topologyHash: this.#topologyHash,
      queuedByCustomer: demand.queuedByCustomer,
      ejectedTargets: isOwnDomain ? demand.ejectedTargets : [],
      leavingTargets: isOwnDomain ? demand.leavingTargets : [],
      holders: directory.listHolders([identity.domain, toDomain])
    }
  }

  #listContacts (): Array<{ readonly name: string | undefined, readonly domain: string | undefined, readonly address: string }> {
    const { identity, membership, settings } = this.#options
    const isLarge = settings.topology.domains.reduce((sum, domain) => sum + domain.seats, 0) > maxFullMeshSeats
    const covered = new Set<string>()
    const contacts = membership.listPeers().filter(peer => {
      if (peer.state === 'gone') return false
      if (!isLarge || peer.seat.domain === identity.domain) return true
      if (peer.state !== 'alive' || covered.has(peer.seat.domain)) return false
      covered.add(peer.seat.domain)
      return true
    }).map(peer => ({ name: peer.name as string | undefined, domain: peer.seat.domain as string | undefined, address: peer.peerAddress }))
    const known = new Set([settings.peerAddress, ...membership.listPeers().map(peer => peer.peerAddress)])
    const seeds = settings.seedPeers.filter(address => !known.has(address))
    return [...contacts, ...seeds.map(address => ({ name: undefined, domain: undefined, address }))]
  }

  /** Tells the dispatcher who may lend, and logs changes of state. */
  #publish (): void {
    const { dispatcher, identity, log, membership } = this.#options
    const peers = membership.listPeers()
    for (const peer of peers) {
      if (this.#states.get(peer.name) === peer.state) continue
      this.#states.set(peer.name, peer.state)
      log.log('info', 'peer-state', { peer: peer.name, state: peer.state, address: peer.peerAddress })
    }
    dispatcher.applyPeers(peers.filter(peer => peer.state === 'alive' && peer.heartbeat !== undefined).map(peer => ({
      seat: peer.name,
      sameDomain: peer.seat.domain === identity.domain,
      queuedByCustomer: peer.heartbeat!.queuedByCustomer,
      ejectedTargets: peer.heartbeat!.ejectedTargets,
      leavingTargets: peer.heartbeat!.leavingTargets
    })))
  }
}
