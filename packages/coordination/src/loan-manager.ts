import { clampResources, isZero, maxTaskLeaseMs, type ResourceVector, startWindowMs, subtractResources, zeroResources } from '@sesamereel/state'
import { type CustomerQueue } from './customer-queue.js'
import { type DispatchObserver } from './dispatch-observer.js'
import { type JobQueue } from './job-queue.js'
import { type ResourceLedger } from './resource-ledger.js'
import { LendingPolicy } from './lending-policy.js'
import { type LendingPeer, LoanRequestPlanner, type Shortage } from './loan-request-planner.js'
import { type ResourceName, type LoanChannel, type LoanGrant, type LoanRequest } from './loans.js'
import { formatPlanResource, parsePlanResource, type SeatPlanShares } from './seat-plan-shares.js'
import { formatSlotResource, parseSlotResource, type SlotCredits } from './slot-credits.js'
import { parseSeat } from './parse-seat.js'
import { type TargetState } from './target-state.js'
import { type TargetTable } from './target-table.js'

/** Unused loans of plan units are returned after this time in milliseconds; they are not renewed by then. */
const idlePlanMs = 2_000

/** Unused slot credits are returned after this time in milliseconds; asking for them again takes one round trip. */
const idleCreditMs = 200

/** A customer's queue is stuck when nothing of it runs and its units do not suffice for this long, in milliseconds. */
const stuckMs = 100

/** Time in milliseconds for which a seat that gave way borrows no units of the plan. */
const giveWayMs = 1_000

/** A lender that asked for its units back gets them as they become free for this long, in milliseconds. */
const recallMs = 2_000

/** Reply to loan requests, or undefined grants when the peer did not answer. */
export interface LoanReply {
  readonly peer: string
  readonly requests: readonly LoanRequest[]
  readonly grants: readonly LoanGrant[] | undefined
  readonly sentAt: number
  readonly isRenewal: boolean
}

/** What the exchange works on. */
export interface LoanManagerDependencies {
  readonly self: string
  readonly channel: LoanChannel
  readonly shares: SeatPlanShares
  readonly credits: SlotCredits
  readonly queue: JobQueue
  readonly targets: TargetTable
  readonly sharesCredits: boolean
  readonly isShareUsable: () => boolean
  readonly createLoanId: () => string
  /** Receives replies as messages; never called synchronously. */
  readonly post: (reply: LoanReply) => void
  readonly observer: DispatchObserver
}

/** Borrows, renews, returns and lends units of plans and slot credits. */
export class LoanManager {
  private readonly demand: LoanRequestPlanner
  private readonly rules = new LendingPolicy()
  private isLending = true
  /** Lenders that asked for their units back: by lender and resource, the time until which they count. */
  private readonly recalls = new Map<string, { readonly peer: string, readonly resource: ResourceName, readonly until: number }>()

  constructor (private readonly parts: LoanManagerDependencies) {
    this.demand = new LoanRequestPlanner(parts.createLoanId)
  }

  applyPeers (peers: readonly LendingPeer[]): void {
    this.demand.applyPeers(peers)
  }

  /** Grants and renews nothing from now on, so that lent units come back within their term. */
  stopLending (): void {
    this.isLending = false
  }

  /** Asks peers for what was short in a round. */
  requestLoans (planShort: ReadonlySet<CustomerQueue>, areSlotsShort: boolean, findTargets: () => readonly TargetState[], now: number): void {
    const shortages: Shortage[] = []
    for (const queue of planShort) {
      const resource = formatPlanResource(queue.customer)
      if (!this.demand.canRequest(resource, now)) continue
      const queued = queue.getQueuedDemand()
      const needed = clampResources(subtractResources(queued, this.computeAvailable(queue, now)), queued)
      if (!isZero(needed)) shortages.push({ kind: 'plan', resource, customer: queue.customer, needed })
    }
    if (areSlotsShort && this.parts.sharesCredits && this.demand.canRequest('slots', now)) {
      const needed = this.countNeededSlots(now)
      if (needed > 0) shortages.push({ kind: 'slots', needed, resources: findTargets().map(target => formatSlotResource(target.id)) })
    }
    if (shortages.length === 0) return
    const plan = this.demand.planRequests(shortages, {
      computeShare: (peer, resource) => this.computeShareOf(peer, resource),
      listBorrowers: resource => this.rules.listBorrowers(resource, now)
    }, now)
    for (const [peer, requests] of plan) this.send(peer, requests, false, now)
  }

