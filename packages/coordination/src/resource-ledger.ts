import { addResources, clampResources, isZero, type ResourceVector, subtractResources, zeroResources } from '@sesamereel/state'
import { BorrowedLoan } from './borrowed-loan.js'
import { LentLoans } from './lent-loans.js'
import { type ResourceName, type LoanGrant, type LoanRequest } from './loans.js'

/** How a ledger counts the time of its loans. */
export interface ResourceLedgerOptions {
  /** Term of a loan in milliseconds, counted by the lender from the grant. */
  readonly termMs: number
  /** What a borrower subtracts from the term, in milliseconds, for clocks that run at different rates. */
  readonly clockDriftMarginMs: number
  /** Whether a start on a loan must have ended before the loan ends; false for slot credits. */
  readonly requiresEndWithinTerm: boolean
}

/** Units held for one start; given back with `LeaseLedger.release`. */
export interface Reservation {
  readonly resource: ResourceName
  readonly amount: ResourceVector
}

interface HeldReservation extends Reservation {
  readonly own: ResourceVector
  readonly loans: ReadonlyArray<{ readonly loan: BorrowedLoan, readonly amount: ResourceVector }>
}

/** What a ledger knows about one resource. */
class Account {
  owned: ResourceVector = zeroResources
  ownInUse: ResourceVector = zeroResources
  inUse: ResourceVector = zeroResources
  readonly lent = new LentLoans()
  readonly borrowed = new Map<string, BorrowedLoan>()

  /** Computes the free part of the own share; zero while more is used and lent than owned. */
  computeFree (now: number): ResourceVector {
    return clampResources(subtractResources(subtractResources(this.owned, this.ownInUse), this.lent.sum(now)), this.owned)
  }

  /** Tells whether the account can be forgotten. */
  get isEmpty (): boolean {
    return isZero(this.owned) && isZero(this.inUse) && this.lent.isEmpty && this.borrowed.size === 0
  }
}

/**
 * Accounts for the shares of one seat: what it owns, uses, lends and borrows (docs/design.md,
 * section 5). Over all seats, the amount in use of a resource never exceeds the sum of the
 * owned amounts, whatever happens to messages and seats, as long as
 *
 * - each caller holds a reservation until its work has ended or `latestEnd` has passed,
 * - loan ids are unique over all incarnations,
 * - the rates of two clocks differ by less than `marginMs` in `termMs`,
 * - `ownUsable` is true only for the one holder of the seat (see `SeatGuard`).
 *
 * All times are milliseconds of the seat's own monotonic clock and never fall between calls.
 * No method throws.
 */
export class ResourceLedger {
  private readonly accounts = new Map<ResourceName, Account>()
  /**
   * Loans that ended here, with the time until which a delayed reply might still extend them.
   * Such a reply is ignored: the lender may have the units back.
   */
  private readonly closedIds = new Map<string, number>()
  private readonly held = new Set<Reservation>()

  constructor (private readonly options: ResourceLedgerOptions) {}

  /** Sets the own share; what is in use or lent beyond it counts as used until it ends. */
  setOwnShare (resource: ResourceName, owned: ResourceVector): void {
    this.adopt(resource).owned = owned
  }

  /** Sets the own share to zero. */
  removeResource (resource: ResourceName): void {
    const account = this.accounts.get(resource)
    if (account === undefined) return
    account.owned = zeroResources
    this.clear(resource, account)
  }

  /**
   * Takes units for one start, from the own share first and then from loans.
   *
   * @param latestEnd - time by which the work has ended for certain; loans that end earlier are not used
   * @param ownUsable - whether the own share may be used now
   * @returns the reservation, or undefined when not enough is free
   */
  reserve (resource: ResourceName, amount: ResourceVector, latestEnd: number, now: number, ownUsable: boolean): Reservation | undefined {
    const account = this.accounts.get(resource)
    if (account === undefined) return undefined
    const own = ownUsable ? clampResources(amount, account.computeFree(now)) : zeroResources
    let missing = subtractResources(amount, own)
    const loans: Array<{ loan: BorrowedLoan, amount: ResourceVector }> = []
    const until = this.computeNeededUntil(latestEnd, now)
    for (const loan of account.borrowed.values()) {
      if (isZero(missing)) break
      const part = clampResources(missing, loan.computeFree(until))
      if (isZero(part)) continue
      loans.push({ loan, amount: part })
      missing = subtractResources(missing, part)
    }
    if (!isZero(missing)) return undefined
    account.ownInUse = addResources(account.ownInUse, own)
    account.inUse = addResources(account.inUse, amount)
    for (const part of loans) part.loan.reserve(part.amount, now)
    const reservation: HeldReservation = { resource, amount, own, loans }
    this.held.add(reservation)
    return reservation
  }

