import { createResultError, type JobAnswer, type JobSpec, type JobState, type ResultError } from '@sesamereel/state'
import { type Clock } from './clock.js'
import { type JobRecord } from './job-record.js'
import { type JobRegistry } from './job-registry.js'

/** Reply to a request about the job of a key. */
export type JobStateReply =
  | { readonly kind: 'state', readonly state: JobState }
  | { readonly kind: 'refused', readonly error: ResultError }

/** Jobs without an answer and the callers that wait for them; answers are read from the registry. */
export class JobTable {
  private readonly records = new Map<string, JobRecord>()

  constructor (private readonly registry: JobRegistry, private readonly clock: Clock) {}

  get size (): number {
    return this.records.size
  }

  /** @returns all jobs that have no answer yet */
  list (): Iterable<JobRecord> {
    return this.records.values()
  }

  get (key: string): JobRecord | undefined {
    return this.records.get(key)
  }

  add (record: JobRecord): void {
    this.records.set(record.spec.key, record)
  }

  /** @returns true when no job was submitted with the key and it can still be used for one */
  isNew (spec: JobSpec): boolean {
    if (this.records.has(spec.key)) return false
    const found = this.registry.find(spec.key, spec.customer, this.clock.now())
    return found.kind === 'refused' && found.error.name === 'JobUnknown'
  }

  fetch (key: string, customer: string): JobStateReply {
    const found = this.registry.find(key, customer, this.clock.now())
    if (found.kind === 'refused') return found
    if (found.answer !== undefined) return { kind: 'state', state: found.answer }
    const record = this.records.get(key)
    if (record === undefined) return { kind: 'refused', error: createResultError('InternalError', `job ${key} is registered but not known to the dispatcher`) }
    return { kind: 'state', state: record.describeState() }
  }

  /** Waits until the job has its answer, for at most `waitMs` milliseconds. */
  async waitForAnswer (key: string, customer: string, waitMs: number): Promise<JobStateReply> {
    const reply = this.fetch(key, customer)
    const record = this.records.get(key)
    if (reply.kind === 'refused' || reply.state.state !== 'running' || record === undefined || waitMs <= 0) return reply
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        cancelTimer()
        record.waiters.delete(finish)
        resolve()
      }
      const cancelTimer = this.clock.startTimer(waitMs, finish)
      record.waiters.add(finish)
    })
    return record.answer === undefined ? this.fetch(key, customer) : { kind: 'state', state: record.answer }
  }

  /** Sets the answer of a job and notifies all callers that wait for it. */
  finish (record: JobRecord, answer: JobAnswer): void {
    record.answer = answer
    this.records.delete(record.spec.key)
    this.registry.finish(record.spec.key, answer, this.clock.now())
    this.notifyWaiters(record)
  }

  /** Releases all waiting callers with the current state of their jobs. */
  stop (): void {
    for (const record of this.records.values()) this.notifyWaiters(record)
  }

  private notifyWaiters (record: JobRecord): void {
    for (const notify of [...record.waiters]) notify()
  }
}
