import { addResources, clampResources, isZero, type ResourceVector, subtractResources, zeroResources } from '@sesamereel/state'
import { BorrowedLoan } from './borrowed-loan.js'
import { LentLoans } from './lent-loans.js'
import { type LoanGrant, type LoanRequest, type ResourceName } from './loans.js'

/** Time rules for the loans of a ledger. */
export interface ResourceLedgerOptions {
  /** Term of a loan in milliseconds, which the lender counts from the grant. */
  readonly termMs: number
  /** Time in milliseconds that a borrower subtracts from the term, because clocks run at different rates. */
  readonly clockDriftMarginMs: number
  /** Whether work on a loan must have ended before the loan ends; false for slot credits. */
  readonly requiresEndWithinTerm: boolean
}

/** Units reserved for one start, until `ResourceLedger.release` is called. */
export interface Reservation {
  readonly resource: ResourceName
  readonly amount: ResourceVector
}

interface HeldReservation extends Reservation {
  readonly ownPart: ResourceVector
  readonly loanParts: ReadonlyArray<{ readonly loan: BorrowedLoan, readonly amount: ResourceVector }>
}

/** State of one resource: own share, use and loans in both directions. */
class ResourceAccount {
  ownShare: ResourceVector = zeroResources
  ownInUse: ResourceVector = zeroResources
  inUse: ResourceVector = zeroResources
  readonly lent = new LentLoans()
  readonly borrowed = new Map<string, BorrowedLoan>()

  /** Computes the free part of the own share; zero while use and loans to others exceed the share. */
  computeFree (now: number): ResourceVector {
    return clampResources(subtractResources(subtractResources(this.ownShare, this.ownInUse), this.lent.computeTotal(now)), this.ownShare)
  }

  /** Tells whether the account holds no information, so that it can be deleted. */
  get isEmpty (): boolean {
    return isZero(this.ownShare) && isZero(this.inUse) && this.lent.isEmpty && this.borrowed.size === 0
  }
}

/**
 * Accounts for the resources of one seat: what it owns, uses, lends and borrows (docs/design.md,
 * section 5). Over all seats, the amount in use of a resource never exceeds the sum of the owned
 * amounts, regardless of lost or delayed messages and crashed seats, as long as
 *
 * - each caller holds a reservation until its work has ended or `latestEnd` has passed,
 * - loan ids are unique over all incarnations,
 * - the drift between two clocks over `termMs` is less than `clockDriftMarginMs`,
 * - `ownUsable` is true only for the single holder of the seat (see `SeatGuard`).
 *
 * All times are milliseconds of the seat's own monotonic clock and do not decrease from call to
 * call. No method throws.
 */
export class ResourceLedger {
  private readonly accounts = new Map<ResourceName, ResourceAccount>()
  /**
   * Ids of borrowed loans that have ended here, with the time until which a delayed reply could
   * still extend them. Such a reply is ignored, because the lender may already have the units
   * back.
   */
  private readonly closedLoans = new Map<string, number>()
  private readonly heldReservations = new Set<Reservation>()

  constructor (private readonly options: ResourceLedgerOptions) {}

  /** Sets the own share. Units in use or lent beyond it stay counted until their use or loan ends. */
  setOwnShare (resource: ResourceName, share: ResourceVector): void {
    this.getOrCreateAccount(resource).ownShare = share
  }

  /** Sets the own share to zero. The account is deleted once nothing is in use, lent or borrowed. */
  removeResource (resource: ResourceName): void {
    const account = this.accounts.get(resource)
    if (account === undefined) return
    account.ownShare = zeroResources
    this.deleteIfEmpty(resource, account)
  }

  /**
   * Reserves units for one start, from the own share first and then from borrowed loans.
   *
   * @param latestEnd - time by which the work is certain to have ended; loans that end earlier
   *   are not used if `requiresEndWithinTerm` is set
   * @param ownUsable - whether the own share may be used now
   * @returns the reservation, or undefined when not enough is free
   */
  reserve (resource: ResourceName, amount: ResourceVector, latestEnd: number, now: number, ownUsable: boolean): Reservation | undefined {
    const account = this.accounts.get(resource)
    if (account === undefined) return undefined
    const ownPart = ownUsable ? clampResources(amount, account.computeFree(now)) : zeroResources
    let missing = subtractResources(amount, ownPart)
    const loanParts: Array<{ loan: BorrowedLoan, amount: ResourceVector }> = []
    const until = this.computeRequiredEnd(latestEnd, now)
    for (const loan of account.borrowed.values()) {
      if (isZero(missing)) break
      const part = clampResources(missing, loan.computeFree(until))
      if (isZero(part)) continue
      loanParts.push({ loan, amount: part })
      missing = subtractResources(missing, part)
    }
    if (!isZero(missing)) return undefined
    account.ownInUse = addResources(account.ownInUse, ownPart)
    account.inUse = addResources(account.inUse, amount)
    for (const part of loanParts) part.loan.reserve(part.amount, now)
    const reservation: HeldReservation = { resource, amount, ownPart, loanParts }
    this.heldReservations.add(reservation)
    return reservation
  }