  /** Gives the units of a reservation back; a second call does nothing. */
  release (reservation: Reservation): void {
    if (!this.held.delete(reservation)) return
    const { resource, amount, own, loans } = reservation as HeldReservation
    const account = this.adopt(resource)
    account.ownInUse = subtractResources(account.ownInUse, own)
    account.inUse = subtractResources(account.inUse, amount)
    for (const part of loans) part.loan.release(part.amount)
  }

  /**
   * Computes what `reserve` could take.
   *
   * @returns the free amount of the own share and the loans together
   */
  computeAvailable (resource: ResourceName, latestEnd: number, now: number, ownUsable: boolean): ResourceVector {
    const account = this.accounts.get(resource)
    if (account === undefined) return zeroResources
    const until = this.computeNeededUntil(latestEnd, now)
    let available = ownUsable ? account.computeFree(now) : zeroResources
    for (const loan of account.borrowed.values()) available = addResources(available, loan.computeFree(until))
    return available
  }

  /** Computes the sum of all reservations that are held. */
  computeInUse (resource: ResourceName): ResourceVector {
    return this.accounts.get(resource)?.inUse ?? zeroResources
  }

  /** Computes what is lent to others at a time. */
  computeLent (resource: ResourceName, now: number): ResourceVector {
    return this.accounts.get(resource)?.lent.sum(now) ?? zeroResources
  }

  /** Tells whether anything is in use or lent; a seat is released only when nothing is. */
  hasUnitsInUseOrLent (now: number): boolean {
    this.removeExpired(now)
    for (const account of this.accounts.values()) {
      if (!isZero(account.inUse) || !account.lent.isEmpty) return true
    }
    return false
  }

  /**
   * Grants and renews loans to a borrower. A known id renews that loan, never with more than
   * before; a renewal that is refused or cut keeps the earlier grant counted until its end.
   *
   * @param borrower - seat of the borrower as `DOMAIN.SEAT`
   * @param ownUsable - whether the own share may be used now; nothing is granted otherwise
   * @param spare - tells how much to lend at most; `available` is the free part of the own
   *   share, for a renewal as if that loan had been returned
   * @returns one grant for each request, in the same order
   */
  grant (
    borrower: string, requests: readonly LoanRequest[], now: number, ownUsable: boolean,
    spare: (resource: ResourceName, available: ResourceVector) => ResourceVector
  ): readonly LoanGrant[] {
    return requests.map((request) => {
      const account = this.accounts.get(request.resource)
      const amount = account === undefined ? zeroResources : this.lend(account, borrower, request, now, ownUsable, spare)
      return { loanId: request.loanId, amount, termMs: this.options.termMs }
    })
  }

  /** Takes back loans that their borrower no longer uses. */
  applyReturn (borrower: string, loanIds: readonly string[], now: number): void {
    for (const loanId of loanIds) {
      for (const account of this.accounts.values()) if (account.lent.remove(loanId, borrower)) break
    }
    this.removeExpired(now)
  }

  /**
   * Applies the reply to a loan request.
   *
   * @param request - the request as it was sent
   * @param sentAt - time when the request was sent; the loan's term is counted from there,
   *   because the lender may have granted it at any moment since
   */
  applyGrant (lender: string, request: LoanRequest, grant: LoanGrant, sentAt: number): void {
    if (grant.loanId !== request.loanId || this.closedIds.has(request.loanId)) return
    const usableUntil = sentAt + Math.min(grant.termMs, this.options.termMs) - this.options.clockDriftMarginMs
    const amount = clampResources(grant.amount, request.amount)
    const account = this.adopt(request.resource)
    const known = account.borrowed.get(request.loanId)
    if (known !== undefined) {
      if (known.lender === lender) known.extend(amount, usableUntil)
    } else if (!isZero(amount)) {
      account.borrowed.set(request.loanId, new BorrowedLoan(lender, request, amount, sentAt, usableUntil))
    }
  }

