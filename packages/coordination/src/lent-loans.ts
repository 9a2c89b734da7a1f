import { addResources, clampResources, isWithin, isZero, type ResourceVector, zeroResources } from '@sesamereel/state'

/** Part of a loan that ends at its own time; later steps are smaller and end later. */
interface LentStep {
  readonly amount: ResourceVector
  /** End on the lender's clock in milliseconds. */
  readonly endsAt: number
}

interface LentLoan {
  readonly borrower: string
  steps: readonly LentStep[]
}

/** The loans of one resource that a lender has granted. Times are monotonic milliseconds. */
export class LentLoans {
  private readonly loans = new Map<string, LentLoan>()
  private total: ResourceVector = zeroResources
  /** The total is recomputed at this time; a grant or a return sets it back. */
  private totalValidUntil = Infinity

  /**
   * Sums what is lent. A loan whose renewal was granted in part counts in full until the end
   * that the borrower was promised before.
   *
   * @param now - current time
   * @returns the amount that the lender must not use
   */
  sum (now: number): ResourceVector {
    if (now >= this.totalValidUntil) {
      this.sweep(now)
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
   * Finds what a loan holds now.
   *
   * @returns the amount that counts as lent, or undefined when the borrower has no such loan
   */
  find (loanId: string, borrower: string, now: number): ResourceVector | undefined {
    const loan = this.loans.get(loanId)
    return loan?.borrower === borrower ? loan.steps.find((step) => step.endsAt > now)?.amount : undefined
  }

  /**
   * Tells whether an id is in use by another borrower.
   *
   * @returns true when a loan with the id was granted to somebody else
   */
  isTaken (loanId: string, borrower: string): boolean {
    const loan = this.loans.get(loanId)
    return loan !== undefined && loan.borrower !== borrower
  }

  /**
   * Finds the amount that the latest grant of a loan set, which a renewal must not exceed.
   *
   * @returns the amount, or undefined when the loan has ended or is not known
   */
  findRenewable (loanId: string, now: number): ResourceVector | undefined {
    const step = this.loans.get(loanId)?.steps.at(-1)
    return step !== undefined && step.endsAt > now ? step.amount : undefined
  }

  /**
   * Records a grant or a renewal.
   *
   * @param requested - the borrower uses at most this much from the time of the request on, so
   *   that earlier steps are lowered to it
   * @param granted - amount until `endsAt`
   * @param endsAt - end on the lender's clock
   */
  record (loanId: string, borrower: string, requested: ResourceVector, granted: ResourceVector, now: number, endsAt: number): void {
    const earlier = (this.loans.get(loanId)?.steps ?? [])
      .filter((step) => step.endsAt > now)
      .map((step) => ({ amount: clampResources(step.amount, requested), endsAt: step.endsAt }))
    const added = isZero(granted) ? [] : [{ amount: granted, endsAt }]
    // An earlier step that is no larger than the new one never decides the sum.
    const steps = [...earlier.filter((step) => isZero(granted) || !isWithin(step.amount, granted)), ...added]
    if (steps.length === 0) this.loans.delete(loanId)
    else this.loans.set(loanId, { borrower, steps })
    this.totalValidUntil = -Infinity
  }

  /**
   * Removes a loan that its borrower returned.
   *
   * @returns true when the borrower had the loan
   */
  remove (loanId: string, borrower: string): boolean {
    if (this.loans.get(loanId)?.borrower !== borrower) return false
    this.totalValidUntil = -Infinity
    return this.loans.delete(loanId)
  }

  /** Drops what has ended. */
  sweep (now: number): void {
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
