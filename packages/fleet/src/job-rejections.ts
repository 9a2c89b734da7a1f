import { drainedRetryMs } from './drain-dispatch.js'
import { type RejectionReason } from './job-types.js'
import { type JobAnswer, type OwnedJob } from './owned-job.js'

/** Builds the answer to a rejected job; it is `rejected` only if no task of the job can have started. */
export function createRejection (job: OwnedJob, reason: RejectionReason): JobAnswer {
  return job.mayHaveStarted ? { kind: 'unknown', reason } : { kind: 'rejected', reason, retryAfterMs: job.retryAfterMs }
}

/** Builds the answer to a job that no domain takes because domains are drained; no target serves it for now. */
export function createDrainedRejection (job: OwnedJob): JobAnswer {
  return job.mayHaveStarted ? { kind: 'unknown', reason: 'no-target' } : { kind: 'rejected', reason: 'no-target', retryAfterMs: drainedRetryMs }
}
