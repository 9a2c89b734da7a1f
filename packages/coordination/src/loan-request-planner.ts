import { clampResources, isZero, type ResourceVector, subtractResources, zeroResources } from '@sesamereel/state'
import { type LeavingNotice } from './leaving-tracker.js'
import { type ResourceName, type LoanRequest } from './loans.js'

/** What is known of a peer that may lend. */
export interface LendingPeer {
  /** `DOMAIN.SEAT` */
  readonly seat: string
  readonly sameDomain: boolean
  readonly queuedByCustomer: Readonly<Record<string, number>>
  readonly ejectedTargets: readonly string[]
  readonly leavingTargets?: readonly LeavingNotice[]
}

/** A peer that grants nothing is asked again after this time in milliseconds, doubled each time. */
const shortestBackOffMs = 50
const longestBackOffMs = 1_000

/** A peer that granted something is asked again after this time in milliseconds at the earliest, which bounds the messages. */
const fewestMsBetween = 5

/** Loan requests in one message; the rest follows with the next. */
const mostRequestsPerPeer = 64

/** Group under which all slot credits are asked for; a plan is a group of its own. */
const slotGroup = 'slots'

interface BackOff {
  delayMs: number
  until: number
}

/** Something that is short: units of a plan, or slots of any of several targets. */
export type Shortage =
  | { readonly kind: 'plan', readonly resource: ResourceName, readonly customer: string, readonly needed: ResourceVector }
  | { readonly kind: 'slots', readonly needed: number, readonly resources: readonly ResourceName[] }

/** What is known of other seats with regard to a resource. */
export interface PeerLoanView {
  /** Computes what a peer owns. */
  computeShare (peer: string, resource: ResourceName): ResourceVector
  /** Lists the peers that hold loans from this seat; a request makes them give unused units back. */
  listBorrowers (resource: ResourceName): readonly string[]
}

/**
 * Decides what to borrow from whom. Each group has at most one round of requests under way, and
 * a peer that granted nothing is left alone for a while.
 */
export class LoanRequestPlanner {
  private peers: readonly LendingPeer[] = []
  private readonly underway = new Map<string, number>()
  private readonly backOffs = new Map<string, BackOff>()
  private turn = 0

  /**
   * @param createLoanId - makes an id that is unique over all incarnations
   */
  constructor (private readonly createLoanId: () => string) {}

  applyPeers (peers: readonly LendingPeer[]): void {
    this.peers = peers
    const known = new Set(peers.map(peer => peer.seat))
    for (const key of this.backOffs.keys()) if (!known.has(key.slice(key.indexOf(' ') + 1))) this.backOffs.delete(key)
  }

  /** @returns true when a shortage of the group would be planned now */
  canRequest (group: string, now: number): boolean {
    if (this.underway.has(group)) return false
    return this.peers.some(peer => !this.isBackedOff(group, peer.seat, now))
  }

  /** Keeps a group from being asked for, after its units were given up to another instance. */
  suspendRequests (group: string, pauseMs: number, now: number): void {
    for (const peer of this.peers) this.backOffs.set(`${group} ${peer.seat}`, { delayMs: pauseMs, until: now + pauseMs })
  }

  /**
   * Plans the requests for all shortages.
   *
   * @returns requests by peer; each must be followed by `noteReply`
   */
  planRequests (shortages: readonly Shortage[], view: PeerLoanView, now: number): ReadonlyMap<string, readonly LoanRequest[]> {
    const plan = new Map<string, LoanRequest[]>()
    for (const shortage of shortages) {
      const group = getGroup(shortage)
      if (this.underway.has(group)) continue
      const asked = new Set<string>()
      if (shortage.kind === 'plan') this.planForPlan(shortage, group, view, now, plan, asked)
      else this.planForSlots(shortage, view, now, plan, asked)
      if (asked.size > 0) this.underway.set(group, asked.size)
    }
    return plan
  }

  /**
   * Notes that requests were answered, or that no answer came.
   *
   * @param granted - ids of the loans of which at least a part was granted
   */
  recordReply (peer: string, requests: readonly LoanRequest[], granted: ReadonlySet<string>, now: number): void {
    for (const group of new Set(requests.map(getGroupOfRequest))) {
      const left = (this.underway.get(group) ?? 1) - 1
      if (left > 0) this.underway.set(group, left)
      else this.underway.delete(group)
      const key = `${group} ${peer}`
      if (requests.some(request => getGroupOfRequest(request) === group && granted.has(request.loanId))) {
        this.backOffs.set(key, { delayMs: 0, until: now + fewestMsBetween })
        continue
      }
      const delayMs = Math.min(longestBackOffMs, Math.max(shortestBackOffMs, (this.backOffs.get(key)?.delayMs ?? 0) * 2))
      this.backOffs.set(key, { delayMs, until: now + delayMs })
    }
  }

  private planForPlan (
    shortage: Extract<Shortage, { kind: 'plan' }>, group: string, view: PeerLoanView, now: number,
    plan: Map<string, LoanRequest[]>, asked: Set<string>
  ): void {
    let missing = shortage.needed
    const borrowers = view.listBorrowers(shortage.resource)
    for (const peer of this.orderPeers(candidate => candidate.queuedByCustomer[shortage.customer] ?? 0)) {
      if (isZero(missing) && !borrowers.includes(peer.seat)) continue
      if (this.isBackedOff(group, peer.seat, now)) continue
      const amount = clampResources(isZero(missing) ? shortage.needed : missing, view.computeShare(peer.seat, shortage.resource))
      if (isZero(amount) || !this.addRequest(plan, peer.seat, shortage.resource, amount)) continue
      asked.add(peer.seat)
      missing = clampResources(subtractResources(missing, amount), missing)
    }
  }

  private planForSlots (
    shortage: Extract<Shortage, { kind: 'slots' }>, view: PeerLoanView, now: number,
    plan: Map<string, LoanRequest[]>, asked: Set<string>
  ): void {
    let missing = shortage.needed
    const peers = this.orderPeers(countQueued).filter(peer => peer.sameDomain && !this.isBackedOff(slotGroup, peer.seat, now))
    for (const peer of peers) {
      for (const resource of shortage.resources) {
        const isBorrower = view.listBorrowers(resource).includes(peer.seat)
        // A peer with queued tasks uses its own slots itself, but must give back those of others.
        if (!isBorrower && (missing <= 0 || countQueued(peer) > 0)) continue
        const parallel = Math.min(Math.max(missing, 1), view.computeShare(peer.seat, resource).parallel)
        if (parallel === 0) continue
        if (!this.addRequest(plan, peer.seat, resource, { ...zeroResources, parallel })) break
        asked.add(peer.seat)
        missing -= parallel
      }
    }
  }

  /** Peers with the least demand first; peers with equal demand take turns. */
  private orderPeers (demandOf: (peer: LendingPeer) => number): readonly LendingPeer[] {
    const start = this.peers.length === 0 ? 0 : this.turn++ % this.peers.length
    const rotated = [...this.peers.slice(start), ...this.peers.slice(0, start)]
    return rotated.sort((a, b) => demandOf(a) - demandOf(b))
  }

  private addRequest (plan: Map<string, LoanRequest[]>, peer: string, resource: ResourceName, amount: ResourceVector): boolean {
    const requests = plan.get(peer) ?? []
    if (requests.length >= mostRequestsPerPeer) return false
    requests.push({ loanId: this.createLoanId(), resource, amount })
    plan.set(peer, requests)
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