  /** Releases the units of a reservation. A second call has no effect. */
  release (reservation: Reservation): void {
    if (!this.heldReservations.delete(reservation)) return
    const { resource, amount, ownPart, loanParts } = reservation as HeldReservation
    const account = this.getOrCreateAccount(resource)
    account.ownInUse = subtractResources(account.ownInUse, ownPart)
    account.inUse = subtractResources(account.inUse, amount)
    for (const part of loanParts) part.loan.release(part.amount)
  }

  /**
   * Computes the amount that `reserve` could reserve.
   *
   * @returns the free amount of the own share and the borrowed loans together
   */
  computeAvailable (resource: ResourceName, latestEnd: number, now: number, ownUsable: boolean): ResourceVector {
    const account = this.accounts.get(resource)
    if (account === undefined) return zeroResources
    const until = this.computeRequiredEnd(latestEnd, now)
    let available = ownUsable ? account.computeFree(now) : zeroResources
    for (const loan of account.borrowed.values()) available = addResources(available, loan.computeFree(until))
    return available
  }

  /** Returns the sum of all reservations that have not been released. */
  computeInUse (resource: ResourceName): ResourceVector {
    return this.accounts.get(resource)?.inUse ?? zeroResources
  }

  /** Computes the amount that counts as lent to others at `now`. */
  computeLent (resource: ResourceName, now: number): ResourceVector {
    return this.accounts.get(resource)?.lent.computeTotal(now) ?? zeroResources
  }

  /** Tells whether any units are in use or lent. A seat is released only when none are. */
  hasUnitsInUseOrLent (now: number): boolean {
    this.removeExpired(now)
    for (const account of this.accounts.values()) {
      if (!isZero(account.inUse) || !account.lent.isEmpty) return true
    }
    return false
  }

  /**
   * Grants and renews loans to a borrower. A request with a known id renews that loan and never
   * raises its amount. If a renewal is refused or cut, the earlier grant stays counted as lent
   * until its end.
   *
   * @param borrower - seat of the borrower as `DOMAIN.SEAT`
   * @param ownUsable - whether the own share may be used now; nothing is granted otherwise
   * @param computeLimit - returns the most to lend; `available` is the free part of the own
   *   share, which for a renewal includes the units of that loan
   * @returns one grant for each request, in the same order
   */
  grant (
    borrower: string, requests: readonly LoanRequest[], now: number, ownUsable: boolean,
    computeLimit: (resource: ResourceName, available: ResourceVector) => ResourceVector
  ): readonly LoanGrant[] {
    return requests.map((request) => {
      const account = this.accounts.get(request.resource)
      const amount = account === undefined ? zeroResources : this.grantLoan(account, borrower, request, now, ownUsable, computeLimit)
      return { loanId: request.loanId, amount, termMs: this.options.termMs }
    })
  }

  /** Removes loans that their borrower has returned. Ids that the borrower does not hold are ignored. */
  applyReturn (borrower: string, loanIds: readonly string[], now: number): void {
    for (const loanId of loanIds) {
      for (const account of this.accounts.values()) if (account.lent.remove(loanId, borrower)) break
    }
    this.removeExpired(now)
  }

  /**
   * Applies the reply to a loan request. A reply about a loan that has ended here is ignored.
   *
   * @param request - the request as it was sent
   * @param sentAt - time when the request was sent; the term of the loan is counted from there,
   *   because the lender may have granted it at any moment since
   */
  applyGrant (lender: string, request: LoanRequest, grant: LoanGrant, sentAt: number): void {
    if (grant.loanId !== request.loanId || this.closedLoans.has(request.loanId)) return
    const usableUntil = sentAt + Math.min(grant.termMs, this.options.termMs) - this.options.clockDriftMarginMs
    const amount = clampResources(grant.amount, request.amount)
    const account = this.getOrCreateAccount(request.resource)
    const known = account.borrowed.get(request.loanId)
    if (known !== undefined) {
      if (known.lender === lender) known.applyRenewal(amount, usableUntil)
    } else if (!isZero(amount)) {
      account.borrowed.set(request.loanId, new BorrowedLoan(lender, request, amount, sentAt, usableUntil))
    }
  }

