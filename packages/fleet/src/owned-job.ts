import { type JobDemand } from './domain-choice.js'
import { type JobSpec, type RejectionReason } from './job-types.js'
import { type TaskLosses } from './target-losses.js'

/** Answer to the callers of a job. */
export type JobAnswer =
  | { readonly kind: 'completed' }
  | { readonly kind: 'failed', readonly reason: string }
  /** No task of the job has started, and none will. */
  | { readonly kind: 'rejected', readonly reason: RejectionReason | 'no-dispatcher', readonly retryAfterMs: number }
  /** Tasks may have started; the job is not continued. */
  | { readonly kind: 'unknown', readonly reason: string }

/** The dispatcher that has a job, by its domain, or none. */
export type JobLocation =
  | { readonly kind: 'none' }
  | ({ readonly kind: 'submitted' } & SubmissionRecord)
  | ({ readonly kind: 'withdrawing', readonly destination: string } & SubmissionRecord)

/** The last submission of a job to a dispatcher. */
export interface SubmissionRecord {
  readonly domain: string
  /** Token of the dispatcher. */
  readonly token: number
  readonly submissionId: number
  readonly submittedAt: number
  /** Whether no task of the job can have started before it was first submitted to this dispatcher. */
  readonly isFirstDispatcher: boolean
}

/** A job that this instance has accepted from a caller. */
export class OwnedJob {
  readonly spec: JobSpec
  readonly acceptedAt: number
  /** The same by the clock that counts suspensions. */
  readonly acceptedElapsed: number
  /** Time in milliseconds that the first caller waits for the answer. */
  readonly callerTimeoutMs: number
  readonly demand: JobDemand
  /** Completed tasks, by their index over all steps. */
  readonly done = new Set<number>()
  /** Targets that dispatchers have lost under the job's tasks. */
  losses: TaskLosses | undefined
  /** Domains whose dispatcher has rejected the job. */
  readonly rejectedBy = new Set<string>()
  location: JobLocation = { kind: 'none' }
  /** Whether a dispatcher has reported a start, or was lost while it had the job. */
  mayHaveStarted = false
  /** Shortest retry delay in milliseconds that a dispatcher sent with its rejection. */
  retryAfterMs = 0
  readonly #waiters = new Set<(answer: JobAnswer) => void>()

  constructor (spec: JobSpec, callerTimeoutMs: number, now: number, elapsed: number) {
    this.spec = spec
    this.callerTimeoutMs = callerTimeoutMs
    this.acceptedAt = now
    this.acceptedElapsed = elapsed
    this.demand = computeDemand(spec)
  }

  get waiterCount (): number { return this.#waiters.size }

  addWaiter (waiter: (answer: JobAnswer) => void): void {
    this.#waiters.add(waiter)
  }

  removeWaiter (waiter: (answer: JobAnswer) => void): void {
    this.#waiters.delete(waiter)
  }

  /** Sends the answer to all waiting callers and removes them. */
  answer (answer: JobAnswer): void {
    for (const waiter of this.#waiters) waiter(answer)
    this.#waiters.clear()
  }
}

/** Computes the demand of the steps that can start at once, and the largest single task. */
function computeDemand (spec: JobSpec): JobDemand {
  let processors = 0
  let largestTask = 0
  for (const step of spec.steps) {
    if (step.after.length === 0) processors += step.count * step.demand.processors
    largestTask = Math.max(largestTask, step.demand.processors)
  }
  return { processors, largestTask }
}
