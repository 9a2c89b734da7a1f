import { clampResources, type ResourceVector, subtractResources, zeroResources } from '@sesamereel/state'
import { type ResourceName, type LoanGrant, type LoanRequest } from './loans.js'

/** A borrower whose request was not met counts as waiting for this long in milliseconds. */
const unmetMs = 2_000

interface KnownLoan {
  readonly borrower: string
  readonly resource: ResourceName
  until: number
}

/**
 * Decides how much a seat lends. Its own queued demand comes first, so it keeps at least its
 * fair part. Between borrowers, one that holds a loan gets no more while another waits, and its
 * renewals are cut to an equal part.
 */
export class LendingPolicy {
  private readonly loans = new Map<string, KnownLoan>()
  /** For each resource, the borrowers that wait and until when they count. */
  private readonly unmet = new Map<ResourceName, Map<string, number>>()

  /**
   * Computes the most to lend for one request.
   *
   * @param available - what the ledger could lend
   * @param ownDemand - what the own queue needs of the resource
   * @param owned - the own share
   */
  computeLendableAmount (borrower: string, request: LoanRequest, available: ResourceVector, ownDemand: ResourceVector, owned: ResourceVector, now: number): ResourceVector {
    const spare = clampResources(subtractResources(available, ownDemand), available)
    const waiting = this.countOtherWaiting(borrower, request.resource, now)
    if (waiting === 0) return spare
    if (this.loans.has(request.loanId)) return clampResources(spare, splitUp(owned, waiting + 1))
    return this.isBorrowing(borrower, request.resource, now) ? zeroResources : spare
  }

  /** Records what was granted to a borrower. */
  recordGrants (borrower: string, requests: readonly LoanRequest[], grants: readonly LoanGrant[], now: number): void {
    requests.forEach((request, i) => {
      const grant = grants[i]!
      const met = isCovered(request.amount, grant.amount)
      const isRenewal = this.loans.has(request.loanId)
      if (!isRenewal) this.noteWaiting(borrower, request.resource, met, now)
      if (isAnyPositive(grant.amount)) this.loans.set(request.loanId, { borrower, resource: request.resource, until: now + grant.termMs })
    })
  }

  recordReturns (loanIds: readonly string[]): void {
    for (const loanId of loanIds) this.loans.delete(loanId)
  }

  /** @returns the borrowers that hold loans of a resource */
  listBorrowers (resource: ResourceName, now: number): readonly string[] {
    const borrowers = new Set<string>()
    for (const loan of this.loans.values()) if (loan.resource === resource && now < loan.until) borrowers.add(loan.borrower)
    return [...borrowers]
  }

  removeExpired (now: number): void {
    for (const [loanId, loan] of this.loans) if (now >= loan.until) this.loans.delete(loanId)
    for (const [resource, borrowers] of this.unmet) {
      for (const [borrower, until] of borrowers) if (now >= until) borrowers.delete(borrower)
      if (borrowers.size === 0) this.unmet.delete(resource)
    }
  }

  private noteWaiting (borrower: string, resource: ResourceName, met: boolean, now: number): void {
    if (met) {
      this.unmet.get(resource)?.delete(borrower)
      return
    }
    const borrowers = this.unmet.get(resource) ?? new Map<string, number>()
    borrowers.set(borrower, now + unmetMs)
    this.unmet.set(resource, borrowers)
  }

  private countOtherWaiting (borrower: string, resource: ResourceName, now: number): number {
    let count = 0
    for (const [other, until] of this.unmet.get(resource) ?? []) if (other !== borrower && now < until) count++
    return count
  }

  private isBorrowing (borrower: string, resource: ResourceName, now: number): boolean {
    for (const loan of this.loans.values()) {
      if (loan.borrower === borrower && loan.resource === resource && now < loan.until) return true
    }
    return false
  }
}

function splitUp (a: ResourceVector, parts: number): ResourceVector {
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

function isCovered (asked: ResourceVector, granted: ResourceVector): boolean {
  return granted.processors >= asked.processors && granted.memoryMb >= asked.memoryMb &&
    granted.accelerators >= asked.accelerators && granted.parallel >= asked.parallel
}