  /** Renews used loans and returns unused ones. */
  renewAndReturnLoans (now: number): void {
    this.rules.removeExpired(now)
    const renewals = new Map<string, LoanRequest[]>()
    for (const ledger of this.listLedgers()) {
      ledger.removeExpired(now)
      for (const [peer, requests] of ledger.createDueRenewals(now)) renewals.set(peer, [...renewals.get(peer) ?? [], ...requests])
    }
    for (const [peer, requests] of renewals) this.send(peer, requests, true, now)
    this.returnIdle(now, idlePlanMs, idleCreditMs)
  }

  /** Gives lenders that have work themselves what is unused of their units; called before each round. */
  returnRecalledUnits (now: number): void {
    for (const [key, { peer, resource, until }] of this.recalls) {
      if (now >= until || !this.returnUnused(peer, resource, now)) this.recalls.delete(key)
    }
  }

  /** Returns every loan that is not in use. */
  returnAll (now: number): void {
    this.returnIdle(now, 0, 0)
  }

  /** Applies a reply; afterwards, tasks that waited for it may be able to start. */
  applyReply (reply: LoanReply, now: number): void {
    const { peer, requests, grants, sentAt } = reply
    const granted = new Set<string>()
    requests.forEach((request, i) => {
      const grant = grants?.[i]
      if (grant === undefined) return
      if (!isZero(grant.amount)) {
        granted.add(request.loanId)
        // A lender that lends again needs its units no longer.
        if (!reply.isRenewal) this.recalls.delete(`${peer} ${request.resource}`)
      }
      const customer = parsePlanResource(request.resource)
      if (customer !== undefined) {
        this.parts.shares.ledger.applyGrant(peer, request, grant, sentAt)
        this.parts.queue.clearPlanBlocks(customer)
      } else {
        this.parts.credits.ledger.applyGrant(peer, request, grant, sentAt)
        this.updateCredits(request.resource, now)
      }
    })
    if (reply.isRenewal) return
    this.demand.recordReply(peer, requests, granted, now)
    this.parts.observer.onBorrowAnswered(peer, requests.length, granted.size)
  }

  /** @returns a grant for each request, in the same order */
  grantLoans (peer: string, requests: readonly LoanRequest[], now: number): readonly LoanGrant[] {
    const grants = requests.map((request) => {
      // Whoever asks has work that its own units do not suffice for.
      if (this.returnUnused(peer, request.resource, now)) {
        this.recalls.set(`${peer} ${request.resource}`, { peer, resource: request.resource, until: now + recallMs })
      }
      const customer = parsePlanResource(request.resource)
      if (customer !== undefined) return this.lendPlan(peer, request, customer, now)
      const targetId = parseSlotResource(request.resource)
      return targetId === undefined ? refuseLoan(request) : this.lendCredit(peer, request, targetId, now)
    })
    this.rules.recordGrants(peer, requests, grants, now)
    return grants
  }

  applyReturn (peer: string, loanIds: readonly string[], now: number): void {
    this.rules.recordReturns(loanIds)
    for (const ledger of this.listLedgers()) ledger.applyReturn(peer, loanIds, now)
    for (const target of this.parts.targets.list()) this.parts.credits.updateFreeCredits(target, now)
  }

  private lendPlan (peer: string, request: LoanRequest, customer: string, now: number): LoanGrant {
    if (!this.isLending) return refuseLoan(request)
    const queue = this.parts.queue.get(customer)
    const givesWay = queue !== undefined && this.shouldGiveWay(queue, peer, now)
    if (givesWay) {
      this.demand.suspendRequests(request.resource, giveWayMs, now)
      this.returnIdle(now, 0, idleCreditMs)
    }
    const ownDemand = queue === undefined || givesWay ? zeroResources : queue.getQueuedDemand()
    const owned = this.computeShareOf(this.parts.self, request.resource)
    return this.parts.shares.ledger.grant(peer, [request], now, this.parts.isShareUsable(),
      (_, available) => this.rules.computeLendableAmount(peer, request, available, ownDemand, owned, now))[0]!
  }

