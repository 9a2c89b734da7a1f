import { type CancelledChanges, type CancelledEntry, type CancelledJobs, maxCancelledJobs } from './cancelled-jobs.js'
import { type DispatchState } from './dispatch-state.js'
import { type JobOutcome } from './job-types.js'
import { type Submission } from './messages.js'
import { type OwnerConnection } from './owner-registry.js'
import { RecentRecords } from './recent-records.js'

/**
 * Time in milliseconds after which every owner must have been heard before a job is called unknown. An owner that still has the
 * job, or is just submitting it, meets the record meanwhile, with a heartbeat (100 or 200 ms) or when it submits, and reports it.
 */
const settleMs = 300

/** Time in milliseconds after a takeover within which owners reconnect and submit their jobs. Until then a job that is not known may exist. */
const adoptionMs = 700

/**
 * Time in milliseconds for which an owner without a connection counts as one behind a partition, which may submit its jobs to a
 * successor. Within it the successor's polls would have ended this dispatcher; after it the owner counts as ended.
 */
const lostOwnerMs = 3_000

/** Number of owners that must have a record before its cancellation is answered. One may be in the dispatcher's own process. */
const requiredOwners = 2

/** Time in milliseconds for which a dropped job stays known; its owner may return as long as its caller waits. */
const droppedRetentionMs = 10_000

const cancelledOutcome: JobOutcome = { kind: 'failed', reason: 'cancelled' }

/** An answer to a cancellation that is not due yet. */
interface DelayedAnswer {
  readonly connection: OwnerConnection
  readonly jobId: string
  /** Time of the cancellation, by the clock that counts suspensions. */
  readonly receivedElapsed: number
  readonly isKnown: boolean
  /** Time from which the job counts as not known. */
  readonly unknownAt: number
}

/** A job that was dropped although its owner may still have it. */
interface DroppedJob {
  /** Undefined for a job that was known by its runs only. */
  readonly ownerId: string | undefined
}

/** Times by the clock that counts suspensions until which owners have received everything that was sent to them. */
interface OwnerConfirmations {
  /** By the ids of all owners that were connected lately; `-Infinity` for those that are not now. */
  readonly byOwner: ReadonlyMap<string, number>
  /** The time that the required number of owners has reached. */
  readonly required: number
  /** The time that all owners have reached, apart from those that have closed their connection or ended. */
  readonly all: number
}

/**
 * The part of a dispatcher that keeps cancelled jobs from running. It answers a cancellation only once the record would survive
 * the loss of this process: other owners have received it, and the job's own owner has it or has ended.
 */
export class CancellationIntake {
  readonly #state: DispatchState
  readonly #cancelled: CancelledJobs
  readonly #startedAt: number
  /** Answers that wait for owners, or for the time after which the job is not known, by owner and job. */
  readonly #delayed = new Map<string, DelayedAnswer>()
  /** Time at which each owner was last connected. */
  readonly #ownersSeenAt = new Map<string, number>()
  /** Owners that have closed their connection or ended; one that is paused or cut off can't. */
  readonly #closedOwners = new Set<string>()
  /** Jobs that were cancelled, or dropped because their owner was lost or never appeared. */
  readonly #dropped = new RecentRecords<DroppedJob>(droppedRetentionMs, maxCancelledJobs)
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
    if (job !== undefined) {
      this.noteDropped(jobId, job.ownerId)
      this.#state.endJob(job, cancelledOutcome)
    }
    const runs = this.#stopRuns(new Set([jobId]))
    if (runs > 0) this.noteDropped(jobId, undefined)
    const dropped = this.#dropped.find(jobId)
    const found = wasKnown || dropped !== undefined || record?.wasKnown === true
    // The job is published as known only with the answer, as others answer at once for a job that is.
    this.#cancelled.record(jobId, wasKnown, now)
    const unknownInMs = Math.max(settleMs, this.#startedAt + adoptionMs - now)
    this.#state.log('job', 'cancellation-received', { job: jobId, owner: connection.ownerId, found, started: job?.started, runs, dropped: dropped !== undefined, unknownInMs: found ? undefined : Math.round(unknownInMs), dispatchingMs: Math.round(now - this.#startedAt), recordAgeMs: record === undefined ? undefined : Math.round(now - record.cancelledAt), records: this.#cancelled.size })
    this.#delayAnswer({ connection, jobId, receivedElapsed: this.#state.readElapsed(), isKnown: found, unknownAt: now + unknownInMs })
  }

  /**
   * Refuses the submission of a cancelled job.
   *
   * @returns whether it was refused
   */
  refuse (connection: OwnerConnection, { job, submissionId }: Submission): boolean {
    const now = this.#state.now()
    const record = this.#cancelled.find(job.id, now)
    if (record === undefined) {
      // From now on the job itself shows whether it is known.
      this.#dropped.forget(job.id)
      return false
    }
    this.#cancelled.markKnown(job.id, now)
    this.noteDropped(job.id, connection.ownerId)
    const known = this.#state.jobs.get(job.id)
    if (known !== undefined) this.#state.endJob(known, cancelledOutcome)
    const runs = this.#stopRuns(new Set([job.id]))
    connection.send({ type: 'ended', jobId: job.id, outcome: cancelledOutcome, ...(submissionId === undefined ? {} : { submissionId }) })
    this.#state.metrics.countCancelledSubmission('dispatcher')
    this.#state.log('job', 'cancelled-job-refused', { job: job.id, by: 'dispatcher', owner: connection.ownerId, submission: submissionId, runs, recordAgeMs: Math.round(now - record.cancelledAt), wasKnown: record.wasKnown, records: this.#cancelled.size })
    return true
  }

