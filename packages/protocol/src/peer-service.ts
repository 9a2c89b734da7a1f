import { type Configuration } from '@sesamereel/state'
import { type Heartbeat, type HeartbeatReply, type LoanGrant } from '@sesamereel/coordination'
import { type IssueKeysRequest } from './caller-api.js'
import { type BorrowMessage, type IssueReply, type JobReply, type PeerCancelJob, type PeerFetchJob, type PeerSubmitJob, type ReturnLoansMessage } from './peer-api.js'

/** Operations that an instance offers to its peers. Implemented by the entry instance and called by the peer router. */
export abstract class PeerService {
  /**
   * Handles a peer's heartbeat.
   *
   * @param heartbeat - the state that the peer reports
   * @returns this instance's own heartbeat, and what it knows about the holder of the peer's seat
   */
  abstract acceptHeartbeat (heartbeat: Heartbeat): HeartbeatReply

  /**
   * Issues job keys that belong to this incarnation.
   *
   * @param request - customer and number of keys
   * @returns the keys, or the error when the request is refused
   */
  abstract issueKeys (request: IssueKeysRequest): IssueReply

  /**
   * Admits a job whose key this incarnation issued, or attaches to the job when it is already admitted.
   *
   * @param request - the job and how long to wait for its answer in milliseconds
   * @returns the state of the job, or the error when the request is refused
   */
  abstract submitJob (request: PeerSubmitJob): Promise<JobReply>

  /**
   * Reads the state of a job.
   *
   * @param request - the key and how long to wait for its answer in milliseconds
   * @returns the state of the job, or the error when the request is refused
   */
  abstract fetchJob (request: PeerFetchJob): Promise<JobReply>

  /**
   * Cancels a job.
   *
   * @param request - the key
   * @returns the state of the job, or the error when the request is refused
   */
  abstract cancelJob (request: PeerCancelJob): JobReply

  /**
   * Lends units of this seat's shares of the plan limits.
   *
   * @param request - the borrower and the loans that it requests or renews
   * @returns grants in the order of the requests
   */
  abstract lendUnits (request: BorrowMessage): readonly LoanGrant[]

  /**
   * Takes back loans that the borrower returns before the end of their term.
   *
   * @param request - the borrower and the loans that it returns
   */
  abstract acceptReturn (request: ReturnLoansMessage): void

  /**
   * Reads the configuration in force.
   *
   * @returns the plans and limits lists with their common version
   */
  abstract readConfiguration (): Configuration
}
