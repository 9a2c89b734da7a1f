import { getEstimateMs, type QueuedJob } from './queue-order.js'

/** Queued work and throughput of a dispatcher, from which waits are predicted. */
export interface LoadEstimate {
  /** Work of tasks that start before the job's, in milliseconds times thousandths of a core. */
  readonly workAhead: number
  /** Work that the targets complete per millisecond, in thousandths of a core. */
  readonly throughput: number
}

/** Shortest retry delay in milliseconds that a rejected caller is told. */
const minRetryMs = 100

/** `predictedMs` is the predicted time until the job ends, `waitMs` the part of it before its first task starts. */
export type AdmissionDecision =
  | { readonly kind: 'admit', readonly predictedMs: number, readonly waitMs: number }
  | { readonly kind: 'reject', readonly predictedMs: number, readonly retryAfterMs: number }

/**
 * Predicts how long a job waits for its first task to start.
 *
 * @returns milliseconds; `Infinity` when there is work but no throughput
 */
export function predictWaitMs (load: LoadEstimate): number {
  if (load.workAhead <= 0) return 0
  return load.throughput > 0 ? load.workAhead / load.throughput : Infinity
}

/**
 * Decides whether a job is admitted. During an overload, a job whose answer would come too late to
 * be of use is rejected immediately, so that its caller knows early and its work does not delay
 * other jobs.
 *
 * @param runMs - predicted run time of the job once it starts, in milliseconds
 * @param usefulMs - time in milliseconds until the answer is of no use to the caller
 */
export function decideAdmission (load: LoadEstimate, runMs: number, usefulMs: number): AdmissionDecision {
  const waitMs = predictWaitMs(load)
  const predictedMs = waitMs + runMs
  if (predictedMs <= usefulMs) return { kind: 'admit', predictedMs, waitMs }
  const excessMs = Number.isFinite(predictedMs) ? predictedMs - usefulMs : 1_000
  return { kind: 'reject', predictedMs, retryAfterMs: Math.max(minRetryMs, Math.ceil(excessMs)) }
}

/** A queued job that is predicted to end too late to be of use. */
export interface ShedJob<J> {
  readonly job: J
  /** Predicted time in milliseconds until its first task starts. */
  readonly waitMs: number
}

/**
 * Selects queued jobs whose answers would come too late to be of use. After a burst of more urgent
 * jobs or a loss of targets, jobs that were admitted earlier are rejected immediately instead of
 * waiting in vain. Jobs that have started are never selected.
 *
 * @param sorted - queued jobs in the order in which they start
 * @param measureWork - returns the work of a job's tasks that have not started, in milliseconds
 *   times thousandths of a core
 * @param throughput - work that the targets complete per millisecond, in thousandths of a core
 * @param now - monotonic time in milliseconds
 * @param predictRemainingMs - predicts the run time of a job's unfinished steps in milliseconds; by the callers' estimates if absent
 */
export function selectJobsToShed<J extends QueuedJob & { readonly started: boolean }> (sorted: readonly J[], measureWork: (job: J) => number, throughput: number, now: number, predictRemainingMs: (job: J) => number = getEstimateMs): ReadonlyArray<ShedJob<J>> {
  const jobsToShed: Array<ShedJob<J>> = []
  let workAhead = 0
  for (const job of sorted) {
    const waitMs = predictWaitMs({ workAhead, throughput })
    if (job.started || now + waitMs + predictRemainingMs(job) <= job.usefulUntil) workAhead += measureWork(job)
    else jobsToShed.push({ job, waitMs })
  }
  return jobsToShed
}
