/** What the order of the queue depends on. Times are monotonic, in milliseconds. */
export interface QueuedJob {
  readonly id: string
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
 * Sorts jobs for an overload: jobs that can still be on time go first, by their objective; a job
 * that missed it no longer delays those that can meet theirs.
 *
 * @returns a new list
 */
export function sortQueue<J extends QueuedJob> (jobs: readonly J[], now: number): J[] {
  return jobs
    .map(job => ({ job, rank: urgencyRank[judgeUrgency(job, now)] }))
    .sort((a, b) => a.rank - b.rank || a.job.objectiveAt - b.job.objectiveAt || a.job.acceptedAt - b.job.acceptedAt)
    .map(entry => entry.job)
}
