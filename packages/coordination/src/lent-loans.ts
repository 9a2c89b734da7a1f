import { addResources, clampResources, isWithin, isZero, type ResourceVector, zeroResources } from '@sesamereel/state'

/** Amount that stays lent until an end of its own; later steps of a loan are smaller and end later. */
interface LentStep {
  readonly amount: ResourceVector
  /** End in milliseconds of the lender's clock. */
  readonly endsAt: number
}

interface LentLoan {
  readonly borrower: string
  steps: readonly LentStep[]
}

/** Loans of one resource that a lender has granted. Times are monotonic milliseconds. */
export class LentLoans {
  private readonly loans = new Map<string, LentLoan>()
  private total: ResourceVector = zeroResources
  /** Time from which the total must be recomputed; a grant or a return sets it to -Infinity. */
  private totalValidUntil = Infinity

  /**
   * Computes the total amount that is lent. A loan whose renewal was granted only in part counts
   * in full until the end that the borrower was promised before.
   *
   * @returns the amount that the lender must not use
   */
  computeTotal (now: number): ResourceVector {
    if (now >= this.totalValidUntil) {
      this.removeExpired(now)
      this.total = zeroResources
      this.totalValidUntil = Infinity
      for (const { steps: [first] } of this.loans.values()) {
        this.total = addResources(this.total, first!.amount)
        this.totalValidUntil = Math.min(this.totalValidUntil, first!.endsAt)
      }
    }
    return this.total
  }

  /**
   * Finds the amount that counts as lent under a loan now.
   *
   * @returns the amount, or undefined when the borrower has no such loan
   */
  findLentAmount (loanId: string, borrower: string, now: number): ResourceVector | undefined {
    const loan = this.loans.get(loanId)
    return loan?.borrower === borrower ? loan.steps.find((step) => step.endsAt > now)?.amount : undefined
  }

  /** Tells whether a loan with the id was granted to another borrower. */
  isHeldByOther (loanId: string, borrower: string): boolean {
    const loan = this.loans.get(loanId)
    return loan !== undefined && loan.borrower !== borrower
  }

  /**
   * Finds the amount of the latest grant of a loan, which a renewal must not exceed.
   *
   * @returns the amount, or undefined when that grant has ended or the loan is not known
   */
  findLatestGrant (loanId: string, now: number): ResourceVector | undefined {
    const step = this.loans.get(loanId)?.steps.at(-1)
    return step !== undefined && step.endsAt > now ? step.amount : undefined
  }

  /**
   * Records a grant or a renewal.
   *
   * @param requested - amount that the borrower uses at most from the time of the request on;
   *   earlier steps are lowered to it
   * @param granted - amount that is lent until `endsAt`; zero when the request was refused
   * @param endsAt - end on the lender's clock
   */
  recordGrant (loanId: string, borrower: string, requested: ResourceVector, granted: ResourceVector, now: number, endsAt: number): void {
    const earlier = (this.loans.get(loanId)?.steps ?? [])
      .filter((step) => step.endsAt > now)
      .map((step) => ({ amount: clampResources(step.amount, requested), endsAt: step.endsAt }))
    const added = isZero(granted) ? [] : [{ amount: granted, endsAt }]
    // An earlier step that is no larger than the new one ends earlier, so it never affects the sum.
    const steps = [...earlier.filter((step) => isZero(granted) || !isWithin(step.amount, granted)), ...added]
    if (steps.length === 0) this.loans.delete(loanId)
    else this.loans.set(loanId, { borrower, steps })
    this.totalValidUntil = -Infinity
  }

  /**
   * Removes a loan that its borrower returned.
   *
   * @returns true when the borrower held the loan
   */
  remove (loanId: string, borrower: string): boolean {
    if (this.loans.get(loanId)?.borrower !== borrower) return false
    this.totalValidUntil = -Infinity
    return this.loans.delete(loanId)
  }

  /** Removes steps and loans that have ended. */
  removeExpired (now: number): void {
    for (const [loanId, loan] of this.loans) {
      if (loan.steps[0]!.endsAt > now) continue
      loan.steps = loan.steps.filter((step) => step.endsAt > now)
      if (loan.steps.length === 0) this.loans.delete(loanId)
    }
  }

  /** Tells whether no loan is recorded. */
  get isEmpty (): boolean {
    return this.loans.size === 0
  }
}
