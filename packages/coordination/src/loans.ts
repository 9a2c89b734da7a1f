import { type ResourceVector } from '@sesamereel/state'

/** Name of a resource that can be lent: a customer's plan (`plan:CUSTOMER`) or a target's slots (`slot:TARGET`). */
export type ResourceName = string

/**
 * Request for one loan. With a loan, one seat (the lender) gives another seat (the borrower) the
 * use of units of a resource for a limited term. The lender grants the request in full, in part
 * or not at all.
 */
export interface LoanRequest {
  /** Unique for each loan. A further request with the same id renews that loan. */
  readonly loanId: string
  readonly resource: ResourceName
  /** Requested amount. A renewal may request less than before. */
  readonly amount: ResourceVector
}

/** Reply to one loan request. */
export interface LoanGrant {
  readonly loanId: string
  /** Amount that is lent under this id from now on; zero when refused. */
  readonly amount: ResourceVector
  /** Term of the loan in milliseconds. */
  readonly termMs: number
}

/** Sends loan messages to peers. The transport implements it; tests use a fake. */
export abstract class LoanChannel {
  /**
   * Requests or renews loans at a peer.
   *
   * @param peer - seat of the lender as `DOMAIN.SEAT`
   * @param requests - loans to grant or renew
   * @returns grants in the order of the requests; rejects when the peer does not answer
   */
  abstract borrow (peer: string, requests: readonly LoanRequest[]): Promise<readonly LoanGrant[]>

  /**
   * Returns loans before their term ends. If the message is lost, the units stay lent until the
   * term ends.
   *
   * @param peer - seat of the lender as `DOMAIN.SEAT`
   * @param loanIds - loans that are no longer used
   */
  abstract returnLoans (peer: string, loanIds: readonly string[]): void
}
