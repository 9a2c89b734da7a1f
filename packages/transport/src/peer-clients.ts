import { type Heartbeat, type HeartbeatReply, LoanChannel, type LoanGrant, type LoanRequest } from '@sesamereel/coordination'
import { type heartbeatSchema, type IssueKeysRequest, type IssueReply, type JobReply, maxPeerWaitMs, type PeerCancelJob, type PeerFetchJob, type PeerSubmitJob } from '@sesamereel/protocol'
import { type Configuration } from '@sesamereel/state'
import { type z } from 'zod'
import { type ExchangeObserver } from './exchange-observer.js'
import { PeerClient, type PeerResult } from './peer-client.js'

/** Timeouts of peer calls in milliseconds; the time that a call waits for a job to end is added. */
export const peerTimeoutsMs = {
  heartbeat: 450,
  issueKeys: 500,
  job: 1_500,
  loans: 500,
  configuration: 2_000
} as const

export interface PeerClientsOptions {
  /** Token with which instances authenticate to each other. */
  readonly token: string
  /** Seat of this instance as `DOMAIN.SEAT`. */
  readonly seat: string
  readonly observer: ExchangeObserver
  /** Finds the peer address of the instance that holds a seat; undefined when it is not known. */
  readonly findAddress: (seat: string) => string | undefined
}

/** Calls the peer API of other instances, with one client per address. */
export class PeerClients extends LoanChannel {
  readonly #options: PeerClientsOptions
  readonly #clients = new Map<string, PeerClient>()

  constructor (options: PeerClientsOptions) {
    super()
    this.#options = options
  }

  /**
   * Sends a heartbeat.
   *
   * @param address - peer address as `IP:PORT`
   * @returns the peer's heartbeat and what it knows about this instance's seat
   */
  async sendHeartbeat (address: string, heartbeat: Heartbeat): Promise<PeerResult<HeartbeatReply>> {
    const message = copyHeartbeat(heartbeat)
    return await this.#getClient(address).call('heartbeat', peerTimeoutsMs.heartbeat, async api => await api.heartbeat.mutate(message))
  }

  async issueKeys (address: string, request: IssueKeysRequest): Promise<PeerResult<IssueReply>> {
    return await this.#getClient(address).call('issueKeys', peerTimeoutsMs.issueKeys, async api => await api.issueKeys.mutate(request))
  }

  /**
   * Submits a job to its owner. The wait for its end is limited to `maxPeerWaitMs`; the job may still run after that.
   */
  async submitJob (address: string, request: PeerSubmitJob): Promise<PeerResult<JobReply>> {
    const waitMs = Math.min(request.waitMs, maxPeerWaitMs)
    return await this.#getClient(address).call('submitJob', peerTimeoutsMs.job + waitMs, async api => await api.submitJob.mutate({ ...request, waitMs }) as JobReply)
  }

  /**
   * Reads the state of a job from its owner. The wait for its end is limited to `maxPeerWaitMs`.
   */
  async fetchJob (address: string, request: PeerFetchJob): Promise<PeerResult<JobReply>> {
    const waitMs = Math.min(request.waitMs, maxPeerWaitMs)
    return await this.#getClient(address).call('fetchJob', peerTimeoutsMs.job + waitMs, async api => await api.fetchJob.query({ ...request, waitMs }) as JobReply)
  }

  async cancelJob (address: string, request: PeerCancelJob): Promise<PeerResult<JobReply>> {
    return await this.#getClient(address).call('cancelJob', peerTimeoutsMs.job, async api => await api.cancelJob.mutate(request) as JobReply)
  }

  async readConfiguration (address: string): Promise<PeerResult<Configuration>> {
    return await this.#getClient(address).call('readConfiguration', peerTimeoutsMs.configuration, async api => await api.readConfiguration.query())
  }

  override async borrow (peer: string, requests: readonly LoanRequest[]): Promise<readonly LoanGrant[]> {
    const address = this.#options.findAddress(peer)
    if (address === undefined) throw new Error(`no address is known for peer ${peer}`)
    const message = { peer: this.#options.seat, requests: [...requests] }
    const result = await this.#getClient(address).call('borrow', peerTimeoutsMs.loans, async api => await api.borrow.mutate(message))
    if (result.kind === 'replied') return result.value
    throw new Error(`peer ${peer} did not answer: ${result.message}`)
  }

  override returnLoans (peer: string, loanIds: readonly string[]): void {
    const address = this.#options.findAddress(peer)
    if (address === undefined) return
    const message = { peer: this.#options.seat, loanIds: [...loanIds] }
    // If the message is lost, the loans only stay lent until their terms end.
    this.#getClient(address).call('returnLoans', peerTimeoutsMs.loans, async api => { await api.returnLoans.mutate(message) }).catch(() => {})
  }

  /**
   * Closes the clients of all other addresses, except those with a call in progress, which a later call closes.
   *
   * @param addresses - addresses that are still in use
   */
  closeConnectionsExcept (addresses: ReadonlySet<string>): void {
    for (const [address, client] of this.#clients) {
      if (addresses.has(address) || !client.isIdle()) continue
      this.#clients.delete(address)
      client.close().catch(() => {})
    }
  }

  async close (): Promise<void> {
    await Promise.allSettled([...this.#clients.values()].map(async client => { await client.close() }))
  }

  #getClient (address: string): PeerClient {
    let client = this.#clients.get(address)
    if (client === undefined) {
      client = new PeerClient(address, this.#options.token, this.#options.observer)
      this.#clients.set(address, client)
    }
    return client
  }
}

/** Copies a heartbeat with mutable arrays, which the input types of the tRPC client require. */
function copyHeartbeat (heartbeat: Heartbeat): z.input<typeof heartbeatSchema> {
  return { ...heartbeat, ejectedTargets: [...heartbeat.ejectedTargets], leavingTargets: [...heartbeat.leavingTargets] }
}
