import { type Clock, type Dispatcher, hashTopology, type Heartbeat, type HeartbeatReply, type Membership, type SeatDirectory } from '@sesamereel/coordination'
import { type Settings } from '@sesamereel/protocol'
import { formatSeat, type InstanceDescription, type InstanceList } from '@sesamereel/state'
import { type PeerClients } from '@sesamereel/transport'
import { type ConfigurationSync } from './configuration-sync.js'
import { type EventLog } from './event-log.js'
import { type Identity } from './identity.js'
import { type InstancePhase } from './instance-phase.js'
import { type SeatKeeper } from './seat-keeper.js'

/** Interval in milliseconds between two rounds of heartbeats in the own domain. */
export const heartbeatIntervalMs = 500

/** Number of rounds from one heartbeat to other domains to the next; 4 rounds take 2 s. */
const roundsPerOtherDomainHeartbeat = 4

/** Maximum number of seats for a full mesh. In larger topologies only one instance of each other domain gets heartbeats. */
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
  /** Reads the version of the configuration in force. */
  readonly readVersion: () => number
}

/** Exchanges heartbeats with the other instances, and passes their reports to the components that use them. */
export class HeartbeatExchange {
  readonly #options: HeartbeatExchangeOptions
  readonly #topologyHash: number
  readonly #loggedStates = new Map<string, string>()
  readonly #pendingAddresses = new Set<string>()
  #listedInstances: ReadonlyMap<string, InstanceDescription> = new Map()
  #round = 0

  constructor (options: HeartbeatExchangeOptions) {
    this.#options = options
    this.#topologyHash = hashTopology(options.settings.topology)
  }

  /**
   * Sends one round of heartbeats. A peer whose reply is pending gets no further heartbeat.
   *
   * @param toAll - whether other domains are included regardless of their interval
   */
  async sendRound (toAll = false): Promise<void> {
    const { clock, directory, identity } = this.#options
    directory.recordTick(clock.now())
    const includesOtherDomains = toAll || this.#round++ % roundsPerOtherDomainHeartbeat === 0
    const contacts = this.#listContacts().filter(contact => includesOtherDomains || contact.domain === identity.domain)
    await Promise.all(contacts.filter(({ address }) => !this.#pendingAddresses.has(address)).map(async contact => {
      this.#pendingAddresses.add(contact.address)
      await this.#exchangeHeartbeat(contact).finally(() => { this.#pendingAddresses.delete(contact.address) })
    }))
    this.#publishPeers()
  }

  /**
   * Handles a heartbeat of a peer.
   *
   * @returns the reply: a heartbeat of this instance, and the newest known holder of the peer's seat
   */
  handleHeartbeat (heartbeat: Heartbeat): HeartbeatReply {
    const { clock, directory } = this.#options
    this.#applyHeartbeat(heartbeat)
    const seat = directory.answerSeatCheck(heartbeat, { generation: heartbeat.generation, incarnation: heartbeat.incarnation }, clock.now())
    return { heartbeat: this.#createHeartbeat(heartbeat.domain), seat }
  }

  /**
   * Applies the instance list of the platform.
   */
  applyInstanceList (list: InstanceList): void {
    this.#listedInstances = new Map(list.instances.map(instance => [formatSeat(instance), instance]))
    this.#options.membership.applyInstanceList(list, this.#options.clock.now())
  }

  /** Tells whether the topology hash of a peer differs from that of the own settings. */
  isTopologyMismatch (hash: number): boolean {
    return hash !== this.#topologyHash
  }

  async #exchangeHeartbeat (contact: { readonly name: string | undefined, readonly domain: string | undefined, readonly address: string }): Promise<void> {
    const { clock, identity, keeper, membership, peers, phase } = this.#options
    const sentAt = clock.now()
    const result = await peers.sendHeartbeat(contact.address, this.#createHeartbeat(contact.domain ?? identity.domain))
    const now = clock.now()
    if (result.kind !== 'replied') {
      if (contact.name !== undefined) membership.recordMissedHeartbeat(contact.name, now)
      return
    }
    const { seat } = result.value
    const heartbeat = { ...result.value.heartbeat, peerAddress: contact.address }
    this.#applyHeartbeat(heartbeat)
    if (heartbeat.domain === identity.domain) keeper.applyPeerCheck({ sentAt, now, newest: seat.newest, settled: seat.settled })
    else keeper.observeHolder(seat.newest)
    phase.markPeerReplied()
  }

  #applyHeartbeat (received: Heartbeat): void {
    const { clock, identity, keeper, membership, sync } = this.#options
    const heartbeat = this.#resolveAddress(received)
    membership.observeHeartbeat(heartbeat, clock.now())
    keeper.observeHolder(heartbeat.holders[formatSeat(identity)])
    if (heartbeat.domain === identity.domain && heartbeat.seat === identity.seat) keeper.observeHolder(heartbeat)
    sync.observeVersion(heartbeat.configurationVersion, heartbeat.peerAddress).catch((error: unknown) => { this.#options.log.logError('heartbeat', error) })
  }

  /**
   * Replaces the peer address by the listed one, because the platform may list an instance under
   * a different address in each domain. The caller address tells whether the list entry refers to
   * the sender or to an earlier instance in the same seat.
   */
  #resolveAddress (heartbeat: Heartbeat): Heartbeat {
    const entry = this.#listedInstances.get(formatSeat(heartbeat))
    return entry?.callerAddress === heartbeat.callerAddress ? { ...heartbeat, peerAddress: entry.peerAddress } : heartbeat
  }

  #createHeartbeat (toDomain: string): Heartbeat {
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
    const coveredDomains = new Set<string>()
    const contacts = membership.listPeers().filter(peer => {
      if (peer.state === 'gone') return false
      if (!isLarge || peer.seat.domain === identity.domain) return true
      if (peer.state !== 'alive' || coveredDomains.has(peer.seat.domain)) return false
      coveredDomains.add(peer.seat.domain)
      return true
    }).map(peer => ({ name: peer.name as string | undefined, domain: peer.seat.domain as string | undefined, address: peer.peerAddress }))
    const known = new Set([settings.peerAddress, ...membership.listPeers().map(peer => peer.peerAddress)])
    const seeds = settings.seedPeers.filter(address => !known.has(address))
    return [...contacts, ...seeds.map(address => ({ name: undefined, domain: undefined, address }))]
  }

  /** Logs changes in the state of peers, and passes those that are alive to the dispatcher as possible lenders. */
  #publishPeers (): void {
    const { dispatcher, identity, log, membership } = this.#options
    const peers = membership.listPeers()
    for (const peer of peers) {
      if (this.#loggedStates.get(peer.name) === peer.state) continue
      this.#loggedStates.set(peer.name, peer.state)
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
