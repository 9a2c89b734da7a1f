import { clampResources, type ResourceVector, subtractResources, zeroResources } from '@sesamereel/state'
import { type LoanGrant, type LoanRequest, type ResourceName } from './loans.js'

/** Time in milliseconds for which a borrower counts as waiting after a request that was not granted in full. */
const waitingTimeMs = 2_000

interface GrantedLoan {
  readonly borrower: string
  readonly resource: ResourceName
  endsAt: number
}

/**
 * Decides how much a seat lends. The seat's own queued demand comes first, so it keeps at least
 * its fair part. While another borrower waits, a borrower that already holds a loan gets no
 * further loan, and its renewals are cut to an equal part of the share.
 */
export class LendingPolicy {
  private readonly loans = new Map<string, GrantedLoan>()
  /** Waiting borrowers by resource, each with the time until which it counts as waiting. */
  private readonly waitingBorrowers = new Map<ResourceName, Map<string, number>>()

  /**
   * Computes the largest amount to lend for one request.
   *
   * @param available - amount that the ledger could lend
   * @param ownDemand - demand of the own queue for the resource
   * @param owned - the own share
   */
  computeLendableAmount (borrower: string, request: LoanRequest, available: ResourceVector, ownDemand: ResourceVector, owned: ResourceVector, now: number): ResourceVector {
    const spare = clampResources(subtractResources(available, ownDemand), available)
    const otherWaiting = this.countOtherWaiting(borrower, request.resource, now)
    if (otherWaiting === 0) return spare
    if (this.loans.has(request.loanId)) return clampResources(spare, divideRoundingUp(owned, otherWaiting + 1))
    return this.isBorrowing(borrower, request.resource, now) ? zeroResources : spare
  }

  /**
   * Records the loans granted to a borrower. A borrower counts as waiting when its latest
   * request for a new loan was not granted in full; renewals do not change that.
   *
   * @param grants - one grant for each request, in the same order
   */
  recordGrants (borrower: string, requests: readonly LoanRequest[], grants: readonly LoanGrant[], now: number): void {
    requests.forEach((request, i) => {
      const grant = grants[i]!
      const isMet = isCovered(request.amount, grant.amount)
      const isRenewal = this.loans.has(request.loanId)
      if (!isRenewal) this.updateWaiting(borrower, request.resource, isMet, now)
      if (isAnyPositive(grant.amount)) this.loans.set(request.loanId, { borrower, resource: request.resource, endsAt: now + grant.termMs })
    })
  }

  recordReturns (loanIds: readonly string[]): void {
    for (const loanId of loanIds) this.loans.delete(loanId)
  }

  /** @returns the borrowers that hold loans of a resource now */
  listBorrowers (resource: ResourceName, now: number): readonly string[] {
    const borrowers = new Set<string>()
    for (const loan of this.loans.values()) if (loan.resource === resource && now < loan.endsAt) borrowers.add(loan.borrower)
    return [...borrowers]
  }

  removeExpired (now: number): void {
    for (const [loanId, loan] of this.loans) if (now >= loan.endsAt) this.loans.delete(loanId)
    for (const [resource, borrowers] of this.waitingBorrowers) {
      for (const [borrower, until] of borrowers) if (now >= until) borrowers.delete(borrower)
      if (borrowers.size === 0) this.waitingBorrowers.delete(resource)
    }
  }

  private updateWaiting (borrower: string, resource: ResourceName, isMet: boolean, now: number): void {
    if (isMet) {
      this.waitingBorrowers.get(resource)?.delete(borrower)
      return
    }
    const borrowers = this.waitingBorrowers.get(resource) ?? new Map<string, number>()
    borrowers.set(borrower, now + waitingTimeMs)
    this.waitingBorrowers.set(resource, borrowers)
  }

  private countOtherWaiting (borrower: string, resource: ResourceName, now: number): number {
    let count = 0
    for (const [other, until] of this.waitingBorrowers.get(resource) ?? []) if (other !== borrower && now < until) count++
    return count
  }

  private isBorrowing (borrower: string, resource: ResourceName, now: number): boolean {
    for (const loan of this.loans.values()) {
      if (loan.borrower === borrower && loan.resource === resource && now < loan.endsAt) return true
    }
    return false
  }
}

function divideRoundingUp (a: ResourceVector, parts: number): ResourceVector {
  return {
    processors: Math.ceil(a.processors / parts),
    memoryMb: Math.ceil(a.memoryMb / parts),
    accelerators: Math.ceil(a.accelerators / parts),
    parallel: Math.ceil(a.parallel / parts)
  }
}

function isAnyPositive (a: ResourceVector): boolean {
  return a.processors > 0 || a.memoryMb > 0 || a.accelerators > 0 || a.parallel > 0
}

function isCovered (requested: ResourceVector, granted: ResourceVector): boolean {
  return granted.processors >= requested.processors && granted.memoryMb >= requested.memoryMb &&
    granted.accelerators >= requested.accelerators && granted.parallel >= requested.parallel
}