  /**
   * Creates the renewals that are due: one each second for a loan that is in use. Each of them
   * must be sent at once, with `now` as its `sentAt`.
   *
   * @returns requests by lender
   */
  createDueRenewals (now: number): ReadonlyMap<string, readonly LoanRequest[]> {
    const renewals = new Map<string, LoanRequest[]>()
    for (const loan of this.listBorrowed()) {
      const request = loan.createRenewal(now)
      if (request !== undefined) appendTo(renewals, loan.lender, request)
    }
    return renewals
  }

  /**
   * Closes borrowed loans that have been idle.
   *
   * @param idleMs - time without use in milliseconds; 0 closes every loan that is unused now
   * @returns ids of the closed loans by lender, which the caller returns to the lenders
   */
  closeIdleLoans (now: number, idleMs: number): ReadonlyMap<string, readonly string[]> {
    const returned = new Map<string, string[]>()
    for (const loan of this.listBorrowed()) {
      if (!loan.isIdle(now, idleMs)) continue
      appendTo(returned, loan.lender, loan.loanId)
      this.closeLoan(loan, now)
    }
    return returned
  }

  /**
   * Gives up the unused units of all loans of a resource from a lender.
   *
   * @returns ids of the loans to return, and the renewals for the reduced loans, which must be
   *   sent at once; undefined when the seat has no loan of the resource from the lender
   */
  giveUpUnusedUnits (lender: string, resource: ResourceName, now: number): { returned: readonly string[], reduced: readonly LoanRequest[] } | undefined {
    const loans = [...this.accounts.get(resource)?.borrowed.values() ?? []].filter((loan) => loan.lender === lender)
    if (loans.length === 0) return undefined
    const unused = loans.filter((loan) => loan.isIdle(now, 0))
    for (const loan of unused) this.closeLoan(loan, now)
    return { returned: unused.map((loan) => loan.loanId), reduced: loans.flatMap((loan) => loan.createReduction(now) ?? []) }
  }

  /** Removes expired borrowed and lent loans, outdated loan ids and empty accounts. */
  removeExpired (now: number): void {
    for (const loan of this.listBorrowed()) if (loan.isExpired(now)) this.closeLoan(loan, now)
    for (const [loanId, until] of this.closedLoans) if (now >= until) this.closedLoans.delete(loanId)
    for (const [resource, account] of this.accounts) {
      account.lent.removeExpired(now)
      this.deleteIfEmpty(resource, account)
    }
  }

  private grantLoan (
    account: ResourceAccount, borrower: string, request: LoanRequest, now: number, ownUsable: boolean,
    computeLimit: (resource: ResourceName, available: ResourceVector) => ResourceVector
  ): ResourceVector {
    if (!ownUsable || account.lent.isHeldByOther(request.loanId, borrower)) return zeroResources
    const alreadyLent = account.lent.findLentAmount(request.loanId, borrower, now) ?? zeroResources
    const requested = clampResources(request.amount, account.lent.findLatestGrant(request.loanId, now) ?? request.amount)
    const lentToOthers = subtractResources(account.lent.computeTotal(now), alreadyLent)
    const free = subtractResources(subtractResources(account.ownShare, account.ownInUse), lentToOthers)
    const available = clampResources(free, account.ownShare)
    const amount = clampResources(clampResources(requested, computeLimit(request.resource, available)), available)
    account.lent.recordGrant(request.loanId, borrower, request.amount, amount, now, now + this.options.termMs)
    return amount
  }

  private computeRequiredEnd (latestEnd: number, now: number): number {
    return this.options.requiresEndWithinTerm ? latestEnd : now
  }

  private * listBorrowed (): Iterable<BorrowedLoan> {
    for (const account of this.accounts.values()) yield * account.borrowed.values()
  }

  private closeLoan (loan: BorrowedLoan, now: number): void {
    this.accounts.get(loan.resource)?.borrowed.delete(loan.loanId)
    this.closedLoans.set(loan.loanId, now + this.options.termMs)
  }

  private getOrCreateAccount (resource: ResourceName): ResourceAccount {
    let account = this.accounts.get(resource)
    if (account === undefined) this.accounts.set(resource, account = new ResourceAccount())
    return account
  }

  private deleteIfEmpty (resource: ResourceName, account: ResourceAccount): void {
    if (account.isEmpty) this.accounts.delete(resource)
  }
}

function appendTo<T> (lists: Map<string, T[]>, key: string, item: T): void {
  const list = lists.get(key)
  if (list === undefined) lists.set(key, [item])
  else list.push(item)
}
