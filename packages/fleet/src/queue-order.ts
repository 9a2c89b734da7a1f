/** What the order of the queue depends on. Times are monotonic, in milliseconds. */
export interface QueuedJob {
  readonly id: string
  /** 0 is the most urgent. */
  readonly priority: number
  readonly objectiveAt: number
  readonly usefulUntil: number
  readonly acceptedAt: number
  /** Time that the job's waiting work still needs once it starts. */
  readonly remainingMs: number
  /** Whether tasks of the job have started. */
  readonly started: boolean
  /** Part of the job's tasks that wait for a start, from 0 to 1. */
  readonly waitingFraction: number
}

/** A late job of which at most this part waits costs less than the work that giving it up would waste. */
const nearlyDoneShare = 0.25

/** Whether a job can still be answered on time, late, or only too late to be of use. */
export type Urgency = 'on-time' | 'late' | 'useless'

/**
 * Judges what a job can still reach if it starts now.
 */
export function judgeUrgency (job: QueuedJob, now: number): Urgency {
  const end = now + job.remainingMs
  if (end <= job.objectiveAt) return 'on-time'
  return end <= job.usefulUntil ? 'late' : 'useless'
}

/**
 * Ranks a job for an overload; lower ranks go first. Late jobs whose last tasks wait count as those
 * that can be on time, and begun ones go before the other late ones: a job that was begun and then
 * waits until it is of no use has wasted its work.
 */
function rankJob (job: QueuedJob, now: number): number {
  const urgency = judgeUrgency(job, now)
  if (urgency === 'on-time') return 0
  if (urgency === 'useless') return 3
  if (job.started && job.waitingFraction <= nearlyDoneShare) return 0
  return job.started ? 1 : 2
}

/**
 * Decides which of two jobs of one urgency goes first: the operator's priority, then the earlier
 * objective. It answers an overload, in which not all jobs can be on time.
 *
 * @returns a negative number when `a` goes first
 */
export function compareJobs (a: QueuedJob, b: QueuedJob): number {
  return a.priority - b.priority || a.objectiveAt - b.objectiveAt || a.acceptedAt - b.acceptedAt
}

/**
 * Sorts jobs for an overload: jobs that can still be on time go first; a job that missed its
 * objective no longer delays those that can meet theirs.
 *
 * @returns a new list
 */
export function sortQueue<J extends QueuedJob> (jobs: readonly J[], now: number): J[] {
  return jobs
    .map(job => ({ job, rank: rankJob(job, now) }))
    .sort((a, b) => a.rank - b.rank || compareJobs(a.job, b.job))
    .map(entry => entry.job)
}
