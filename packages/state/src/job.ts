import { type Demand } from './resources.js'

/** One unit of work of a job. */
export interface TaskSpec {
  /** Names the kind of work; run times are learned for each kind. */
  readonly kind: string
  /** Passed to the target unchanged. */
  readonly payload: unknown
  readonly demand: Demand
  /** Declared run time in milliseconds; only a first guess for scheduling. */
  readonly expectedMs: number
  /** Longest run time in milliseconds; the target stops the task after it. */
  readonly timeoutMs: number
}

/** A submission as the owner admits it. */
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

/** The final answer to a job: whole or failed, never partial. */
export type JobAnswer =
  | { readonly state: 'complete', readonly key: string, readonly results: readonly unknown[] }
  | { readonly state: 'failed', readonly key: string, readonly failure: JobFailure }

/** What a caller learns when it submits or fetches. */
export type JobState =
  | JobAnswer
  | { readonly state: 'running', readonly key: string, readonly done: number, readonly total: number }

/** Longest lease of a task in milliseconds. */
export const maxTaskLeaseMs = 10_000

/** Longest time in milliseconds between the decision to start a task and its start at the target. */
export const startWindowMs = 1_000

export const maxTasksPerJob = 10_000

export const maxKeysPerBlock = 1_000