  /**
   * Tells whether this seat gives all its units of a plan to a peer. Two seats that each hold a part
   * of the units that one task needs would otherwise wait for each other for ever; of two, the
   * seat whose name sorts first goes ahead.
   */
  private shouldGiveWay (queue: CustomerQueue, peer: string, now: number): boolean {
    return queue.blockedByShareSince !== undefined && now - queue.blockedByShareSince >= stuckMs && peer < this.parts.self
  }

  private lendCredit (peer: string, request: LoanRequest, targetId: string, now: number): LoanGrant {
    const target = this.parts.targets.get(targetId)
    if (!this.parts.sharesCredits || !this.isLending || target === undefined) return refuseLoan(request)
    const ownDemand = { ...zeroResources, parallel: this.countNeededSlots(now) }
    const owned = this.computeShareOf(this.parts.self, request.resource)
    const grant = this.parts.credits.ledger.grant(peer, [request], now, true,
      (_, available) => this.rules.computeLendableAmount(peer, request, available, ownDemand, owned, now))[0]!
    this.parts.credits.updateFreeCredits(target, now)
    return grant
  }

  private send (peer: string, requests: readonly LoanRequest[], isRenewal: boolean, sentAt: number): void {
    const reply = (grants: readonly LoanGrant[] | undefined): void => { this.parts.post({ peer, requests, grants, sentAt, isRenewal }) }
    this.parts.channel.borrow(peer, requests).then(reply, () => { reply(undefined) })
  }

  private returnIdle (now: number, planMs: number, creditMs: number): void {
    const idle = [this.parts.shares.ledger.closeIdleLoans(now, planMs), this.parts.credits.ledger.closeIdleLoans(now, creditMs)]
    const returned = new Map<string, string[]>()
    for (const loans of idle) for (const [peer, ids] of loans) returned.set(peer, [...returned.get(peer) ?? [], ...ids])
    for (const [peer, ids] of returned) this.parts.channel.returnLoans(peer, ids)
  }

  private updateCredits (resource: ResourceName, now: number): void {
    const target = this.parts.targets.get(parseSlotResource(resource) ?? '')
    if (target !== undefined) this.parts.credits.updateFreeCredits(target, now)
  }

  private computeAvailable (queue: CustomerQueue, now: number): ResourceVector {
    return this.parts.shares.computeAvailable(queue.customer, now + startWindowMs + maxTaskLeaseMs, now, this.parts.isShareUsable())
  }

  /** Counts the slots that queued tasks could use with the plan units that are available now. */
  private countNeededSlots (now: number): number {
    let count = 0
    for (const queue of this.parts.queue.listStartable()) count += Math.min(queue.queued, this.computeAvailable(queue, now).parallel)
    return count
  }

  private computeShareOf (peer: string, resource: ResourceName): ResourceVector {
    const customer = parsePlanResource(resource)
    if (customer !== undefined) {
      const seat = parseSeat(peer)
      return seat === undefined ? zeroResources : this.parts.shares.computeShare(customer, seat)
    }
    const target = this.parts.targets.get(parseSlotResource(resource) ?? '')
    return target === undefined ? zeroResources : { ...zeroResources, parallel: this.parts.credits.computeOwnedSlots(target, peer) }
  }

  /** @returns true when loans of the resource from the lender are held */
  private returnUnused (lender: string, resource: ResourceName, now: number): boolean {
    const ledger = parsePlanResource(resource) === undefined ? this.parts.credits.ledger : this.parts.shares.ledger
    const unused = ledger.giveUpUnusedUnits(lender, resource, now)
    if (unused === undefined) return false
    const { returned, reduced } = unused
    if (returned.length > 0) this.parts.channel.returnLoans(lender, returned)
    if (reduced.length > 0) this.send(lender, reduced, true, now)
    if (returned.length > 0 || reduced.length > 0) this.updateCredits(resource, now)
    return true
  }

  private listLedgers (): readonly ResourceLedger[] {
    return [this.parts.shares.ledger, this.parts.credits.ledger]
  }
}

function refuseLoan (request: LoanRequest): LoanGrant {
  return { loanId: request.loanId, amount: zeroResources, termMs: 0 }
}
