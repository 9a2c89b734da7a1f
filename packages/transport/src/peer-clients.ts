import { type Heartbeat, type HeartbeatReply, LoanChannel, type LoanGrant, type LoanRequest } from '@sesamereel/coordination'
import { type heartbeatSchema, type IssueKeysRequest, type IssueReply, type JobReply, maxPeerWaitMs, type PeerCancelJob, type PeerFetchJob, type PeerSubmitJob } from '@sesamereel/protocol'
import { type Configuration } from '@sesamereel/state'
import { type z } from 'zod'
import { type ExchangeObserver } from './exchange-observer.js'
import { PeerClient, type PeerResult } from './peer-client.js'

/** Deadlines of peer calls in milliseconds; a wait for an answer comes on top. */
export const peerTimeoutsMs = {
  heartbeat: 450,
  issueKeys: 500,
  job: 1_500,
  loans: 500,
  configuration: 2_000
} as const

export interface PeerClientsOptions {
  /** Token that instances present to each other. */
  readonly token: string
  /** Own seat as `DOMAIN.SEAT`. */
  readonly seat: string
  readonly observer: ExchangeObserver
  /** Finds the peer address of a seat. */
  readonly findAddress: (seat: string) => string | undefined
}

/** Calls the peer API of other instances; one set of connections for each address. */
export class PeerClients extends LoanChannel {
  readonly #options: PeerClientsOptions
  readonly #connections = new Map<string, PeerClient>()

  constructor (options: PeerClientsOptions) {
    super()
    this.#options = options
  }

  /**
   * Sends a heartbeat.
   *
   * @param address - peer address as `IP:PORT`
   * @returns the peer's own heartbeat, and what it knows of this instance's seat
   */
  async sendHeartbeat (address: string, heartbeat: Heartbeat): Promise<PeerResult<HeartbeatReply>> {
    const message = copyHeartbeat(heartbeat)
    return await this.#open(address).call('heartbeat', peerTimeoutsMs.heartbeat, async api => await api.heartbeat.mutate(message))
  }

  async issueKeys (address: string, request: IssueKeysRequest): Promise<PeerResult<IssueReply>> {
    return await this.#open(address).call('issueKeys', peerTimeoutsMs.issueKeys, async api => await api.issueKeys.mutate(request))
  }

  /**
   * Submits a job to its owner. The wait is limited to `maxPeerWaitMs`; the job may still run after it.
   */
  async submitJob (address: string, request: PeerSubmitJob): Promise<PeerResult<JobReply>> {
    const waitMs = Math.min(request.waitMs, maxPeerWaitMs)
    return await this.#open(address).call('submitJob', peerTimeoutsMs.job + waitMs, async api => await api.submitJob.mutate({ ...request, waitMs }) as JobReply)
  }

  /**
   * Reads the state of a job from its owner. The wait is limited to `maxPeerWaitMs`.
   */
  async fetchJob (address: string, request: PeerFetchJob): Promise<PeerResult<JobReply>> {
    const waitMs = Math.min(request.waitMs, maxPeerWaitMs)
    return await this.#open(address).call('fetchJob', peerTimeoutsMs.job + waitMs, async api => await api.fetchJob.query({ ...request, waitMs }) as JobReply)
  }

  async cancelJob (address: string, request: PeerCancelJob): Promise<PeerResult<JobReply>> {
    return await this.#open(address).call('cancelJob', peerTimeoutsMs.job, async api => await api.cancelJob.mutate(request) as JobReply)
  }

  async readConfiguration (address: string): Promise<PeerResult<Configuration>> {
    return await this.#open(address).call('readConfiguration', peerTimeoutsMs.configuration, async api => await api.readConfiguration.query())
  }

  override async borrow (peer: string, requests: readonly LoanRequest[]): Promise<readonly LoanGrant[]> {
    const address = this.#options.findAddress(peer)
    if (address === undefined) throw new Error(`the address of peer ${peer} is not known`)
    const message = { peer: this.#options.seat, requests: [...requests] }
    const result = await this.#open(address).call('borrow', peerTimeoutsMs.loans, async api => await api.borrow.mutate(message))
    if (result.kind === 'replied') return result.value
    throw new Error(`peer ${peer} did not answer: ${result.message}`)
  }

  override returnLoans (peer: string, loanIds: readonly string[]): void {
    const address = this.#options.findAddress(peer)
    if (address === undefined) return
    const message = { peer: this.#options.seat, loanIds: [...loanIds] }
    // A lost message costs only the rest of the term.
    this.#open(address).call('returnLoans', peerTimeoutsMs.loans, async api => { await api.returnLoans.mutate(message) }).catch(() => {})
  }

  /**
   * Closes the connections to addresses that are no longer in use, once no call is under way.
   *
   * @param addresses - addresses that are in use
   */
  closeConnectionsExcept (addresses: ReadonlySet<string>): void {
    for (const [address, connection] of this.#connections) {
      if (addresses.has(address) || !connection.isIdle()) continue
      this.#connections.delete(address)
      connection.close().catch(() => {})
    }
  }

  async close (): Promise<void> {
    await Promise.allSettled([...this.#connections.values()].map(async connection => { await connection.close() }))
  }

  #open (address: string): PeerClient {
    let connection = this.#connections.get(address)
    if (connection === undefined) {
      connection = new PeerClient(address, this.#options.token, this.#options.observer)
      this.#connections.set(address, connection)
    }
    return connection
  }
}

/** The client's input types are mutable. */
function copyHeartbeat (heartbeat: Heartbeat): z.input<typeof heartbeatSchema> {
  return { ...heartbeat, ejectedTargets: [...heartbeat.ejectedTargets], leavingTargets: [...heartbeat.leavingTargets] }
}
