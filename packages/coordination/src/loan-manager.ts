import { clampResources, isZero, maxTaskLeaseMs, type ResourceVector, startWindowMs, subtractResources, zeroResources } from '@sesamereel/state'
import { type CustomerQueue } from './customer-queue.js'
import { type DispatchObserver } from './dispatch-observer.js'
import { type JobQueue } from './job-queue.js'
import { type ResourceLedger } from './resource-ledger.js'
import { LendingPolicy } from './lending-policy.js'
import { type LendingPeer, LoanRequestPlanner, type Shortage } from './loan-request-planner.js'
import { type LoanChannel, type LoanGrant, type LoanRequest, type ResourceName } from './loans.js'
import { formatPlanResource, parsePlanResource, type SeatPlanShares } from './seat-plan-shares.js'
import { formatSlotResource, parseSlotResource, type SlotCredits } from './slot-credits.js'
import { parseSeat } from './parse-seat.js'
import { type TargetState } from './target-state.js'
import { type TargetTable } from './target-table.js'

/**
 * Idle time in milliseconds after which a loan of plan units is returned. An idle loan is no
 * longer renewed by then.
 */
const planLoanIdleMs = 2_000

/** Idle time in milliseconds after which slot credits are returned. Borrowing them again takes one round trip. */
const creditLoanIdleMs = 200

/**
 * Time in milliseconds after which a customer's queue counts as blocked: none of its tasks runs,
 * and the next task needs more units than the own share has.
 */
const blockedQueueMs = 100

/** Time in milliseconds for which a seat that yielded its units of a plan borrows none of them. */
const yieldPauseMs = 1_000

/** Time in milliseconds for which units are returned to a lender as they become free, after it asked for them. */
const recallDurationMs = 2_000

/** Reply to loan requests. `grants` is undefined when the peer did not answer. */
export interface LoanReply {
  readonly peer: string
  readonly requests: readonly LoanRequest[]
  readonly grants: readonly LoanGrant[] | undefined
  readonly sentAt: number
  readonly isRenewal: boolean
}

/** Dependencies of `LoanManager`. */
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
  /** Enqueues a reply as a message; never called synchronously by a method of the manager. */
  readonly postReply: (reply: LoanReply) => void
  readonly observer: DispatchObserver
}

/** Borrows, renews, returns and lends plan units and slot credits. */
export class LoanManager {
  private readonly requestPlanner: LoanRequestPlanner
  private readonly lendingPolicy = new LendingPolicy()
  private isLending = true
  /** Lenders that asked for their units back, by lender and resource. */
  private readonly recalls = new Map<string, { readonly peer: string, readonly resource: ResourceName, readonly until: number }>()

  constructor (private readonly dependencies: LoanManagerDependencies) {
    this.requestPlanner = new LoanRequestPlanner(dependencies.createLoanId)
  }

  applyPeers (peers: readonly LendingPeer[]): void {
    this.requestPlanner.applyPeers(peers)
  }

  /** Stops granting and renewing loans, so that all lent units come back within their term. */
  stopLending (): void {
    this.isLending = false
  }

  /**
   * Requests loans from peers for what a round of starts lacked.
   *
   * @param queuesShortOfPlan - queues whose next task needed more plan units than were available
   * @param findTargets - lists the targets whose slots may be borrowed; called only when slots
   *   are requested
   */
  requestLoans (queuesShortOfPlan: ReadonlySet<CustomerQueue>, areSlotsShort: boolean, findTargets: () => readonly TargetState[], now: number): void {
    const shortages: Shortage[] = []
    for (const queue of queuesShortOfPlan) {
      const resource = formatPlanResource(queue.customer)
      if (!this.requestPlanner.canRequest(resource, now)) continue
      const queued = queue.getQueuedDemand()
      const needed = clampResources(subtractResources(queued, this.computeAvailable(queue, now)), queued)
      if (!isZero(needed)) shortages.push({ kind: 'plan', resource, customer: queue.customer, needed })
    }
    if (areSlotsShort && this.dependencies.sharesCredits && this.requestPlanner.canRequest('slots', now)) {
      const needed = this.countNeededSlots(now)
      if (needed > 0) shortages.push({ kind: 'slots', needed, resources: findTargets().map(target => formatSlotResource(target.id)) })
    }
    if (shortages.length === 0) return
    const requestsByPeer = this.requestPlanner.planRequests(shortages, {
      computeShare: (peer, resource) => this.computeShareOf(peer, resource),
      listBorrowers: resource => this.lendingPolicy.listBorrowers(resource, now)
    }, now)
    for (const [peer, requests] of requestsByPeer) this.sendRequests(peer, requests, false, now)
  }