  /**
   * Lists the renewals that are due: one each second for a loan that is used. Each must be
   * sent at once, with `now` as its `sentAt`.
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
   * Drops loans that have not been used for a while.
   *
   * @param idleMs - time without use in milliseconds; 0 drops every loan that is unused now
   * @returns ids by lender, to be returned
   */
  closeIdleLoans (now: number, idleMs: number): ReadonlyMap<string, readonly string[]> {
    const returned = new Map<string, string[]>()
    for (const loan of this.listBorrowed()) {
      if (!loan.isIdle(now, idleMs)) continue
      appendTo(returned, loan.lender, loan.loanId)
      this.close(loan, now)
    }
    return returned
  }

  /** Gives up what is unused of a lender's loans, as returns and as renewals to be sent at once; undefined without loans. */
  giveUpUnusedUnits (lender: string, resource: ResourceName, now: number): { returned: readonly string[], reduced: readonly LoanRequest[] } | undefined {
    const loans = [...this.accounts.get(resource)?.borrowed.values() ?? []].filter((loan) => loan.lender === lender)
    if (loans.length === 0) return undefined
    const unused = loans.filter((loan) => loan.isIdle(now, 0))
    for (const loan of unused) this.close(loan, now)
    return { returned: unused.map((loan) => loan.loanId), reduced: loans.flatMap((loan) => loan.createReduction(now) ?? []) }
  }

  /** Drops what has expired on both sides. */
  removeExpired (now: number): void {
    for (const loan of this.listBorrowed()) if (loan.isExpired(now)) this.close(loan, now)
    for (const [loanId, until] of this.closedIds) if (now >= until) this.closedIds.delete(loanId)
    for (const [resource, account] of this.accounts) {
      account.lent.sweep(now)
      this.clear(resource, account)
    }
  }

  private lend (
    account: Account, borrower: string, request: LoanRequest, now: number, ownUsable: boolean,
    spare: (resource: ResourceName, available: ResourceVector) => ResourceVector
  ): ResourceVector {
    if (!ownUsable || account.lent.isTaken(request.loanId, borrower)) return zeroResources
    const counted = account.lent.find(request.loanId, borrower, now) ?? zeroResources
    const wanted = clampResources(request.amount, account.lent.findRenewable(request.loanId, now) ?? request.amount)
    const others = subtractResources(account.lent.sum(now), counted)
    const free = subtractResources(subtractResources(account.owned, account.ownInUse), others)
    const available = clampResources(free, account.owned)
    const amount = clampResources(clampResources(wanted, spare(request.resource, available)), available)
    account.lent.record(request.loanId, borrower, request.amount, amount, now, now + this.options.termMs)
    return amount
  }

  private computeNeededUntil (latestEnd: number, now: number): number {
    return this.options.requiresEndWithinTerm ? latestEnd : now
  }

  private * listBorrowed (): Iterable<BorrowedLoan> {
    for (const account of this.accounts.values()) yield * account.borrowed.values()
  }

  private close (loan: BorrowedLoan, now: number): void {
    this.accounts.get(loan.resource)?.borrowed.delete(loan.loanId)
    this.closedIds.set(loan.loanId, now + this.options.termMs)
  }

  private adopt (resource: ResourceName): Account {
    let account = this.accounts.get(resource)
    if (account === undefined) this.accounts.set(resource, account = new Account())
    return account
  }

  private clear (resource: ResourceName, account: Account): void {
    if (account.isEmpty) this.accounts.delete(resource)
  }
}

function appendTo<T> (lists: Map<string, T[]>, key: string, item: T): void {
  const list = lists.get(key)
  if (list === undefined) lists.set(key, [item])
  else list.push(item)
}
