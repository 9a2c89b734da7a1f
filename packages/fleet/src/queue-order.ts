/** The properties of a job that determine its place in the queue. Times are monotonic, in milliseconds. */
export interface QueuedJob {
  readonly id: string
  /** 0 is the most urgent. */
  readonly priority: number
  /** Time until which the answer is on time. */
  readonly objectiveAt: number
  /** Time until which a late answer is still of use. */
  readonly usefulUntil: number
  readonly acceptedAt: number
  /** Estimated run time of the job's unfinished steps, in milliseconds. */
  readonly remainingMs: number
  /** Whether tasks of the job have started or may have started. */
  readonly started: boolean
  /** Fraction of the job's tasks that wait for a start, from 0 to 1. */
  readonly waitingFraction: number
}

/** A late job of which at most this fraction waits takes less work to finish than would be wasted by giving it up. */
const nearlyDoneFraction = 0.25

/** @returns the run time of the job's unfinished steps by the caller's estimate, in milliseconds */
export function getEstimateMs (job: QueuedJob): number {
  return job.remainingMs
}

/** Whether a job can still be answered on time, late but usefully, or only too late to be of use. */
export type Urgency = 'on-time' | 'late' | 'useless'

/**
 * Classifies a job by the time at which it would end if it continued now.
 *
 * @param remainingMs - predicted run time of the job's unfinished steps, in milliseconds
 */
export function classifyUrgency (job: QueuedJob, now: number, remainingMs = job.remainingMs): Urgency {
  const end = now + remainingMs
  if (end <= job.objectiveAt) return 'on-time'
  return end <= job.usefulUntil ? 'late' : 'useless'
}

/**
 * Ranks a job for an overload; lower ranks go first. Started late jobs of which only the last tasks
 * wait rank with the jobs that can be on time, and other started ones before the rest of the late
 * jobs: a started job that waits until it is of no use has wasted its work.
 */
function rankJob (job: QueuedJob, now: number, remainingMs: number): number {
  const urgency = classifyUrgency(job, now, remainingMs)
  if (urgency === 'on-time') return 0
  if (urgency === 'useless') return 3
  if (job.started && job.waitingFraction <= nearlyDoneFraction) return 0
  return job.started ? 1 : 2
}

/**
 * Orders two jobs of the same rank by the operator's priority, then by the earlier objective, then
 * by the earlier acceptance. The order matters in an overload, when not all jobs can be on time.
 *
 * @returns a negative number when `a` goes first
 */
export function compareJobs (a: QueuedJob, b: QueuedJob): number {
  return a.priority - b.priority || a.objectiveAt - b.objectiveAt || a.acceptedAt - b.acceptedAt
}

/**
 * Orders two jobs by when they start in an overload, as `sortQueue` does.
 *
 * @param predictRemainingMs - predicts the run time of a job's unfinished steps in milliseconds
 * @returns a negative number when `a` goes first
 */
export function compareInOverload<J extends QueuedJob> (a: J, b: J, now: number, predictRemainingMs: (job: J) => number): number {
  return rankJob(a, now, predictRemainingMs(a)) - rankJob(b, now, predictRemainingMs(b)) || compareJobs(a, b)
}

/**
 * Sorts jobs for an overload: jobs that can still be on time go first, so that a job that can no
 * longer meet its objective does not delay those that can.
 *
 * @param predictRemainingMs - predicts the run time of a job's unfinished steps in milliseconds; by the callers' estimates if absent
 * @returns a new list
 */
export function sortQueue<J extends QueuedJob> (jobs: readonly J[], now: number, predictRemainingMs: (job: J) => number = getEstimateMs): J[] {
  return jobs
    .map(job => ({ job, rank: rankJob(job, now, predictRemainingMs(job)) }))
    .sort((a, b) => a.rank - b.rank || compareJobs(a.job, b.job))
    .map(entry => entry.job)
}