  /**
   * Notes that a job is dropped although its owner may still have it.
   *
   * @param ownerId - undefined if the job was known by its runs only
   */
  noteDropped (jobId: string, ownerId: string | undefined): void {
    if (ownerId === undefined && this.#dropped.find(jobId) !== undefined) return
    this.#dropped.record(jobId, { ownerId }, this.#state.now())
  }

  /** Notes the end of an owner's connection. */
  noteOwnerClosed ({ ownerId, isSilent }: OwnerConnection): void {
    if (!isSilent) this.#closedOwners.add(ownerId)
  }

  /** Adds the records that an owner has sent. */
  merge (entries: readonly CancelledEntry[]): void {
    this.#cancelled.merge(entries, this.#state.now())
  }

  /** @returns all records, for an owner that has just connected */
  listAll (): readonly CancelledEntry[] {
    return this.#cancelled.listAll(this.#state.now())
  }

  /** @returns records that were added or changed since a sequence number, for the owners */
  listChanges (sequence: number): CancelledChanges {
    return this.#cancelled.listChanges(sequence, this.#state.now())
  }

  /** Ends jobs whose cancellation was learned from another instance, and gives the delayed answers that are due. */
  check (now: number): void {
    const { entries, sequence } = this.#cancelled.listChanges(this.#appliedSequence, now)
    this.#appliedSequence = sequence
    this.#dropped.expire(now)
    if (entries.length > 0) this.#applyRecords(entries, now)
    const confirmations = this.#readConfirmations(now)
    for (const [key, answer] of this.#delayed) {
      const found = answer.isKnown || this.#cancelled.find(answer.jobId, now)?.wasKnown === true
      const isDue = found ? this.#isHeld(answer, confirmations) : now >= answer.unknownAt && confirmations.all > answer.receivedElapsed + settleMs
      if (!isDue) continue
      this.#delayed.delete(key)
      if (found) this.#cancelled.markKnown(answer.jobId, now)
      answer.connection.send({ type: 'cancelled-any', jobId: answer.jobId, found })
    }
  }

  /** @returns whether the record of a known job outlives this process, and the job's owner has it or has ended */
  #isHeld ({ jobId, receivedElapsed }: DelayedAnswer, { byOwner, required }: OwnerConfirmations): boolean {
    const ownerId = this.#dropped.find(jobId)?.ownerId
    const ownerReachedAt = ownerId === undefined ? undefined : byOwner.get(ownerId)
    return required > receivedElapsed && (ownerReachedAt === undefined || ownerReachedAt > receivedElapsed)
  }

  /**
   * Reads until when owners have received everything. A dispatcher that reaches only one owner and no target may be cut off
   * from everything, so that it can confirm nothing.
   */
  #readConfirmations (now: number): OwnerConfirmations {
    const connected = this.#state.owners.listConnected()
    for (const ownerId of connected.keys()) {
      this.#ownersSeenAt.set(ownerId, now)
      this.#closedOwners.delete(ownerId)
    }
    for (const [ownerId, seenAt] of this.#ownersSeenAt) if (now - seenAt > lostOwnerMs) this.#ownersSeenAt.delete(ownerId)
    for (const ownerId of this.#closedOwners) if (!this.#ownersSeenAt.has(ownerId)) this.#closedOwners.delete(ownerId)
    const byOwner = new Map([...this.#ownersSeenAt.keys()].map(ownerId => [ownerId, connected.get(ownerId) ?? -Infinity]))
    const sorted = [...byOwner.values()].sort((a, b) => b - a)
    const sessions = [...this.#state.sessions.values()]
    if (sorted.length < requiredOwners && sessions.length > 0 && sessions.every(session => session.isSilent)) return { byOwner, required: -Infinity, all: -Infinity }
    const required = sorted[Math.min(requiredOwners, sorted.length) - 1] ?? -Infinity
    const open = [...byOwner].filter(([ownerId]) => !this.#closedOwners.has(ownerId)).map(([, reachedAt]) => reachedAt)
    return { byOwner, required, all: Math.min(required, ...open) }
  }

  /** Ends the jobs, and stops the runs, of records that another instance has sent. */
  #applyRecords (entries: readonly CancelledEntry[], now: number): void {
    for (const [jobId, recordAgeMs] of entries) {
      const job = this.#state.jobs.get(jobId)
      if (job === undefined) continue
      this.noteDropped(jobId, job.ownerId)
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
    const earlier = this.#delayed.get(key)
    // The times of the first cancellation count, so that repeats don't put the answer off.
    this.#delayed.set(key, earlier === undefined ? answer : { ...earlier, connection: answer.connection, isKnown: earlier.isKnown || answer.isKnown })
    // The caller of the oldest gets no answer from here, and asks again.
    if (this.#delayed.size > maxCancelledJobs) this.#delayed.delete(this.#delayed.keys().next().value!)
  }
}
