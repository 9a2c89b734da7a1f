import { type Demand } from './resources.js'

/** One unit of work of a job. */
export interface TaskSpec {
  /** Name of the kind of work; run times are estimated separately for each kind. */
  readonly kind: string
  /** Data for the target, passed on unchanged. */
  readonly payload: unknown
  readonly demand: Demand
  /** Declared run time in milliseconds; only an initial estimate for scheduling. */
  readonly expectedMs: number
  /** Maximum run time in milliseconds, after which the target stops the task. */
  readonly timeoutMs: number
}

/** A submitted job in the form in which its owner admits it. */
export interface JobSpec {
  /** Text form of the key. */
  readonly key: string
  readonly customer: string
  /** Whether a task may be started again after its earlier attempt is proven to have ended. */
  readonly repeatable: boolean
  readonly tasks: readonly TaskSpec[]
}

/** Why a job failed as a whole. */
export interface JobFailure {
  /** Result code, see `resultCodes`. */
  readonly code: number
  readonly message: string
  /** Index of the task that failed first, when a task caused the failure. */
  readonly taskIndex?: number
}

/** The final answer to a job: either the results of all tasks or a failure, never partial results. */
export type JobAnswer =
  | { readonly state: 'complete', readonly key: string, readonly results: readonly unknown[] }
  | { readonly state: 'failed', readonly key: string, readonly failure: JobFailure }

/** The state of a job that a caller gets when it submits or fetches the job. */
export type JobState =
  | JobAnswer
  | { readonly state: 'running', readonly key: string, readonly done: number, readonly total: number }

/** Maximum lease of a task in milliseconds. */
export const maxTaskLeaseMs = 10_000

/** Maximum time in milliseconds between the decision to start a task and its start at the target. */
export const startWindowMs = 1_000

export const maxTasksPerJob = 10_000

/** Maximum number of keys that one request may ask for. */
export const maxKeysPerBlock = 1_000
