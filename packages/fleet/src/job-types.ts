import { type Demand } from '@sesamereel/state'

/** A group of equal tasks of a job. */
export interface StepSpec {
  readonly count: number
  readonly demand: Demand
  /** The caller's estimate of one task's run time in milliseconds. */
  readonly estimateMs: number
  /** Indexes of the steps whose tasks must all be done before a task of this step starts. */
  readonly after: readonly number[]
  /** Label that a target must have. */
  readonly requiredLabel?: string
  /** Label of the rack that holds the data. */
  readonly dataRack?: string
  /** Maximum number of the step's tasks at one target at a time. */
  readonly maxPerTarget?: number
}

/** A job as its owner submits it to a dispatcher. */
export interface JobSpec {
  readonly id: string
  /** Service whose targets run the tasks. */
  readonly service: string
  /** Specification that start orders pass to the targets unchanged. */
  readonly payload: string
  readonly steps: readonly StepSpec[]
  /** 0 is the most urgent. */
  readonly priority: number
  /** Number of failures of one task at which the job fails. */
  readonly maxAttempts: number
  /** Time in milliseconds after acceptance within which the answer is on time. */
  readonly objectiveMs: number
  /** Time in milliseconds after acceptance from which the answer is of no use to the caller. */
  readonly usefulMs: number
}

/** Outcome of a job that a dispatcher has ended. */
export type JobOutcome =
  | { readonly kind: 'completed' }
  | { readonly kind: 'failed', readonly reason: 'attempts-used' | 'fits-no-target' | 'cancelled' | 'targets-lost' }
  /** Tasks may have started, and the job is not continued for this owner; `repeated-elsewhere`: its caller has sent it again through another instance; `draining`: its remaining tasks may not start, as the domain is drained. */
  | { readonly kind: 'unknown', readonly reason: 'start-unconfirmed' | 'repeated-elsewhere' | 'draining' }

/** Reason why a dispatcher rejected a job. */
export type RejectionReason = 'overloaded' | 'not-dispatching' | 'stopping' | 'no-target' | 'fits-no-target' | 'draining'

/** Parts of a task's name, which identifies the task in the orders to targets. */
export interface TaskName {
  readonly jobId: string
  readonly step: number
  readonly index: number
}

/**
 * Formats the name of a task.
 *
 * @returns `JOB.OCCURRENCE.STEP.INDEX`; the occurrence is 0, as jobs run once
 */
export function formatTaskName (jobId: string, step: number, index: number): string {
  return `${jobId}.0.${step}.${index}`
}

/**
 * Parses the name of a task.
 *
 * @returns undefined when the text is not the name of a task
 */
export function parseTaskName (text: string): TaskName | undefined {
  const parts = text.split('.')
  const step = Number(parts[2])
  const index = Number(parts[3])
  if (parts.length !== 4 || parts[0] === '' || !Number.isInteger(step) || !Number.isInteger(index)) return undefined
  return { jobId: parts[0]!, step, index }
}

/**
 * Estimates the shortest possible run time of a job: that of its longest chain of dependent steps.
 *
 * @returns milliseconds
 */
export function estimateCriticalPathMs (steps: readonly StepSpec[]): number {
  const ends: number[] = []
  for (const step of steps) {
    let begin = 0
    for (const earlier of step.after) begin = Math.max(begin, ends[earlier] ?? 0)
    ends.push(begin + step.estimateMs)
  }
  return Math.max(0, ...ends)
}
