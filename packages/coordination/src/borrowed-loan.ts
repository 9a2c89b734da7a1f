import { addResources, clampResources, isWithin, isZero, resourceDimensions, type ResourceVector, subtractResources, zeroResources } from '@sesamereel/state'
import { type LoanRequest, type ResourceName } from './loans.js'

/** Interval between two renewals of a loan that is in use, in milliseconds. */
const renewalIntervalMs = 1_000

/** The borrower's record of one loan. Times are monotonic milliseconds. */
export class BorrowedLoan {
  readonly loanId: string
  readonly lender: string
  readonly resource: ResourceName
  private amount: ResourceVector
  private usableUntil: number
  private inUse: ResourceVector = zeroResources
  /** Largest amount in use since the latest renewal, and in the interval before that renewal. */
  private peakInUse: ResourceVector = zeroResources
  private previousPeakInUse: ResourceVector = zeroResources
  private lastRenewalAt: number
  private lastUsedAt: number
  private releasedSinceIdleCheck = false

  constructor (lender: string, request: LoanRequest, amount: ResourceVector, sentAt: number, usableUntil: number) {
    this.loanId = request.loanId
    this.lender = lender
    this.resource = request.resource
    this.amount = amount
    this.usableUntil = usableUntil
    this.lastRenewalAt = sentAt
    this.lastUsedAt = sentAt
  }

  /**
   * Applies the reply to a renewal. The amount never rises, because a reply that arrives out of
   * order must not restore units that a later request gave up.
   *
   * @param amount - amount that the lender granted; zero when it refused
   * @param usableUntil - end of the loan according to this reply; ignored when the amount is
   *   zero
   */
  applyRenewal (amount: ResourceVector, usableUntil: number): void {
    this.amount = clampResources(amount, this.amount)
    if (!isZero(amount)) this.usableUntil = Math.max(this.usableUntil, usableUntil)
  }

  /**
   * Computes the amount that can be reserved for a start.
   *
   * @param until - time up to which the units are needed
   * @returns the free amount; zero when the loan ends before `until`
   */
  computeFree (until: number): ResourceVector {
    if (until > this.usableUntil) return zeroResources
    return clampResources(subtractResources(this.amount, this.inUse), this.amount)
  }

  /** Reserves units that `computeFree` reported as free. */
  reserve (amount: ResourceVector, now: number): void {
    this.inUse = addResources(this.inUse, amount)
    this.peakInUse = computeMaximum(this.peakInUse, this.inUse)
    this.lastUsedAt = now
  }

  /** Returns reserved units to the loan. */
  release (amount: ResourceVector): void {
    this.inUse = subtractResources(this.inUse, amount)
    this.releasedSinceIdleCheck = true
  }

  /** Tells whether the loan has ended, so that no start may use it. */
  isExpired (now: number): boolean {
    return now >= this.usableUntil
  }

  /**
   * Tells whether the loan has been unused for at least `idleMs` milliseconds. Each call while
   * units are in use, and the first call after a release, restarts the idle time at `now`.
   */
  isIdle (now: number, idleMs: number): boolean {
    if (!isZero(this.inUse) || this.releasedSinceIdleCheck) {
      this.lastUsedAt = now
      this.releasedSinceIdleCheck = false
    }
    return isZero(this.inUse) && now - this.lastUsedAt >= idleMs
  }

  /**
   * Creates the request for the next renewal. It asks for the largest use of the two latest
   * intervals and gives up the rest at once, because the lender may lend the rest to others as
   * soon as it has the request.
   *
   * @returns the request, or undefined when none is due, the loan has expired or it was not used
   */
  createRenewal (now: number): LoanRequest | undefined {
    if (this.isExpired(now) || now - this.lastRenewalAt < renewalIntervalMs) return undefined
    const needed = computeMaximum(this.peakInUse, this.previousPeakInUse)
    this.lastRenewalAt = now
    this.previousPeakInUse = this.peakInUse
    this.peakInUse = this.inUse
    if (isZero(needed)) return undefined
    this.amount = clampResources(this.amount, needed)
    return { loanId: this.loanId, resource: this.resource, amount: needed }
  }

  /**
   * Gives up the units that are not in use, at once. After the lender has cut a renewal, more
   * units may be in use than the loan still has; the request names all units in use, because the
   * lender takes back the rest.
   *
   * @returns the renewal that informs the lender, or undefined when the loan has expired,
   *   nothing is in use or no unit is unused
   */
  createReduction (now: number): LoanRequest | undefined {
    if (this.isExpired(now) || isZero(this.inUse) || isWithin(this.amount, this.inUse)) return undefined
    this.amount = clampResources(this.amount, this.inUse)
    this.lastRenewalAt = now
    this.peakInUse = this.inUse
    this.previousPeakInUse = this.inUse
    return { loanId: this.loanId, resource: this.resource, amount: this.inUse }
  }
}

function computeMaximum (a: ResourceVector, b: ResourceVector): ResourceVector {
  const [processors, memoryMb, accelerators, parallel] = resourceDimensions.map((dimension) => Math.max(a[dimension], b[dimension]))
  return { processors: processors!, memoryMb: memoryMb!, accelerators: accelerators!, parallel: parallel! }
}
