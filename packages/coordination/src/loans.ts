import { type ResourceVector } from '@sesamereel/state'

/** Names what is lent: a customer's share (`plan:CUSTOMER`) or a target's slots (`slot:TARGET`). */
export type ResourceName = string

/** One request to a peer; the lender grants it in whole, in part or not at all. */
export interface LoanRequest {
  /** Unique for each loan; a repeated request with the same id renews that loan. */
  readonly loanId: string
  readonly resource: ResourceName
  /** Amount that is asked for; a renewal may ask for less than before. */
  readonly amount: ResourceVector
}

/** Answer to one loan request. */
export interface LoanGrant {
  readonly loanId: string
  /** Amount that is lent from now on under this id; zero when refused. */
  readonly amount: ResourceVector
  /** Length of the loan in milliseconds. */
  readonly termMs: number
}

/** Sends loan requests to peers. Implemented by the transport; a fake stands in for it in tests. */
export abstract class LoanChannel {
  /**
   * Asks a peer for loans or renews them.
   *
   * @param peer - seat of the lender as `DOMAIN.SEAT`
   * @param requests - loans that are asked for
   * @returns grants in the order of the requests; rejects when the peer does not answer
   */
  abstract borrow (peer: string, requests: readonly LoanRequest[]): Promise<readonly LoanGrant[]>

  /**
   * Gives loans back before their term. A lost message costs only the rest of the term.
   *
   * @param peer - seat of the lender as `DOMAIN.SEAT`
   * @param loanIds - loans that are no longer used
   */
  abstract returnLoans (peer: string, loanIds: readonly string[]): void
}