  /** Renews loans that are in use and returns idle ones. */
  renewAndReturnLoans (now: number): void {
    this.lendingPolicy.removeExpired(now)
    const renewals = new Map<string, LoanRequest[]>()
    for (const ledger of this.listLedgers()) {
      ledger.removeExpired(now)
      for (const [peer, requests] of ledger.createDueRenewals(now)) renewals.set(peer, [...renewals.get(peer) ?? [], ...requests])
    }
    for (const [peer, requests] of renewals) this.sendRequests(peer, requests, true, now)
    this.returnIdleLoans(now, planLoanIdleMs, creditLoanIdleMs)
  }

  /** Returns unused units to lenders that asked for them back. The dispatcher calls it before each round. */
  returnRecalledUnits (now: number): void {
    for (const [key, { peer, resource, until }] of this.recalls) {
      if (now >= until || !this.returnUnusedUnits(peer, resource, now)) this.recalls.delete(key)
    }
  }

  /** Returns every loan that is not in use. */
  returnAll (now: number): void {
    this.returnIdleLoans(now, 0, 0)
  }

  /** Applies a reply. Tasks that waited for it may be able to start afterwards. */
  applyReply (reply: LoanReply, now: number): void {
    const { peer, requests, grants, sentAt } = reply
    const granted = new Set<string>()
    requests.forEach((request, i) => {
      const grant = grants?.[i]
      if (grant === undefined) return
      if (!isZero(grant.amount)) {
        granted.add(request.loanId)
        // A lender that grants a new loan no longer needs its units back.
        if (!reply.isRenewal) this.recalls.delete(`${peer} ${request.resource}`)
      }
      const customer = parsePlanResource(request.resource)
      if (customer !== undefined) {
        this.dependencies.shares.ledger.applyGrant(peer, request, grant, sentAt)
        this.dependencies.queue.clearPlanBlocks(customer)
      } else {
        this.dependencies.credits.ledger.applyGrant(peer, request, grant, sentAt)
        this.updateFreeCredits(request.resource, now)
      }
    })
    if (reply.isRenewal) return
    this.requestPlanner.recordReply(peer, requests, granted, now)
    this.dependencies.observer.onBorrowAnswered(peer, requests.length, granted.size)
  }

  /**
   * Grants or refuses the loan requests of a peer. A request also recalls the loans that this
   * seat holds from that peer: their unused units are returned.
   *
   * @returns a grant for each request, in the same order
   */
  grantLoans (peer: string, requests: readonly LoanRequest[], now: number): readonly LoanGrant[] {
    const grants = requests.map((request) => {
      // A peer that requests units has work for which its own units do not suffice.
      if (this.returnUnusedUnits(peer, request.resource, now)) {
        this.recalls.set(`${peer} ${request.resource}`, { peer, resource: request.resource, until: now + recallDurationMs })
      }
      const customer = parsePlanResource(request.resource)
      if (customer !== undefined) return this.grantPlanUnits(peer, request, customer, now)
      const targetId = parseSlotResource(request.resource)
      return targetId === undefined ? refuseLoan(request) : this.grantSlotCredits(peer, request, targetId, now)
    })
    this.lendingPolicy.recordGrants(peer, requests, grants, now)
    return grants
  }

  applyReturn (peer: string, loanIds: readonly string[], now: number): void {
    this.lendingPolicy.recordReturns(loanIds)
    for (const ledger of this.listLedgers()) ledger.applyReturn(peer, loanIds, now)
    for (const target of this.dependencies.targets.list()) this.dependencies.credits.updateFreeCredits(target, now)
  }

  private grantPlanUnits (peer: string, request: LoanRequest, customer: string, now: number): LoanGrant {
    if (!this.isLending) return refuseLoan(request)
    const queue = this.dependencies.queue.get(customer)
    const yieldsUnits = queue !== undefined && this.shouldYieldUnits(queue, peer, now)
    if (yieldsUnits) {
      this.requestPlanner.suspendRequests(request.resource, yieldPauseMs, now)
      this.returnIdleLoans(now, 0, creditLoanIdleMs)
    }
    const ownDemand = queue === undefined || yieldsUnits ? zeroResources : queue.getQueuedDemand()
    const owned = this.computeShareOf(this.dependencies.self, request.resource)
    return this.dependencies.shares.ledger.grant(peer, [request], now, this.dependencies.isShareUsable(),
      (_, available) => this.lendingPolicy.computeLendableAmount(peer, request, available, ownDemand, owned, now))[0]!
  }

