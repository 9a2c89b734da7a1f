import { clampResources, isZero, type ResourceVector, subtractResources, zeroResources } from '@sesamereel/state'
import { type LeavingNotice } from './leaving-tracker.js'
import { type LoanRequest, type ResourceName } from './loans.js'

/** Known state of a peer that may lend. */
export interface LendingPeer {
  /** `DOMAIN.SEAT` */
  readonly seat: string
  readonly sameDomain: boolean
  readonly queuedByCustomer: Readonly<Record<string, number>>
  readonly ejectedTargets: readonly string[]
  readonly leavingTargets?: readonly LeavingNotice[]
}

/**
 * Delay in milliseconds before a peer that granted nothing is asked again; it doubles with each
 * refusal up to the maximum.
 */
const minBackOffMs = 50
const maxBackOffMs = 1_000

/**
 * Shortest time in milliseconds between a grant of a peer and the next request to it, which
 * bounds the number of messages.
 */
const minRequestIntervalMs = 5

/** Largest number of loan requests in one message; further requests follow in later messages. */
const maxRequestsPerMessage = 64

/** Group of all slot credit requests. Each plan has a group of its own, named after its resource. */
const slotGroup = 'slots'

interface BackOff {
  delayMs: number
  until: number
}

/** A shortage: units of a customer's plan, or slots on any of several targets. */
export type Shortage =
  | { readonly kind: 'plan', readonly resource: ResourceName, readonly customer: string, readonly needed: ResourceVector }
  | { readonly kind: 'slots', readonly needed: number, readonly resources: readonly ResourceName[] }

/** Ownership and loans of a resource at other seats. */
export interface PeerLoanView {
  /** Computes the share of a resource that a peer owns. */
  computeShare (peer: string, resource: ResourceName): ResourceVector
  /** Lists the peers that hold loans from this seat; a loan request makes them return unused units. */
  listBorrowers (resource: ResourceName): readonly string[]
}

/**
 * Decides which amounts to request from which peers. A group has at most one round of requests
 * pending, and a peer that granted nothing is not asked again until its back-off has passed.
 */
export class LoanRequestPlanner {
  private peers: readonly LendingPeer[] = []
  private readonly pendingReplies = new Map<string, number>()
  private readonly backOffs = new Map<string, BackOff>()
  private rotation = 0

  /** @param createLoanId - creates an id that is unique over all incarnations */
  constructor (private readonly createLoanId: () => string) {}

  applyPeers (peers: readonly LendingPeer[]): void {
    this.peers = peers
    const known = new Set(peers.map(peer => peer.seat))
    for (const key of this.backOffs.keys()) if (!known.has(key.slice(key.indexOf(' ') + 1))) this.backOffs.delete(key)
  }

  /** @returns true when no request of the group is pending and at least one peer may be asked now */
  canRequest (group: string, now: number): boolean {
    if (this.pendingReplies.has(group)) return false
    return this.peers.some(peer => !this.isBackedOff(group, peer.seat, now))
  }

  /**
   * Suspends the requests of a group for `pauseMs` milliseconds, after its units were given up
   * to another instance.
   */
  suspendRequests (group: string, pauseMs: number, now: number): void {
    for (const peer of this.peers) this.backOffs.set(`${group} ${peer.seat}`, { delayMs: pauseMs, until: now + pauseMs })
  }

  /**
   * Plans the requests for all shortages.
   *
   * @returns requests by peer; each entry must be followed by a call of `recordReply`
   */
  planRequests (shortages: readonly Shortage[], view: PeerLoanView, now: number): ReadonlyMap<string, readonly LoanRequest[]> {
    const requestsByPeer = new Map<string, LoanRequest[]>()
    for (const shortage of shortages) {
      const group = getGroup(shortage)
      if (this.pendingReplies.has(group)) continue
      const askedPeers = new Set<string>()
      if (shortage.kind === 'plan') this.planForPlanShortage(shortage, group, view, now, requestsByPeer, askedPeers)
      else this.planForSlotShortage(shortage, view, now, requestsByPeer, askedPeers)
      if (askedPeers.size > 0) this.pendingReplies.set(group, askedPeers.size)
    }
    return requestsByPeer
  }

