import { type Configuration } from '@sesamereel/state'
import { type Heartbeat, type HeartbeatReply, type LoanGrant } from '@sesamereel/coordination'
import { type IssueKeysRequest } from './caller-api.js'
import { type BorrowMessage, type IssueReply, type JobReply, type PeerCancelJob, type PeerFetchJob, type PeerSubmitJob, type ReturnLoansMessage } from './peer-api.js'

/** What an instance does for its peers. Implemented by the entry instance, called by the peer router. */
export abstract class PeerService {
  /**
   * Takes a peer's heartbeat.
   *
   * @param heartbeat - what the peer says about itself
   * @returns what this instance says about itself and about the peer's seat
   */
  abstract acceptHeartbeat (heartbeat: Heartbeat): HeartbeatReply

  /**
   * Issues keys of this incarnation.
   *
   * @param request - customer and number of keys
   * @returns the keys, or the reason of a refusal
   */
  abstract issueKeys (request: IssueKeysRequest): IssueReply

  /**
   * Admits a job whose key this incarnation issued, or attaches to it.
   *
   * @param request - the job and how long to wait for its answer in milliseconds
   * @returns the state of the job, or the reason of a refusal
   */
  abstract submitJob (request: PeerSubmitJob): Promise<JobReply>

  /**
   * Reads the state of a job.
   *
   * @param request - the key and how long to wait for its answer in milliseconds
   * @returns the state of the job, or the reason of a refusal
   */
  abstract fetchJob (request: PeerFetchJob): Promise<JobReply>

  /**
   * Cancels a job.
   *
   * @param request - the key
   * @returns the state of the job, or the reason of a refusal
   */
  abstract cancelJob (request: PeerCancelJob): JobReply

  /**
   * Lends from this seat's share.
   *
   * @param request - the borrower and the loans that it asks for or renews
   * @returns grants in the order of the requests
   */
  abstract lendUnits (request: BorrowMessage): readonly LoanGrant[]

  /**
   * Takes loans back before their term.
   *
   * @param request - the borrower and the loans that it returns
   */
  abstract acceptReturn (request: ReturnLoansMessage): void

  /**
   * Reads the configuration in force.
   *
   * @returns both lists with their version
   */
  abstract readConfiguration (): Configuration
}
