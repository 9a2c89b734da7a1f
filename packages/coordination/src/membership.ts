import { formatSeat, hashText, type InstanceList, type JobKey, type SeatId } from '@sesamereel/state'
import { type Heartbeat } from './heartbeat.js'
import { LeavingTracker } from './leaving-tracker.js'
import { type SeatDirectory } from './seat-directory.js'

/** State of a peer. It is `gone` when it has left the instance list and sent no heartbeat for 30 s. */
export type PeerState = 'alive' | 'suspect' | 'leaving' | 'gone'

/** Another instance, as seen from this one. */
export interface Peer {
  /** `DOMAIN.SEAT` */
  readonly name: string
  readonly seat: SeatId
  readonly peerAddress: string
  /** Absent until a heartbeat or the instance list has given it. */
  readonly callerAddress?: string
  readonly state: PeerState
  /** Latest heartbeat; absent while the peer is known only from the instance list. */
  readonly heartbeat?: Heartbeat
  /** Time when the latest heartbeat arrived, in monotonic milliseconds. */
  readonly heardAt?: number
}

/** Result of the search for the owner of a key. */
export type KeyOwner =
  | { readonly kind: 'peer', readonly peer: Peer }
  | { readonly kind: 'gone' }
  | { readonly kind: 'unreachable' }

interface PeerRecord {
  readonly seat: SeatId
  peerAddress: string
  callerAddress?: string
  heartbeat?: Heartbeat
  heardAt?: number
  /** Time of the latest heartbeat, or of the first list entry while there was none. */
  silentSince: number
  missedHeartbeats: number
  isListed: boolean
  isGone: boolean
}

/** Number of consecutive missed heartbeats after which a peer is suspect. */
const suspectAfterMissedHeartbeats = 3

/** Time in milliseconds without a heartbeat after which a peer that is not in the list is gone. */
const goneAfterMs = 30_000

/** Time in milliseconds for which a gone incarnation is remembered. Its keys can be used for one hour. */
const goneIncarnationRetentionMs = 7_200_000

/**
 * Tracks the other instances, from the platform's instance list and from heartbeats. The list is
 * only a hint: it lags, and a peer that answers stays alive whatever the list says. Times are
 * monotonic milliseconds.
 */
export class Membership {
  private readonly peers = new Map<string, PeerRecord>()
  private readonly leavingTracker = new LeavingTracker()
  /** Incarnations that are known to be gone, with the time when this was found. */
  private readonly goneIncarnations = new Map<string, number>()

  /**
   * @param self - the own seat, which is not listed as a peer
   * @param directory - receives the holders that heartbeats report
   */
  constructor (private readonly self: SeatId, private readonly directory: SeatDirectory) {}

  /**
   * Applies the platform's instance list, and marks peers as gone that are not listed and have
   * been unresponsive for 30 s. While the platform is unreachable, the caller applies the last
   * list again.
   */
  applyInstanceList (list: InstanceList, now: number): void {
    for (const record of this.peers.values()) record.isListed = false
    for (const instance of list.instances) {
      const name = formatSeat(instance)
      if (name === formatSeat(this.self)) continue
      let record = this.peers.get(name)
      if (record === undefined) {
        record = { seat: { domain: instance.domain, seat: instance.seat }, peerAddress: instance.peerAddress, silentSince: now, missedHeartbeats: 0, isListed: true, isGone: false }
        this.peers.set(name, record)
      }
      record.isListed = true
      // The list does not replace the address that an alive peer has reported in its heartbeats.
      if (this.computeState(name, record) !== 'alive' || record.heartbeat === undefined) {
        record.peerAddress = instance.peerAddress
        record.callerAddress = instance.callerAddress
      }
      this.leavingTracker.applyPlatformList(name, instance.state === 'leaving', now)
    }
    this.updateGonePeers(now)
  }

  /** Applies a heartbeat, or the heartbeat in a reply. */
  observeHeartbeat (heartbeat: Heartbeat, now: number): void {
    for (const [seat, holder] of Object.entries(heartbeat.holders)) this.directory.observeHolder(seat, holder)
    const name = formatSeat(heartbeat)
    const isNewest = this.directory.observeHolder(name, heartbeat)
    if (name === formatSeat(this.self)) return
    if (!isNewest) {
      // Generation 0 means a new instance that does not know its generation yet, not an earlier
      // holder.
      if (heartbeat.generation > 0) this.goneIncarnations.set(heartbeat.incarnation, now)
      return
    }
    const known = this.peers.get(name)
    const earlierIncarnation = known?.heartbeat?.incarnation
    if (earlierIncarnation !== undefined && earlierIncarnation !== heartbeat.incarnation) this.goneIncarnations.set(earlierIncarnation, now)
    // An incarnation that was marked as gone while it was unreachable may come back.
    this.goneIncarnations.delete(heartbeat.incarnation)
    const { domain, seat, peerAddress, callerAddress } = heartbeat
    this.peers.set(name, { seat: { domain, seat }, peerAddress, callerAddress, heartbeat, heardAt: now, silentSince: now, missedHeartbeats: 0, isListed: known?.isListed ?? false, isGone: false })
    this.leavingTracker.observeReport(name, heartbeat.incarnation, heartbeat.state === 'leaving')
  }

