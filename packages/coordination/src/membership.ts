import { formatSeat, hashText, type InstanceList, type JobKey, type SeatId } from '@sesamereel/state'
import { type Heartbeat } from './heartbeat.js'
import { LeavingTracker } from './leaving-tracker.js'
import { type SeatDirectory } from './seat-directory.js'

export type PeerState = 'alive' | 'suspect' | 'leaving' | 'gone'

/** Another instance as this one sees it. */
export interface Peer {
  /** `DOMAIN.SEAT` */
  readonly name: string
  readonly seat: SeatId
  readonly peerAddress: string
  /** Absent until a heartbeat or the list has named it. */
  readonly callerAddress?: string
  readonly state: PeerState
  /** Latest heartbeat, absent while the peer is known only from the list. */
  readonly heartbeat?: Heartbeat
  /** Time of the latest heartbeat in milliseconds. */
  readonly heardAt?: number
}

/** Where the owner of a key is. */
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
  /** Latest heartbeat, or when the peer was first listed. */
  silentSince: number
  missed: number
  isListed: boolean
  isGone: boolean
}

/** Missed heartbeats in a row after which a peer is suspect. */
const suspectAfterMisses = 3

/** Silence in milliseconds after which a peer that left the list is gone. */
const goneAfterMs = 30_000

/** How long a past incarnation is remembered; its keys live for one hour. */
const pastIncarnationMs = 7_200_000

/**
 * The other instances, from the platform's list and from heartbeats. The list is only a hint:
 * it lags, and a peer that answers stays alive whatever the list says. Times are monotonic
 * milliseconds.
 */
export class Membership {
  private readonly peers = new Map<string, PeerRecord>()
  private readonly leaving = new LeavingTracker()
  /** Incarnations that are known to be gone, with the time when that was found. */
  private readonly past = new Map<string, number>()

  /**
   * @param self - the own seat, which is left out of the peers
   * @param directory - receives the holders that heartbeats name
   */
  constructor (private readonly self: SeatId, private readonly directory: SeatDirectory) {}

  /** Takes the platform's list into account; call it again with the last list while the platform is down. */
  applyInstanceList (list: InstanceList, now: number): void {
    for (const record of this.peers.values()) record.isListed = false
    for (const instance of list.instances) {
      const name = formatSeat(instance)
      if (name === formatSeat(this.self)) continue
      let record = this.peers.get(name)
      if (record === undefined) {
        record = { seat: { domain: instance.domain, seat: instance.seat }, peerAddress: instance.peerAddress, silentSince: now, missed: 0, isListed: true, isGone: false }
        this.peers.set(name, record)
      }
      record.isListed = true
      // A peer that answers knows its address better than the list.
      if (this.classify(name, record) !== 'alive' || record.heartbeat === undefined) {
        record.peerAddress = instance.peerAddress
        record.callerAddress = instance.callerAddress
      }
      this.leaving.applyPlatformList(name, instance.state === 'leaving', now)
    }
    this.expire(now)
  }

  /** Takes a heartbeat or the reply to one into account. */
  observeHeartbeat (heartbeat: Heartbeat, now: number): void {
    for (const [seat, holder] of Object.entries(heartbeat.holders)) this.directory.observeHolder(seat, holder)
    const name = formatSeat(heartbeat)
    const isNewest = this.directory.observeHolder(name, heartbeat)
    if (name === formatSeat(this.self)) return
    if (!isNewest) {
      // Generation 0 is a new instance that does not know its generation yet, not an earlier holder.
      if (heartbeat.generation > 0) this.past.set(heartbeat.incarnation, now)
      return
    }
    const known = this.peers.get(name)
    const earlier = known?.heartbeat?.incarnation
    if (earlier !== undefined && earlier !== heartbeat.incarnation) this.past.set(earlier, now)
    // An incarnation that was given up while it was unreachable may come back.
    this.past.delete(heartbeat.incarnation)
    const { domain, seat, peerAddress, callerAddress } = heartbeat
    this.peers.set(name, { seat: { domain, seat }, peerAddress, callerAddress, heartbeat, heardAt: now, silentSince: now, missed: 0, isListed: known?.isListed ?? false, isGone: false })
    this.leaving.observeReport(name, heartbeat.incarnation, heartbeat.state === 'leaving')
  }

  /**
   * Takes a heartbeat without a reply into account.
   *
   * @param name - peer as `DOMAIN.SEAT`
   */
  recordMissedHeartbeat (name: string, now: number): void {
    const record = this.peers.get(name)
    if (record !== undefined) record.missed++
    this.expire(now)
  }

  /** Lists all known peers, the gone ones included. */
  listPeers (): readonly Peer[] {
    return [...this.peers].map(([name, record]) => this.describe(name, record))
  }

  /**
   * Finds the instance that may admit a key.
   *
   * @returns the holder of the key's seat unless the key's incarnation is known to be gone.
   *   The holder itself answers for incarnations that this instance never knew
   */
  findOwner (key: JobKey): KeyOwner {
    if (this.past.has(key.incarnation)) return { kind: 'gone' }
    const name = formatSeat(key)
    const record = this.peers.get(name)
    if (record === undefined) return { kind: 'unreachable' }
    const newest = this.directory.findHolder(name)
    const current = record.heartbeat?.incarnation
    if (record.isGone && (current === undefined || current === key.incarnation)) return { kind: 'gone' }
    // A peer named a later holder that has not been heard here yet.
    if (current === key.incarnation && newest !== undefined && newest.incarnation !== current) return { kind: 'gone' }
    return record.isGone ? { kind: 'unreachable' } : { kind: 'peer', peer: this.describe(name, record) }
  }

  /**
   * Picks the home of a customer in a domain by rendezvous hashing over the live instances.
   * A wrong choice costs only efficiency.
   *
   * @param isSelfLive - whether this instance counts, when it is in the domain
   * @returns the home as `DOMAIN.SEAT`, undefined when no instance of the domain is live
   */
  pickHomeInstance (customer: string, domain: string, isSelfLive: boolean): string | undefined {
    const names: string[] = []
    if (isSelfLive && this.self.domain === domain) names.push(formatSeat(this.self))
    for (const [name, record] of this.peers) {
      if (record.seat.domain === domain && record.heartbeat?.state === 'live' && this.classify(name, record) === 'alive') names.push(name)
    }
    let home: string | undefined
    let highest = -1
    for (const name of names.sort()) {
      const weight = hashText(`${customer} ${name}`)
      if (weight > highest) [home, highest] = [name, weight]
    }
    return home
  }

  private describe (name: string, record: PeerRecord): Peer {
    const { seat, peerAddress, callerAddress, heartbeat, heardAt } = record
    return {
      name,
      seat,
      peerAddress,
      state: this.classify(name, record),
      ...(callerAddress !== undefined && { callerAddress }),
      ...(heartbeat !== undefined && { heartbeat }),
      ...(heardAt !== undefined && { heardAt })
    }
  }

  private classify (name: string, record: PeerRecord): PeerState {
    if (record.isGone) return 'gone'
    if (this.leaving.isLeaving(name)) return 'leaving'
    return record.missed >= suspectAfterMisses ? 'suspect' : 'alive'
  }

  private expire (now: number): void {
    for (const record of this.peers.values()) {
      if (record.isListed || record.isGone || now - record.silentSince < goneAfterMs) continue
      record.isGone = true
      if (record.heartbeat !== undefined) this.past.set(record.heartbeat.incarnation, now)
    }
    for (const [incarnation, at] of this.past) if (now - at >= pastIncarnationMs) this.past.delete(incarnation)
  }
}
