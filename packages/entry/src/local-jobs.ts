import { type Dispatcher } from '@sesamereel/coordination'
import { type AllowedCustomers, type JobReply } from '@sesamereel/protocol'
import { createResultError, type JobSpec } from '@sesamereel/state'
import { computeBodyHash } from './body-hash.js'
import { type ActiveSpan, type Tracing } from './tracing.js'

/** Maximum time in milliseconds of one wait for the answer of a traced job; the wait is repeated until the job ends. */
const traceWaitMs = 30_000

/** Handles requests about jobs whose keys this incarnation issued. */
export class LocalJobs {
  readonly #dispatcher: Dispatcher
  readonly #tracing: Tracing

  constructor (dispatcher: Dispatcher, tracing: Tracing) {
    this.#dispatcher = dispatcher
    this.#tracing = tracing
  }

  /**
   * Admits a job, or attaches to it if it was submitted before, and waits for the answer.
   *
   * @param waitMs - longest wait for the answer in milliseconds
   * @param traceparent - trace context of the previous hop
   */
  async submitJob (spec: JobSpec, waitMs: number, traceparent: string | undefined): Promise<JobReply> {
    const span = this.#tracing.startSpan('owner.job', 'server', traceparent, { 'job.key': spec.key, 'job.tasks': spec.tasks.length, 'job.customer': spec.customer })
    const result = this.#dispatcher.submit(spec, computeBodyHash(spec), span.traceparent)
    if (result.kind === 'refused') {
      span.end(result.error.message)
      return result
    }
    if (result.kind === 'accepted' && span.isRecorded) this.#endSpanOnAnswer(span, spec).catch(() => {})
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
   * Cancels a job if the caller may access its customer.
   */
  cancelJob (key: string, customers: AllowedCustomers): JobReply {
    const customer = this.#findCustomer(key, customers)
    return customer.kind === 'refused' ? customer : this.#dispatcher.cancel(key, customer.customer)
  }

  #findCustomer (key: string, customers: AllowedCustomers): { readonly kind: 'found', readonly customer: string } | Extract<JobReply, { kind: 'refused' }> {
    const customer = this.#dispatcher.findCustomer(key)
    // The dispatcher itself refuses a key that it does not know.
    if (customer === undefined) return { kind: 'found', customer: customers === '*' ? '' : customers[0] ?? '' }
    if (customers === '*' || customers.includes(customer)) return { kind: 'found', customer }
    return { kind: 'refused', error: createResultError('KeyNotIssued', `key ${key} was issued to another customer`, 'key') }
  }

  /** Ends the span of a traced job when the job is answered. */
  async #endSpanOnAnswer (span: ActiveSpan, spec: JobSpec): Promise<void> {
    for (;;) {
      const reply = await this.#dispatcher.waitForAnswer(spec.key, spec.customer, traceWaitMs)
      if (reply.kind === 'refused') return span.end(reply.error.message)
      if (reply.state.state === 'failed') return span.end(reply.state.failure.message, { 'job.code': reply.state.failure.code })
      if (reply.state.state === 'complete') return span.end()
    }
  }
}