  /**
   * Records a heartbeat that got no reply.
   *
   * @param name - peer as `DOMAIN.SEAT`
   */
  recordMissedHeartbeat (name: string, now: number): void {
    const record = this.peers.get(name)
    if (record !== undefined) record.missedHeartbeats++
    this.updateGonePeers(now)
  }

  /** Lists all known peers, including those that are gone. */
  listPeers (): readonly Peer[] {
    return [...this.peers].map(([name, record]) => this.createPeer(name, record))
  }

  /**
   * Finds the instance that may admit a key: the holder of the key's seat, unless the key's
   * incarnation is known to be gone. The holder itself decides about incarnations that this
   * instance has never seen.
   *
   * @returns `gone` when the incarnation is known to have ended, `unreachable` when the seat has
   *   no known holder that can be asked, otherwise the holder as `peer`
   */
  findOwner (key: JobKey): KeyOwner {
    if (this.goneIncarnations.has(key.incarnation)) return { kind: 'gone' }
    const name = formatSeat(key)
    const record = this.peers.get(name)
    if (record === undefined) return { kind: 'unreachable' }
    const newestHolder = this.directory.findHolder(name)
    const knownIncarnation = record.heartbeat?.incarnation
    if (record.isGone && (knownIncarnation === undefined || knownIncarnation === key.incarnation)) return { kind: 'gone' }
    // A peer has reported a later holder, whose heartbeat has not arrived here yet.
    if (knownIncarnation === key.incarnation && newestHolder !== undefined && newestHolder.incarnation !== knownIncarnation) return { kind: 'gone' }
    return record.isGone ? { kind: 'unreachable' } : { kind: 'peer', peer: this.createPeer(name, record) }
  }

  /**
   * Picks the home instance of a customer in a domain by rendezvous hashing over the live
   * instances. Instances with different views may pick different homes; that costs efficiency
   * but not correctness.
   *
   * @param isSelfLive - whether this instance is a candidate, if it is in the domain
   * @returns the home as `DOMAIN.SEAT`; undefined when no instance of the domain is live
   */
  pickHomeInstance (customer: string, domain: string, isSelfLive: boolean): string | undefined {
    const names: string[] = []
    if (isSelfLive && this.self.domain === domain) names.push(formatSeat(this.self))
    for (const [name, record] of this.peers) {
      if (record.seat.domain === domain && record.heartbeat?.state === 'live' && this.computeState(name, record) === 'alive') names.push(name)
    }
    let home: string | undefined
    let highest = -1
    for (const name of names.sort()) {
      const weight = hashText(`${customer} ${name}`)
      if (weight > highest) [home, highest] = [name, weight]
    }
    return home
  }

  private createPeer (name: string, record: PeerRecord): Peer {
    const { seat, peerAddress, callerAddress, heartbeat, heardAt } = record
    return {
      name,
      seat,
      peerAddress,
      state: this.computeState(name, record),
      ...(callerAddress !== undefined && { callerAddress }),
      ...(heartbeat !== undefined && { heartbeat }),
      ...(heardAt !== undefined && { heardAt })
    }
  }

  private computeState (name: string, record: PeerRecord): PeerState {
    if (record.isGone) return 'gone'
    if (this.leavingTracker.isLeaving(name)) return 'leaving'
    return record.missedHeartbeats >= suspectAfterMissedHeartbeats ? 'suspect' : 'alive'
  }

  private updateGonePeers (now: number): void {
    for (const record of this.peers.values()) {
      if (record.isListed || record.isGone || now - record.silentSince < goneAfterMs) continue
      record.isGone = true
      if (record.heartbeat !== undefined) this.goneIncarnations.set(record.heartbeat.incarnation, now)
    }
    for (const [incarnation, at] of this.goneIncarnations) if (now - at >= goneIncarnationRetentionMs) this.goneIncarnations.delete(incarnation)
  }
}