  /**
   * Tells whether this seat yields all its units of a plan to a peer. Otherwise two seats that
   * each hold a part of the units that one task needs would wait for each other forever. Of the
   * two, the seat whose name sorts first proceeds.
   */
  private shouldYieldUnits (queue: CustomerQueue, peer: string, now: number): boolean {
    return queue.blockedByShareSince !== undefined && now - queue.blockedByShareSince >= blockedQueueMs && peer < this.dependencies.self
  }

  private grantSlotCredits (peer: string, request: LoanRequest, targetId: string, now: number): LoanGrant {
    const target = this.dependencies.targets.get(targetId)
    if (!this.dependencies.sharesCredits || !this.isLending || target === undefined) return refuseLoan(request)
    const ownDemand = { ...zeroResources, parallel: this.countNeededSlots(now) }
    const owned = this.computeShareOf(this.dependencies.self, request.resource)
    const grant = this.dependencies.credits.ledger.grant(peer, [request], now, true,
      (_, available) => this.lendingPolicy.computeLendableAmount(peer, request, available, ownDemand, owned, now))[0]!
    this.dependencies.credits.updateFreeCredits(target, now)
    return grant
  }

  private sendRequests (peer: string, requests: readonly LoanRequest[], isRenewal: boolean, sentAt: number): void {
    const postReply = (grants: readonly LoanGrant[] | undefined): void => { this.dependencies.postReply({ peer, requests, grants, sentAt, isRenewal }) }
    this.dependencies.channel.borrow(peer, requests).then(postReply, () => { postReply(undefined) })
  }

  private returnIdleLoans (now: number, planIdleMs: number, creditIdleMs: number): void {
    const idle = [this.dependencies.shares.ledger.closeIdleLoans(now, planIdleMs), this.dependencies.credits.ledger.closeIdleLoans(now, creditIdleMs)]
    const returned = new Map<string, string[]>()
    for (const loans of idle) for (const [peer, ids] of loans) returned.set(peer, [...returned.get(peer) ?? [], ...ids])
    for (const [peer, ids] of returned) this.dependencies.channel.returnLoans(peer, ids)
  }

  private updateFreeCredits (resource: ResourceName, now: number): void {
    const target = this.dependencies.targets.get(parseSlotResource(resource) ?? '')
    if (target !== undefined) this.dependencies.credits.updateFreeCredits(target, now)
  }

  private computeAvailable (queue: CustomerQueue, now: number): ResourceVector {
    return this.dependencies.shares.computeAvailable(queue.customer, now + startWindowMs + maxTaskLeaseMs, now, this.dependencies.isShareUsable())
  }

  /** Counts the slots that queued tasks could use with the plan units that are available now. */
  private countNeededSlots (now: number): number {
    let count = 0
    for (const queue of this.dependencies.queue.listStartable()) count += Math.min(queue.queued, this.computeAvailable(queue, now).parallel)
    return count
  }

  private computeShareOf (peer: string, resource: ResourceName): ResourceVector {
    const customer = parsePlanResource(resource)
    if (customer !== undefined) {
      const seat = parseSeat(peer)
      return seat === undefined ? zeroResources : this.dependencies.shares.computeShare(customer, seat)
    }
    const target = this.dependencies.targets.get(parseSlotResource(resource) ?? '')
    return target === undefined ? zeroResources : { ...zeroResources, parallel: this.dependencies.credits.computeOwnedSlots(target, peer) }
  }

  /**
   * Returns the unused units of a lender's loans of a resource, and reduces those that are
   * partly in use.
   *
   * @returns true when this seat holds loans of the resource from the lender
   */
  private returnUnusedUnits (lender: string, resource: ResourceName, now: number): boolean {
    const ledger = parsePlanResource(resource) === undefined ? this.dependencies.credits.ledger : this.dependencies.shares.ledger
    const unused = ledger.giveUpUnusedUnits(lender, resource, now)
    if (unused === undefined) return false
    const { returned, reduced } = unused
    if (returned.length > 0) this.dependencies.channel.returnLoans(lender, returned)
    if (reduced.length > 0) this.sendRequests(lender, reduced, true, now)
    if (returned.length > 0 || reduced.length > 0) this.updateFreeCredits(resource, now)
    return true
  }

  private listLedgers (): readonly ResourceLedger[] {
    return [this.dependencies.shares.ledger, this.dependencies.credits.ledger]
  }
}

function refuseLoan (request: LoanRequest): LoanGrant {
  return { loanId: request.loanId, amount: zeroResources, termMs: 0 }
}
