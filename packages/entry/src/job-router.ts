import { type AllowedCustomers, type IssueKeysRequest, type IssueReply, type JobReply } from '@sesamereel/protocol'
import { createResultError, type JobKey, type JobSpec, parseKey, formatSeat } from '@sesamereel/state'
import { CallerService, type PeerClients } from '@sesamereel/transport'
import { type AnswerArchive, type ArchivedAnswer } from './answer-archive.js'
import { computeBodyHash } from './body-hash.js'
import { type JobForwarder } from './job-forwarder.js'
import { type LocalJobs } from './local-jobs.js'
import { type Tracing } from './tracing.js'

/** Where requests about a key go. */
export type KeyRoute =
  | { readonly kind: 'local' }
  | { readonly kind: 'forward', readonly address: string }
  | { readonly kind: 'gone' }
  | { readonly kind: 'unreachable' }

/** Where the keys of a customer are issued. */
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

/** Carries the requests of callers to the instance that owns their keys. */
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
      // The home is a choice of efficiency, so any other instance may issue the keys instead.
      const usable = result.kind === 'replied' && !(result.value.kind === 'refused' && ['NotReady', 'Leaving'].includes(result.value.error.name))
      if (usable) {
        span.end()
        return result.value
      }
    }
    const reply = this.#options.issueLocally(request)
    span.end(reply.kind === 'refused' ? reply.error.message : undefined)
    return reply
  }

  override async submitJob (spec: JobSpec, waitMs: number, traceparent: string | undefined): Promise<JobReply> {
    return await this.#run('entry.submitJob', spec.key, traceparent, async (key, route, context) => {
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
    return await this.#run('entry.fetchJob', key, traceparent, async (parsed, route, context) => {
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
    return await this.#run('entry.cancelJob', key, traceparent, async (parsed, route, context) => {
      if (route.kind === 'local') return this.#options.localJobs.cancelJob(key, customers)
      if (route.kind === 'forward') {
        const reply = await this.#options.forwarder.cancelJob(route.address, key, customers, context)
        return await this.#preferArchived(reply, async () => await this.#readArchive(parsed, key, customers))
      }
      if (route.kind === 'gone') return await this.#readArchive(parsed, key, customers)
      return await this.#preferArchived(refuseUnreachable(parsed, key), async () => await this.#readArchive(parsed, key, customers))
    })
  }

  async #run (name: string, key: string, traceparent: string | undefined, handle: (key: JobKey, route: KeyRoute, context: string) => Promise<JobReply>): Promise<JobReply> {
    const parsed = parseKey(key)
    if (parsed === undefined) return { kind: 'refused', error: createResultError('KeyMalformed', `${JSON.stringify(key)} is not a key`, 'key') }
    const span = this.#options.tracing.startSpan(name, 'server', traceparent, { 'job.key': key })
    const route = this.#options.routeKey(parsed)
    const reply = await handle(parsed, route, span.traceparent)
    span.end(reply.kind === 'refused' ? reply.error.message : undefined, { route: route.kind })
    return reply
  }

  /**
   * An owner that stopped as planned can't be reached before it is known to be gone, but its
   * archived answers are final. Without one, the reply about the owner stays.
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

  async #readArchive (key: JobKey, text: string, customers: AllowedCustomers): Promise<JobReply> {
    const found = await this.#findArchived(key, text, customers)
    return found.kind === 'refused' ? found : { kind: 'state', state: found.answer.answer }
  }

  /** The answer that a gone owner handed over; without one its outcome is unknown. */
  async #findArchived (key: JobKey, text: string, customers: AllowedCustomers): Promise<{ readonly kind: 'found', readonly answer: ArchivedAnswer } | Extract<JobReply, { kind: 'refused' }>> {
    const owner = `${formatSeat(key)}.${key.incarnation}`
    const result = await this.#options.archive.findAnswer(owner, text)
    if (result.kind === 'unavailable') return { kind: 'refused', error: createResultError('OutcomeUnknown', `the owner ${owner} is gone and the object store, where it may have left the answer, can't be reached`) }
    if (result.kind === 'absent') return { kind: 'refused', error: createResultError('OwnerGone', `the owner ${owner} of key ${text} is gone and left no answer`, 'key') }
    if (customers !== '*' && !customers.includes(result.answer.customer)) return { kind: 'refused', error: createResultError('KeyNotIssued', `key ${text} was issued to another customer`, 'key') }
    return result
  }
}

function refuseUnreachable (key: JobKey, text: string): JobReply {
  return { kind: 'refused', error: createResultError('OutcomeUnknown', `the owner ${formatSeat(key)} of key ${text} can't be reached`) }
}
