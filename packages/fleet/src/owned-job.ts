import { type JobDemand } from './domain-choice.js'
import { type JobSpec, type RejectionReason } from './job-types.js'

/** What a caller is told. */
export type JobAnswer =
  | { readonly kind: 'completed' }
  | { readonly kind: 'failed', readonly reason: string }
  /** No task of the job has started, and none will. */
  | { readonly kind: 'rejected', readonly reason: RejectionReason | 'no-dispatcher', readonly retryAfterMs: number }
  /** Tasks may have started; the job does not go on. */
  | { readonly kind: 'unknown', readonly reason: string }

/** Where a job is. */
export type JobLocation =
  | { readonly kind: 'none' }
  | { readonly kind: 'submitted', readonly domain: string, readonly submittedAt: number }
  | { readonly kind: 'withdrawing', readonly domain: string, readonly destination: string }

/** A job that this instance accepted from a caller. */
export class OwnedJob {
  readonly spec: JobSpec
  readonly acceptedAt: number
  readonly callerTimeoutMs: number
  readonly need: JobDemand
  /** Tasks that ended `done`, by position. */
  readonly done = new Set<number>()
  /** Domains that rejected the job. */
  readonly rejectedBy = new Set<string>()
  location: JobLocation = { kind: 'none' }
  /** A dispatcher reported a start, or was lost while it had the job. */
  mayHaveStarted = false
  retryAfterMs = 0
  readonly #waiters = new Set<(answer: JobAnswer) => void>()

  constructor (spec: JobSpec, callerTimeoutMs: number, now: number) {
    this.spec = spec
    this.callerTimeoutMs = callerTimeoutMs
    this.acceptedAt = now
    this.need = computeNeed(spec)
  }

  get waiterCount (): number { return this.#waiters.size }

  addWaiter (waiter: (answer: JobAnswer) => void): void {
    this.#waiters.add(waiter)
  }

  removeWaiter (waiter: (answer: JobAnswer) => void): void {
    this.#waiters.delete(waiter)
  }

  /** Hands the answer to all callers that wait for it. */
  answer (answer: JobAnswer): void {
    for (const waiter of this.#waiters) waiter(answer)
    this.#waiters.clear()
  }
}

function computeNeed (spec: JobSpec): JobDemand {
  let processors = 0
  let largestTask = 0
  for (const step of spec.steps) {
    if (step.after.length === 0) processors += step.count * step.demand.processors
    largestTask = Math.max(largestTask, step.demand.processors)
  }
  return { processors, largestTask }
}
