import { type ConfigurationHolder, type Dispatcher, type Heartbeat, type HeartbeatReply, type LoanGrant } from '@sesamereel/coordination'
import { type BorrowMessage, type IssueKeysRequest, type IssueReply, type JobReply, type PeerCancelJob, type PeerFetchJob, PeerService, type PeerSubmitJob, type ReturnLoansMessage } from '@sesamereel/protocol'
import { type Configuration, createResultError, type JobKey, parseKey } from '@sesamereel/state'
import { type HeartbeatExchange } from './heartbeat-exchange.js'
import { type KeyRoute } from './job-router.js'
import { type LocalJobs } from './local-jobs.js'

export interface PeerHandlerOptions {
  readonly heartbeats: HeartbeatExchange
  readonly localJobs: LocalJobs
  readonly dispatcher: Pick<Dispatcher, 'handleBorrow' | 'handleReturn'>
  readonly holder: ConfigurationHolder
  readonly issueLocally: (request: IssueKeysRequest) => IssueReply
  readonly routeKey: (key: JobKey) => KeyRoute
}

/** Handles the requests of peers. */
export class PeerHandler extends PeerService {
  readonly #options: PeerHandlerOptions

  constructor (options: PeerHandlerOptions) {
    super()
    this.#options = options
  }

  override acceptHeartbeat (heartbeat: Heartbeat): HeartbeatReply {
    return this.#options.heartbeats.handleHeartbeat(heartbeat)
  }

  override issueKeys (request: IssueKeysRequest): IssueReply {
    return this.#options.issueLocally(request)
  }

  override async submitJob ({ spec, waitMs, traceparent }: PeerSubmitJob): Promise<JobReply> {
    return this.#refuseUnownedKey(spec.key) ?? await this.#options.localJobs.submitJob(spec, waitMs, traceparent)
  }

  override async fetchJob ({ key, customers, waitMs }: PeerFetchJob): Promise<JobReply> {
    return this.#refuseUnownedKey(key) ?? await this.#options.localJobs.fetchJob(key, customers, waitMs)
  }

  override cancelJob ({ key, customers }: PeerCancelJob): JobReply {
    return this.#refuseUnownedKey(key) ?? this.#options.localJobs.cancelJob(key, customers)
  }

  override lendUnits ({ peer, requests }: BorrowMessage): readonly LoanGrant[] {
    return this.#options.dispatcher.handleBorrow(peer, requests)
  }

  override acceptReturn ({ peer, loanIds }: ReturnLoansMessage): void {
    this.#options.dispatcher.handleReturn(peer, loanIds)
  }

  override readConfiguration (): Configuration {
    return this.#options.holder.current
  }

  /**
   * Refuses a key that another incarnation issued. If that incarnation is known to be gone, the
   * error is `OwnerGone`; otherwise the outcome is unknown.
   *
   * @returns the refusal, or undefined when this incarnation issued the key
   */
  #refuseUnownedKey (key: string): JobReply | undefined {
    const parsed = parseKey(key)
    if (parsed === undefined) return { kind: 'refused', error: createResultError('KeyMalformed', `${JSON.stringify(key)} is not a valid key`, 'key') }
    const route = this.#options.routeKey(parsed)
    if (route.kind === 'local') return undefined
    if (route.kind === 'gone') return { kind: 'refused', error: createResultError('OwnerGone', `the incarnation that issued key ${key} is gone`, 'key') }
    return { kind: 'refused', error: createResultError('OutcomeUnknown', `key ${key} was issued by another incarnation, which is not known to be gone`) }
  }
}
