/** What the order of the queue depends on. Times are monotonic, in milliseconds. */
export interface QueuedJob {
  readonly id: string
  /** 0 is the most urgent. */
  readonly priority: number
  readonly objectiveAt: number
  readonly usefulAt: number
  readonly acceptedAt: number
  /** Time that the job's waiting work still needs once it starts. */
  readonly remainingMs: number
}

/** Whether a job can still be answered on time, late, or only too late to be of use. */
export type Urgency = 'on-time' | 'late' | 'useless'

/**
 * Judges what a job can still reach if it starts now.
 */
export function judgeUrgency (job: QueuedJob, now: number): Urgency {
  const end = now + job.remainingMs
  if (end <= job.objectiveAt) return 'on-time'
  return end <= job.usefulAt ? 'late' : 'useless'
}

const urgencyRank: Readonly<Record<Urgency, number>> = { 'on-time': 0, late: 1, useless: 2 }

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
    .map(job => ({ job, rank: urgencyRank[judgeUrgency(job, now)] }))
    .sort((a, b) => a.rank - b.rank || compareJobs(a.job, b.job))
    .map(entry => entry.job)
}
