import { type CancelledChanges, type CancelledEntry, type CancelledJobs } from './cancelled-jobs.js'
import { type DispatchState } from './dispatch-state.js'
import { type JobOutcome } from './job-types.js'
import { type Submission } from './messages.js'
import { type OwnerConnection } from './owner-registry.js'

/**
 * Time in milliseconds for which a dispatcher that doesn't know a job delays its answer. An owner that still has the job, or
 * is just submitting it, meets the record meanwhile: with a heartbeat (100 or 200 ms) or when it submits.
 */
const settleMs = 300

/** Time in milliseconds after a takeover within which owners reconnect and submit their jobs; before it "not known" means nothing. */
const adoptionMs = 700

/** Largest number of delayed answers. Beyond it the oldest is not given, so that the owner's caller asks again. */
const maxDelayedAnswers = 20_000

const cancelledOutcome: JobOutcome = { kind: 'failed', reason: 'cancelled' }

interface DelayedAnswer {
  readonly connection: OwnerConnection
  readonly jobId: string
  readonly dueAt: number
}

/** The part of a dispatcher that keeps cancelled jobs from running. */
export class CancellationIntake {
  readonly #state: DispatchState
  readonly #cancelled: CancelledJobs
  readonly #startedAt: number
  /** Answers that the job is not known, by owner and job. */
  readonly #delayed = new Map<string, DelayedAnswer>()
  /** Sequence number of the last change of the records that was applied to the jobs. */
  #appliedSequence = 0

  constructor (state: DispatchState, cancelled: CancelledJobs) {
    this.#state = state
    this.#cancelled = cancelled
    this.#startedAt = state.now()
  }

  /**
   * Cancels a job, whichever instance owns it, and keeps it from running if it arrives later.
   *
   * @param wasKnown - whether the sender knows that the job existed
   */
  cancel (connection: OwnerConnection, jobId: string, wasKnown: boolean): void {
    const now = this.#state.now()
    const record = this.#cancelled.find(jobId, now)
    const job = this.#state.jobs.get(jobId)
    if (job !== undefined) this.#state.endJob(job, cancelledOutcome)
    const runs = this.#stopRuns(new Set([jobId]))
    const found = wasKnown || job !== undefined || runs > 0 || record?.wasKnown === true
    this.#cancelled.record(jobId, found, now)
    const answerInMs = found ? 0 : Math.max(settleMs, this.#startedAt + adoptionMs - now)
    this.#state.log('job', 'cancellation-received', { job: jobId, owner: connection.ownerId, found, started: job?.started, runs, answerInMs: Math.round(answerInMs), dispatchingMs: Math.round(now - this.#startedAt), recordAgeMs: record === undefined ? undefined : Math.round(now - record.cancelledAt), records: this.#cancelled.size })
    if (found) connection.send({ type: 'cancelled-any', jobId, found })
    else this.#delayAnswer({ connection, jobId, dueAt: now + answerInMs })
  }

  /**
   * Refuses the submission of a cancelled job.
   *
   * @returns whether it was refused
   */
  refuse (connection: OwnerConnection, { job, submissionId }: Submission): boolean {
    const now = this.#state.now()
    const record = this.#cancelled.find(job.id, now)
    if (record === undefined) return false
    this.#cancelled.markKnown(job.id, now)
    const known = this.#state.jobs.get(job.id)
    if (known !== undefined) this.#state.endJob(known, cancelledOutcome)
    const runs = this.#stopRuns(new Set([job.id]))
    connection.send({ type: 'ended', jobId: job.id, outcome: cancelledOutcome, ...(submissionId === undefined ? {} : { submissionId }) })
    this.#state.metrics.countCancelledSubmission('dispatcher')
    this.#state.log('job', 'cancelled-job-refused', { job: job.id, by: 'dispatcher', owner: connection.ownerId, submission: submissionId, runs, recordAgeMs: Math.round(now - record.cancelledAt), wasKnown: record.wasKnown, records: this.#cancelled.size })
    return true
  }

  /** Adds the records that an owner has sent. */
  merge (entries: readonly CancelledEntry[]): void {
    this.#cancelled.merge(entries, this.#state.now())
  }

  /** @returns records that were added or changed since a sequence number, for the owners; 0 for all records */
  listChanges (sequence: number): CancelledChanges {
    return this.#cancelled.listChanges(sequence, this.#state.now())
  }

  /** Ends jobs whose cancellation was learned from another instance, and gives the delayed answers that are due. */
  check (now: number): void {
    const { entries, sequence } = this.#cancelled.listChanges(this.#appliedSequence, now)
    this.#appliedSequence = sequence
    if (entries.length > 0) this.#applyRecords(entries, now)
    for (const [key, { connection, jobId, dueAt }] of this.#delayed) {
      const found = this.#cancelled.find(jobId, now)?.wasKnown === true
      if (!found && now < dueAt) continue
      this.#delayed.delete(key)
      connection.send({ type: 'cancelled-any', jobId, found })
    }
  }

  #applyRecords (entries: readonly CancelledEntry[], now: number): void {
    for (const [jobId, recordAgeMs] of entries) {
      const job = this.#state.jobs.get(jobId)
      if (job === undefined) continue
      this.#cancelled.markKnown(jobId, now)
      this.#state.log('job', 'job-cancelled-by-record', { job: jobId, by: 'dispatcher', owner: job.ownerId, started: job.started, recordAgeMs, records: this.#cancelled.size })
      this.#state.endJob(job, cancelledOutcome)
    }
    this.#stopRuns(new Set(entries.map(([jobId]) => jobId)))
  }

  /**
   * Stops runs of jobs that no owner has submitted to this dispatcher.
   *
   * @returns number of runs of the jobs that were not being stopped before
   */
  #stopRuns (jobIds: ReadonlySet<string>): number {
    let count = 0
    for (const [task, { run }] of [...this.#state.runs]) {
      if (run.name === undefined || !jobIds.has(run.name.jobId) || run.state === 'stopping') continue
      this.#state.stopRunsOfTask(task)
      count++
    }
    return count
  }

  #delayAnswer (answer: DelayedAnswer): void {
    const key = `${answer.connection.ownerId} ${answer.jobId}`
    this.#delayed.delete(key)
    this.#delayed.set(key, answer)
    if (this.#delayed.size > maxDelayedAnswers) this.#delayed.delete(this.#delayed.keys().next().value!)
  }
}
