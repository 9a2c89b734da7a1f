import { addResources, clampResources, isWithin, isZero, type ResourceVector, resourceDimensions, subtractResources, zeroResources } from '@sesamereel/state'
import { type ResourceName, type LoanRequest } from './loans.js'

/** Time between two renewals of a used loan in milliseconds. */
const renewIntervalMs = 1_000

/** One loan as its borrower sees it. Times are monotonic milliseconds. */
export class BorrowedLoan {
  readonly loanId: string
  readonly lender: string
  readonly resource: ResourceName
  private amount: ResourceVector
  private usableUntil: number
  private inUse: ResourceVector = zeroResources
  /** Largest use since the latest renewal, and in the interval before it. */
  private peak: ResourceVector = zeroResources
  private earlierPeak: ResourceVector = zeroResources
  private renewedAt: number
  private usedAt: number
  private wasReleased = false

  constructor (lender: string, request: LoanRequest, amount: ResourceVector, sentAt: number, usableUntil: number) {
    this.loanId = request.loanId
    this.lender = lender
    this.resource = request.resource
    this.amount = amount
    this.usableUntil = usableUntil
    this.renewedAt = sentAt
    this.usedAt = sentAt
  }

  /**
   * Applies the reply to a renewal. The amount only falls: a reply that arrives out of order
   * must not bring back units that a later request gave up.
   *
   * @param usableUntil - end that this reply allows; ignored when units are refused
   */
  extend (amount: ResourceVector, usableUntil: number): void {
    this.amount = clampResources(amount, this.amount)
    if (!isZero(amount)) this.usableUntil = Math.max(this.usableUntil, usableUntil)
  }

  /**
   * Computes what can be taken for a start.
   *
   * @param until - time up to which the units are needed
   * @returns the free amount, zero when the loan ends before `until`
   */
  computeFree (until: number): ResourceVector {
    if (until > this.usableUntil) return zeroResources
    return clampResources(subtractResources(this.amount, this.inUse), this.amount)
  }

  /** Takes units that `computeFree` offered. */
  reserve (amount: ResourceVector, now: number): void {
    this.inUse = addResources(this.inUse, amount)
    this.peak = raiseResources(this.peak, this.inUse)
    this.usedAt = now
  }

  /** Gives units back to the loan. */
  release (amount: ResourceVector): void {
    this.inUse = subtractResources(this.inUse, amount)
    this.wasReleased = true
  }

  /** Tells whether nothing can start on the loan any more. */
  isExpired (now: number): boolean {
    return now >= this.usableUntil
  }

  /**
   * Tells whether the loan has not been used for a while. A release counts as a use at the
   * time when this is asked for the first time after it.
   */
  isIdle (now: number, idleMs: number): boolean {
    if (!isZero(this.inUse) || this.wasReleased) {
      this.usedAt = now
      this.wasReleased = false
    }
    return isZero(this.inUse) && now - this.usedAt >= idleMs
  }

  /**
   * Creates the request for the next renewal. It asks for the largest use of the two latest
   * intervals and gives up the rest at once, because the lender may lend that to others as
   * soon as it has the request.
   *
   * @returns the request, or undefined when none is due or the loan is unused
   */
  createRenewal (now: number): LoanRequest | undefined {
    if (this.isExpired(now) || now - this.renewedAt < renewIntervalMs) return undefined
    const needed = raiseResources(this.peak, this.earlierPeak)
    this.renewedAt = now
    this.earlierPeak = this.peak
    this.peak = this.inUse
    if (isZero(needed)) return undefined
    this.amount = clampResources(this.amount, needed)
    return { loanId: this.loanId, resource: this.resource, amount: needed }
  }

  /**
   * Gives up what is not in use, at once. After a cut renewal more may be in use than the loan
   * still has; the request names all that is in use, since the lender takes the rest back.
   *
   * @returns the renewal that tells the lender, or undefined when all or nothing is in use
   */
  createReduction (now: number): LoanRequest | undefined {
    if (this.isExpired(now) || isZero(this.inUse) || isWithin(this.amount, this.inUse)) return undefined
    this.amount = clampResources(this.amount, this.inUse)
    this.renewedAt = now
    this.peak = this.inUse
    this.earlierPeak = this.inUse
    return { loanId: this.loanId, resource: this.resource, amount: this.inUse }
  }
}

function raiseResources (a: ResourceVector, floor: ResourceVector): ResourceVector {
  const [processors, memoryMb, accelerators, parallel] = resourceDimensions.map((dimension) => Math.max(a[dimension], floor[dimension]))
  return { processors: processors!, memoryMb: memoryMb!, accelerators: accelerators!, parallel: parallel! }
}
