import { type QueuedJob } from './queue-order.js'

/** Work and service rate of a dispatcher, for the prediction of waits. */
export interface LoadEstimate {
  /** Work that goes before the job: queued and running, in processor milliseconds. */
  readonly workAhead: number
  /** Processor milliseconds that the targets do in a millisecond. */
  readonly throughput: number
}

/** Shortest time in milliseconds after which a rejected caller is told to come back. */
const shortestRetryMs = 100

/** `predictedMs` is the time to the job's end, `waitMs` the part of it before its first start. */
export type AdmissionDecision =
  | { readonly kind: 'admit', readonly predictedMs: number, readonly waitMs: number }
  | { readonly kind: 'reject', readonly predictedMs: number, readonly retryAfterMs: number }

/**
 * Predicts how long a job waits for its first task to start.
 *
 * @returns milliseconds; infinite when nothing serves
 */
export function predictWaitMs (load: LoadEstimate): number {
  if (load.workAhead <= 0) return 0
  return load.throughput > 0 ? load.workAhead / load.throughput : Infinity
}

/**
 * Decides whether a job is taken. Under an overload a job whose answer would come too late to be
 * of use is rejected at once: its caller hears it early, and its work doesn't make others late.
 *
 * @param runMs - predicted run time of the job once it starts
 * @param leftMs - time until the answer is of no use
 */
export function decideAdmission (load: LoadEstimate, runMs: number, leftMs: number): AdmissionDecision {
  const waitMs = predictWaitMs(load)
  const predictedMs = waitMs + runMs
  if (predictedMs <= leftMs) return { kind: 'admit', predictedMs, waitMs }
  const excessMs = Number.isFinite(predictedMs) ? predictedMs - leftMs : 1_000
  return { kind: 'reject', predictedMs, retryAfterMs: Math.max(shortestRetryMs, Math.ceil(excessMs)) }
}

/** A queued job that can't be of use any more. */
export interface ShedJob<J> {
  readonly job: J
  /** Predicted time until its first start. */
  readonly waitMs: number
}

/**
 * Lists queued jobs whose answers would come too late to be of use. It answers bursts of more
 * urgent jobs and losses of targets: jobs that were admitted before them are told at once instead
 * of waiting for nothing. A job that has started is never given up here.
 *
 * @param sorted - queued jobs in the order in which they start
 * @param measureWork - work of a job that has not started, in processor milliseconds
 * @param ratePerMs - processor milliseconds that the targets do in a millisecond
 */
export function selectJobsToShed<J extends QueuedJob & { readonly started: boolean }> (sorted: readonly J[], measureWork: (job: J) => number, ratePerMs: number, now: number): ReadonlyArray<ShedJob<J>> {
  const hopeless: Array<ShedJob<J>> = []
  let workAheadMs = 0
  for (const job of sorted) {
    const waitMs = predictWaitMs({ workAhead: workAheadMs, throughput: ratePerMs })
    if (job.started || now + waitMs + job.remainingMs <= job.usefulUntil) workAheadMs += measureWork(job)
    else hopeless.push({ job, waitMs })
  }
  return hopeless
}