  /**
   * Records that requests to a peer were answered, or that no reply came.
   *
   * @param granted - ids of the loans that were granted at least in part
   */
  recordReply (peer: string, requests: readonly LoanRequest[], granted: ReadonlySet<string>, now: number): void {
    for (const group of new Set(requests.map(getGroupOfRequest))) {
      const remaining = (this.pendingReplies.get(group) ?? 1) - 1
      if (remaining > 0) this.pendingReplies.set(group, remaining)
      else this.pendingReplies.delete(group)
      const key = `${group} ${peer}`
      if (requests.some(request => getGroupOfRequest(request) === group && granted.has(request.loanId))) {
        this.backOffs.set(key, { delayMs: 0, until: now + minRequestIntervalMs })
        continue
      }
      const delayMs = Math.min(maxBackOffMs, Math.max(minBackOffMs, (this.backOffs.get(key)?.delayMs ?? 0) * 2))
      this.backOffs.set(key, { delayMs, until: now + delayMs })
    }
  }

  private planForPlanShortage (
    shortage: Extract<Shortage, { kind: 'plan' }>, group: string, view: PeerLoanView, now: number,
    requestsByPeer: Map<string, LoanRequest[]>, askedPeers: Set<string>
  ): void {
    let missing = shortage.needed
    const borrowers = view.listBorrowers(shortage.resource)
    for (const peer of this.sortPeersByDemand(candidate => candidate.queuedByCustomer[shortage.customer] ?? 0)) {
      if (isZero(missing) && !borrowers.includes(peer.seat)) continue
      if (this.isBackedOff(group, peer.seat, now)) continue
      const amount = clampResources(isZero(missing) ? shortage.needed : missing, view.computeShare(peer.seat, shortage.resource))
      if (isZero(amount) || !this.addRequest(requestsByPeer, peer.seat, shortage.resource, amount)) continue
      askedPeers.add(peer.seat)
      missing = clampResources(subtractResources(missing, amount), missing)
    }
  }

  private planForSlotShortage (
    shortage: Extract<Shortage, { kind: 'slots' }>, view: PeerLoanView, now: number,
    requestsByPeer: Map<string, LoanRequest[]>, askedPeers: Set<string>
  ): void {
    let missing = shortage.needed
    const peers = this.sortPeersByDemand(countQueued).filter(peer => peer.sameDomain && !this.isBackedOff(slotGroup, peer.seat, now))
    for (const peer of peers) {
      for (const resource of shortage.resources) {
        const isBorrower = view.listBorrowers(resource).includes(peer.seat)
        // A peer with queued tasks needs its own slots, but must return those that it has borrowed.
        if (!isBorrower && (missing <= 0 || countQueued(peer) > 0)) continue
        const parallel = Math.min(Math.max(missing, 1), view.computeShare(peer.seat, resource).parallel)
        if (parallel === 0) continue
        if (!this.addRequest(requestsByPeer, peer.seat, resource, { ...zeroResources, parallel })) break
        askedPeers.add(peer.seat)
        missing -= parallel
      }
    }
  }

  /** Sorts the peers by demand, the lowest first; peers with equal demand rotate from call to call. */
  private sortPeersByDemand (getDemand: (peer: LendingPeer) => number): readonly LendingPeer[] {
    const start = this.peers.length === 0 ? 0 : this.rotation++ % this.peers.length
    const rotated = [...this.peers.slice(start), ...this.peers.slice(0, start)]
    return rotated.sort((a, b) => getDemand(a) - getDemand(b))
  }

  private addRequest (requestsByPeer: Map<string, LoanRequest[]>, peer: string, resource: ResourceName, amount: ResourceVector): boolean {
    const requests = requestsByPeer.get(peer) ?? []
    if (requests.length >= maxRequestsPerMessage) return false
    requests.push({ loanId: this.createLoanId(), resource, amount })
    requestsByPeer.set(peer, requests)
    return true
  }

  private isBackedOff (group: string, peer: string, now: number): boolean {
    return now < (this.backOffs.get(`${group} ${peer}`)?.until ?? -Infinity)
  }
}

function countQueued (peer: LendingPeer): number {
  return Object.values(peer.queuedByCustomer).reduce((sum, count) => sum + count, 0)
}

function getGroup (shortage: Shortage): string {
  return shortage.kind === 'plan' ? shortage.resource : slotGroup
}

function getGroupOfRequest (request: LoanRequest): string {
  return request.resource.startsWith('slot:') ? slotGroup : request.resource
}
