/** Work and service rate of a dispatcher, for the prediction of waits. */
export interface LoadEstimate {
  /** Work that goes before the job: queued and running, in processor milliseconds. */
  readonly workAheadMs: number
  /** Processor milliseconds that the targets do in a millisecond. */
  readonly ratePerMs: number
}

/** Shortest time in milliseconds after which a rejected caller is told to come back. */
const shortestRetryMs = 100

export type AdmissionDecision =
  | { readonly kind: 'admit', readonly predictedMs: number }
  | { readonly kind: 'reject', readonly predictedMs: number, readonly retryAfterMs: number }

/**
 * Predicts how long a job waits for its first task to start.
 *
 * @returns milliseconds; infinite when nothing serves
 */
export function predictWaitMs (load: LoadEstimate): number {
  if (load.workAheadMs <= 0) return 0
  return load.ratePerMs > 0 ? load.workAheadMs / load.ratePerMs : Infinity
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
  if (predictedMs <= leftMs) return { kind: 'admit', predictedMs }
  const excessMs = Number.isFinite(predictedMs) ? predictedMs - leftMs : 1_000
  return { kind: 'reject', predictedMs, retryAfterMs: Math.max(shortestRetryMs, Math.ceil(excessMs)) }
}
