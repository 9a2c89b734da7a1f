import { type Dispatcher } from '@sesamereel/coordination'
import { type AllowedCustomers, type JobReply } from '@sesamereel/protocol'
import { createResultError, type JobSpec } from '@sesamereel/state'
import { computeBodyHash } from './body-hash.js'
import { type ActiveSpan, type Tracing } from './tracing.js'

/** Longest single wait in milliseconds while a traced job is followed to its end. */
const followWaitMs = 30_000

/** Requests about jobs whose keys this incarnation issued. */
export class LocalJobs {
  readonly #dispatcher: Dispatcher
  readonly #tracing: Tracing

  constructor (dispatcher: Dispatcher, tracing: Tracing) {
    this.#dispatcher = dispatcher
    this.#tracing = tracing
  }

  /**
   * Admits a job, or attaches to it, and waits for the answer.
   *
   * @param waitMs - how long to wait in milliseconds
   * @param traceparent - trace context of the hop before
   */
  async submitJob (spec: JobSpec, waitMs: number, traceparent: string | undefined): Promise<JobReply> {
    const span = this.#tracing.startSpan('owner.job', 'server', traceparent, { 'job.key': spec.key, 'job.tasks': spec.tasks.length, 'job.customer': spec.customer })
    const result = this.#dispatcher.submit(spec, computeBodyHash(spec), span.traceparent)
    if (result.kind === 'refused') {
      span.end(result.error.message)
      return result
    }
    if (result.kind === 'accepted' && span.isRecorded) this.#follow(span, spec).catch(() => {})
    else span.end()
    return await this.#dispatcher.waitForAnswer(spec.key, spec.customer, waitMs)
  }

  /**
   * Reads the state of a job and waits for its answer.
   */
  async fetchJob (key: string, customers: AllowedCustomers, waitMs: number): Promise<JobReply> {
    const customer = this.#findCustomer(key, customers)
    return customer.kind === 'refused' ? customer : await this.#dispatcher.waitForAnswer(key, customer.customer, waitMs)
  }

  /**
   * Cancels a job.
   */
  cancelJob (key: string, customers: AllowedCustomers): JobReply {
    const customer = this.#findCustomer(key, customers)
    return customer.kind === 'refused' ? customer : this.#dispatcher.cancel(key, customer.customer)
  }

  #findCustomer (key: string, customers: AllowedCustomers): { readonly kind: 'found', readonly customer: string } | Extract<JobReply, { kind: 'refused' }> {
    const customer = this.#dispatcher.findCustomer(key)
    // The registry decides about a key that it doesn't know.
    if (customer === undefined) return { kind: 'found', customer: customers === '*' ? '' : customers[0] ?? '' }
    if (customers === '*' || customers.includes(customer)) return { kind: 'found', customer }
    return { kind: 'refused', error: createResultError('KeyNotIssued', `key ${key} was issued to another customer`, 'key') }
  }

  /** Keeps the span of a traced job open until the job has its answer. */
  async #follow (span: ActiveSpan, spec: JobSpec): Promise<void> {
    for (;;) {
      const reply = await this.#dispatcher.waitForAnswer(spec.key, spec.customer, followWaitMs)
      if (reply.kind === 'refused') return span.end(reply.error.message)
      if (reply.state.state === 'failed') return span.end(reply.state.failure.message, { 'job.code': reply.state.failure.code })
      if (reply.state.state === 'complete') return span.end()
    }
  }
}
