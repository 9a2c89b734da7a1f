import { type AllowedCustomers, type IssueKeysRequest, type IssueReply, type JobReply } from '@sesamereel/protocol'
import { createResultError, type JobKey, type JobSpec, parseKey, formatSeat } from '@sesamereel/state'
import { CallerService, type PeerClients } from '@sesamereel/transport'
import { type AnswerArchive, type ArchivedAnswer } from './answer-archive.js'
import { computeBodyHash } from './body-hash.js'
import { type JobForwarder } from './job-forwarder.js'
import { type LocalJobs } from './local-jobs.js'
import { type Tracing } from './tracing.js'

/**
 * Where a request about a key is handled. `gone` means that the incarnation that issued the key is
 * known to have ended, `unreachable` that it may still run but cannot be reached.
 */
export type KeyRoute =
  | { readonly kind: 'local' }
  | { readonly kind: 'forward', readonly address: string }
  | { readonly kind: 'gone' }
  | { readonly kind: 'unreachable' }

/** Where the keys of a customer are issued: here, or at the home instance of the customer. */
export type HomeRoute = { readonly kind: 'local' } | { readonly kind: 'forward', readonly address: string }

export interface JobRouterOptions {
  readonly localJobs: LocalJobs
  readonly forwarder: JobForwarder
  readonly archive: AnswerArchive
  readonly peers: PeerClients
  readonly tracing: Tracing
  readonly issueLocally: (request: IssueKeysRequest) => IssueReply
  readonly routeKey: (key: JobKey) => KeyRoute
  readonly routeHome: (customer: string) => HomeRoute
}

/** Routes the requests of callers to the instances that own their keys, or answers them from the archive. */
export class JobRouter extends CallerService {
  readonly #options: JobRouterOptions

  constructor (options: JobRouterOptions) {
    super()
    this.#options = options
  }

  override async issueKeys (request: IssueKeysRequest, traceparent: string | undefined): Promise<IssueReply> {
    const span = this.#options.tracing.startSpan('entry.issueKeys', 'server', traceparent, { customer: request.customer })
    const home = this.#options.routeHome(request.customer)
    if (home.kind === 'forward') {
      const result = await this.#options.peers.issueKeys(home.address, request)
      // The home instance is only an optimisation, so this instance issues the keys if the home instance cannot.
      const isUsable = result.kind === 'replied' && !(result.value.kind === 'refused' && ['NotReady', 'Leaving'].includes(result.value.error.name))
      if (isUsable) {
        span.end()
        return result.value
      }
    }
    const reply = this.#options.issueLocally(request)
    span.end(reply.kind === 'refused' ? reply.error.message : undefined)
    return reply
  }

  override async submitJob (spec: JobSpec, waitMs: number, traceparent: string | undefined): Promise<JobReply> {
    return await this.#routeRequest('entry.submitJob', spec.key, traceparent, async (key, route, context) => {
      if (route.kind === 'local') return await this.#options.localJobs.submitJob(spec, waitMs, context)
      if (route.kind === 'forward') {
        const reply = await this.#options.forwarder.submitJob(route.address, spec, waitMs, context)
        return await this.#preferArchived(reply, async () => await this.#submitToArchive(key, spec))
      }
      if (route.kind === 'gone') return await this.#submitToArchive(key, spec)
      return await this.#preferArchived(refuseUnreachable(key, spec.key), async () => await this.#submitToArchive(key, spec))
    })
  }

  override async fetchJob (key: string, customers: AllowedCustomers, waitMs: number, traceparent: string | undefined): Promise<JobReply> {
    return await this.#routeRequest('entry.fetchJob', key, traceparent, async (parsed, route, context) => {
      if (route.kind === 'local') return await this.#options.localJobs.fetchJob(key, customers, waitMs)
      if (route.kind === 'forward') {
        const reply = await this.#options.forwarder.fetchJob(route.address, key, customers, waitMs, context)
        return await this.#preferArchived(reply, async () => await this.#readArchive(parsed, key, customers))
      }
      if (route.kind === 'gone') return await this.#readArchive(parsed, key, customers)
      return await this.#preferArchived(refuseUnreachable(parsed, key), async () => await this.#readArchive(parsed, key, customers))
    })
  }

  override async cancelJob (key: string, customers: AllowedCustomers, traceparent: string | undefined): Promise<JobReply> {
    return await this.#routeRequest('entry.cancelJob', key, traceparent, async (parsed, route, context) => {
      if (route.kind === 'local') return this.#options.localJobs.cancelJob(key, customers)
      if (route.kind === 'forward') {
        const reply = await this.#options.forwarder.cancelJob(route.address, key, customers, context)
        return await this.#preferArchived(reply, async () => await this.#readArchive(parsed, key, customers))
      }
      if (route.kind === 'gone') return await this.#readArchive(parsed, key, customers)
      return await this.#preferArchived(refuseUnreachable(parsed, key), async () => await this.#readArchive(parsed, key, customers))
    })
  }

  async #routeRequest (name: string, key: string, traceparent: string | undefined, handle: (key: JobKey, route: KeyRoute, context: string) => Promise<JobReply>): Promise<JobReply> {
    const parsed = parseKey(key)
    if (parsed === undefined) return { kind: 'refused', error: createResultError('KeyMalformed', `${JSON.stringify(key)} is not a valid key`, 'key') }
    const span = this.#options.tracing.startSpan(name, 'server', traceparent, { 'job.key': key })
    const route = this.#options.routeKey(parsed)
    const reply = await handle(parsed, route, span.traceparent)
    span.end(reply.kind === 'refused' ? reply.error.message : undefined, { route: route.kind })
    return reply
  }

  /**
   * Replaces a refusal that is due to a gone or unreachable owner by the result from the archive.
   * After a planned stop, the owner is unreachable for some time before it is known to be gone,
   * but its archived answers are already final. If an unreachable owner has archived no answer for
   * the key, the refusal stays.
   */
  async #preferArchived (reply: JobReply, readArchive: () => Promise<JobReply>): Promise<JobReply> {
    if (reply.kind !== 'refused') return reply
    if (reply.error.name === 'OwnerGone') return await readArchive()
    if (reply.error.name !== 'NotSent' && reply.error.name !== 'OutcomeUnknown') return reply
    const archived = await readArchive()
    return archived.kind === 'state' || archived.error.name === 'KeyReused' ? archived : reply
  }

  async #submitToArchive (key: JobKey, spec: JobSpec): Promise<JobReply> {
    const found = await this.#findArchived(key, spec.key, [spec.customer])
    if (found.kind === 'refused') return found
    if (found.answer.bodyHash !== computeBodyHash(spec)) return { kind: 'refused', error: createResultError('KeyReused', `key ${spec.key} was used for a job with another body`, 'key') }
    return { kind: 'state', state: found.answer.answer }
  }

  async #readArchive (key: JobKey, keyText: string, customers: AllowedCustomers): Promise<JobReply> {
    const found = await this.#findArchived(key, keyText, customers)
    return found.kind === 'refused' ? found : { kind: 'state', state: found.answer.answer }
  }

  /** Finds the answer that an owner archived during its planned stop. Refuses when there is none, or when the key belongs to another customer. */
  async #findArchived (key: JobKey, keyText: string, customers: AllowedCustomers): Promise<{ readonly kind: 'found', readonly answer: ArchivedAnswer } | Extract<JobReply, { kind: 'refused' }>> {
    const owner = `${formatSeat(key)}.${key.incarnation}`
    const result = await this.#options.archive.findAnswer(owner, keyText)
    if (result.kind === 'unavailable') return { kind: 'refused', error: createResultError('OutcomeUnknown', `the owner ${owner} is gone and the object store, which may hold its archived answer, can't be reached`) }
    if (result.kind === 'absent') return { kind: 'refused', error: createResultError('OwnerGone', `the owner ${owner} of key ${keyText} is gone and archived no answer`, 'key') }
    if (customers !== '*' && !customers.includes(result.answer.customer)) return { kind: 'refused', error: createResultError('KeyNotIssued', `key ${keyText} was issued to another customer`, 'key') }
    return result
  }
}

function refuseUnreachable (key: JobKey, keyText: string): JobReply {
  return { kind: 'refused', error: createResultError('OutcomeUnknown', `the owner ${formatSeat(key)} of key ${keyText} can't be reached`) }
}
