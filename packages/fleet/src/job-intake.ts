import { decideAdmission, selectJobsToShed } from './admission.js'
import { type DispatchState, type ReleaseEvidence } from './dispatch-state.js'
import { DispatchedJob } from './dispatched-job.js'
import { type DrainDispatch, drainedRetryMs } from './drain-dispatch.js'
import { type JobOutcome, type RejectionReason } from './job-types.js'
import { estimateLoad, sumWaitingWork } from './load-estimates.js'
import { LossTracker } from './loss-tracker.js'
import { type Submission } from './messages.js'
import { type OwnerConnection } from './owner-registry.js'
import { isEligible } from './placement.js'

/** Retry delay in milliseconds for a job that no listed target can run; also the longest for a job that is shed. */
const noTargetRetryMs = 1_000

/** Shortest retry delay in milliseconds that a caller is told. */
const minRetryMs = 100

const repeatedElsewhere: JobOutcome = { kind: 'unknown', reason: 'repeated-elsewhere' }

/** A request of an owner about one of its jobs. */
export interface OwnersRequest {
  readonly jobId: string
  readonly submissionId?: number
}

/** Admits, rejects, withdraws and cancels the jobs of one dispatcher. */
export class JobIntake {
  readonly #state: DispatchState
  readonly #lossTracker: LossTracker
  readonly #drain: DrainDispatch
  #closed = false

  constructor (state: DispatchState, drain: DrainDispatch) {
    this.#state = state
    this.#drain = drain
    this.#lossTracker = new LossTracker(state)
  }

  /** Rejects every new job from now on. */
  close (): void {
    this.#closed = true
  }

  /**
   * Handles the submission of a job. The owner is attached to a job that is known, and receives the
   * recorded outcome of a resubmitted job that has ended. Any other job is added or rejected.
   *
   * @param findReleaseEvidence - returns the evidence that tasks of the job without a known run
   *   cannot have one at any target, if there is any
   */
  handleSubmission (connection: OwnerConnection, submission: Submission, findReleaseEvidence: (job: DispatchedJob) => ReleaseEvidence | undefined): void {
    const state = this.#state
    const known = state.jobs.get(submission.job.id)
    if (known !== undefined) this.#noteEarlierRuns(connection, known, submission, findReleaseEvidence)
    if (this.#refuseEarlierOwner(connection, submission)) return
    if (known !== undefined) {
      this.#attachOwner(connection, known, submission)
      this.#lossTracker.mergeLosses(known, submission.losses)
      return
    }
    const outcome = submission.resubmitted ? state.findOutcome(submission.job.id) : undefined
    if (outcome !== undefined) {
      connection.send({ type: 'ended', jobId: submission.job.id, outcome, submissionId: submission.submissionId })
      return
    }
    const job = new DispatchedJob(submission, connection, state.now(), state.readElapsed())
    if (this.#lossTracker.mergeLosses(job, submission.losses)) return
    const hasKnownRuns = this.#adoptKnownRuns(job)
    if (this.#hasUnconfirmedStart(job)) {
      state.reply(job, { type: 'ended', jobId: job.id, outcome: { kind: 'unknown', reason: 'start-unconfirmed' } })
      return
    }
    if (hasKnownRuns) job.started = true
    else if (submission.resubmitted && this.#repeatRejection(job)) return
    if (!job.started) state.contention.floor.recordOffered(job, state.now())
    if (!job.started && this.#rejectUnlessAdmitted(job)) return
    this.#addJob(connection, job, findReleaseEvidence(job))
  }

  /** Returns a job to its owner if none of its tasks has started. */
  withdraw (connection: OwnerConnection, { jobId, submissionId }: OwnersRequest): void {
    const job = this.#findOwned(connection, jobId, submissionId)
    if (job === undefined || job.started) return
    this.#state.removeJob(job)
    this.#state.reply(job, { type: 'withdrawn', jobId })
  }

  /** Drops a job at the request of its owner. */
  cancel (connection: OwnerConnection, { jobId, submissionId }: OwnersRequest, reason: string): void {
    const job = this.#findOwned(connection, jobId, submissionId)
    if (job !== undefined) this.#state.dropJob(job, reason)
    else this.#logIgnoredCancellation(connection, jobId, submissionId)
  }

  /** Logs why a cancellation has no effect, unless the job has ended. */
  #logIgnoredCancellation (connection: OwnerConnection, jobId: string, submissionId: number | undefined): void {
    const known = this.#state.jobs.get(jobId)
    if (known === undefined) return
    this.#state.log('job', 'cancellation-ignored', { job: jobId, owner: connection.ownerId, submission: submissionId, holder: known.ownerId, newest: known.submissionId })
  }

  /**
   * Rejects queued jobs that have not started and are predicted to end too late to be of use, for
   * example because more urgent jobs came after their admission or targets were lost.
   */
  shedQueuedJobs (now: number): void {
    const { queue, contention } = this.#state
    if (queue.size === 0) return
    const sorted = contention.sortQueue([...queue], now)
    for (const service of new Set(sorted.map(job => job.spec.service))) {
      const throughput = this.#state.estimateThroughput(service)
      const jobs = sorted.filter(job => job.spec.service === service)
      for (const { job, waitMs } of selectJobsToShed(jobs, sumWaitingWork, throughput, now, contention.predictRemainingMs)) this.#shedJob(job, waitMs, now)
    }
  }

  #shedJob (job: DispatchedJob, waitMs: number, now: number): void {
    const { queue } = this.#state
    this.#state.removeJob(job)
    const retryAfterMs = Math.max(minRetryMs, Math.round(Math.min(waitMs, noTargetRetryMs)))
    this.#state.rejectJob(job, 'overloaded', retryAfterMs)
    this.#state.log('job', 'job-rejected', { job: job.id, reason: 'waited-too-long', retryAfterMs, waitMs: Math.round(waitMs), waitedMs: Math.round(now - job.acceptedAt), usefulMs: Math.round(job.usefulUntil - now), queued: queue.size, ...this.#state.contention.describeInputs(job) })
  }

  #addJob (connection: OwnerConnection, job: DispatchedJob, evidence: ReleaseEvidence | undefined): void {
    const state = this.#state
    state.jobs.set(job.id, job)
    state.forgetRejection(job)
    state.owners.trackOwner(connection.ownerId)
    if (job.isComplete) state.endJob(job, { kind: 'completed' })
    else if (evidence !== undefined) state.releaseUnlocatedTasks(job, evidence, { atSubmission: true })
    else if (job.tasks.some(task => task.state === 'unlocated')) state.unlocatedJobs.add(job)
    else if (job.hasStartableTask()) state.queue.add(job)
  }

  /** Another owner than the job's own may know of an earlier dispatcher that has started it. */
  #noteEarlierRuns (connection: OwnerConnection, job: DispatchedJob, { resubmitted, quietInMs }: Submission, findReleaseEvidence: (job: DispatchedJob) => ReleaseEvidence | undefined): void {
    if (!resubmitted || connection.ownerId === job.ownerId || findReleaseEvidence(job) === 'targets-polled') return
    job.markUnlocated(this.#state.now() + quietInMs)
    this.#state.queue.delete(job)
    this.#state.unlocatedJobs.add(job)
  }

  /**
   * Refuses a job whose caller has sent it again through another instance: this owner doesn't know yet that its
   * caller has left, and the job is the other one's.
   *
   * @returns whether the submission was refused
   */
  #refuseEarlierOwner (connection: OwnerConnection, { job, submissionId, ageMs, suspendedMs = 0 }: Submission): boolean {
    const { jobs } = this.#state
    const acceptedAt = this.#state.now() - ageMs - suspendedMs
    const known = jobs.get(job.id)
    // The owner of the repeat may have submitted the job first, after a takeover.
    if (known !== undefined && known.ownerId !== connection.ownerId && acceptedAt < known.ownerAcceptedAt) this.#state.recordRepeat(known)
    if (!this.#state.wasRepeatedElsewhere(job.id, connection.ownerId, acceptedAt)) return false
    this.#state.log('job', 'submission-refused', { job: job.id, owner: connection.ownerId, submission: submissionId, reason: 'repeated-elsewhere', ageMs: Math.round(ageMs) })
    connection.send({ type: 'ended', jobId: job.id, outcome: repeatedElsewhere, submissionId })
    return true
  }

  /** Hands a job over to the owner through which its caller has sent it again, or attaches its owner's next connection. */
  #attachOwner (connection: OwnerConnection, job: DispatchedJob, { submissionId, ageMs }: Submission): void {
    const isRepeat = connection.ownerId !== job.ownerId
    if (isRepeat) {
      job.ownerAcceptedAt = this.#state.now() - ageMs
      this.#state.reply(job, { type: 'ended', jobId: job.id, outcome: repeatedElsewhere })
    }
    this.#state.log('job', 'job-attached', { job: job.id, owner: connection.ownerId, previous: job.ownerId, ageMs: Math.round(this.#state.now() - job.acceptedAt) })
    job.connection = connection
    job.submissionId = submissionId
    if (isRepeat) this.#state.recordRepeat(job)
    this.#state.owners.trackOwner(connection.ownerId)
    if (job.started) connection.send({ type: 'started', jobIds: [job.id] })
    const done = job.listDone()
    if (done.length > 0) this.#state.reply(job, { type: 'progress', jobId: job.id, done })
  }

  /** @returns the job that a message of its owner is about; undefined if the job was submitted anew since the message was sent */
  #findOwned (connection: OwnerConnection, jobId: string, submissionId: number | undefined): DispatchedJob | undefined {
    const job = this.#state.jobs.get(jobId)
    return job?.ownerId === connection.ownerId && (submissionId === undefined || submissionId === job.submissionId) ? job : undefined
  }

  /**
   * Repeats the rejection of a job whose owner has submitted it again before it received the rejection.
   *
   * @returns whether there was one
   */
  #repeatRejection (job: DispatchedJob): boolean {
    const rejection = this.#state.findRejection(job)
    if (rejection === undefined) return false
    this.#reject(job, rejection.reason, rejection.retryAfterMs, { repeated: 1 })
    return true
  }

  /**
   * Marks tasks of a new job whose ends were listed as done, and adopts runs that targets list.
   *
   * @returns whether any run of the job was found
   */
  #adoptKnownRuns (job: DispatchedJob): boolean {
    const { unclaimedRuns, runs } = this.#state
    let isFound = false
    for (const task of job.tasks) {
      if (task.state === 'done') continue
      const active = runs.get(task.name)
      if (unclaimedRuns.takeDone(task.name)) {
        job.markDone(task)
      } else if (active !== undefined) {
        task.state = 'running'
        active.session.adoptRun(active.run, job.getStep(task).demand)
        unclaimedRuns.remove(task.name)
      } else {
        continue
      }
      isFound = true
    }
    return isFound
  }

  /**
   * @returns whether an unconfirmed start order of one of the job's tasks may still be carried out,
   *   so that the task must not start again
   */
  #hasUnconfirmedStart (job: DispatchedJob): boolean {
    return job.tasks.some(task => this.#state.runs.get(task.name)?.run.unconfirmed === true)
  }

  /**
   * Admits or rejects a job that has not started, and logs the decision.
   *
   * @returns whether the job was rejected
   */
  #rejectUnlessAdmitted (job: DispatchedJob): boolean {
    if (this.#closed) return this.#reject(job, 'stopping', minRetryMs, {})
    if (this.#drain.isDrained) return this.#rejectDrained(job)
    const { sessions, queue, contention } = this.#state
    const problem = this.#findPlacementProblem(job)
    if (problem !== undefined) return this.#reject(job, problem, noTargetRetryMs, { targets: sessions.size })
    const now = this.#state.now()
    const throughput = this.#state.estimateThroughput(job.spec.service)
    const load = estimateLoad(queue, throughput, job, contention.createComparison(job.spec.service, now))
    // With work ahead of the job, its own tasks start one after the other as capacity becomes free.
    const ownWorkMs = load.workAhead > 0 && throughput > 0 ? sumWaitingWork(job) / throughput : 0
    const { delayPerJobMs } = this.#state.processingDelay
    const decision = decideAdmission(load, contention.predictRemainingMs(job) + ownWorkMs + delayPerJobMs, job.usefulUntil - now)
    const inputs = { predictedMs: Math.round(decision.predictedMs), usefulMs: Math.round(job.usefulUntil - now), queued: queue.size, rate: Math.round(throughput), delayMs: Math.round(delayPerJobMs), ...contention.describeInputs(job) }
    if (decision.kind === 'reject') return this.#reject(job, 'overloaded', decision.retryAfterMs, inputs)
    job.predictedWaitMs = decision.waitMs
    this.#state.log('job', 'job-admitted', { job: job.id, ...inputs, waitMs: Math.round(decision.waitMs) })
    return false
  }

  #rejectDrained (job: DispatchedJob): true {
    this.#state.metrics.countDrainedJob('rejected')
    return this.#reject(job, 'draining', drainedRetryMs, { revision: this.#drain.revision ?? 0 })
  }

  #findPlacementProblem (job: DispatchedJob): RejectionReason | undefined {
    const targets = [...this.#state.sessions.values()].map(session => session.info).filter(info => info.service === job.spec.service)
    if (targets.length === 0) return 'no-target'
    const isFit = job.spec.steps.every(step => targets.some(info => isEligible(info, job.spec.service, step)))
    return isFit ? undefined : 'fits-no-target'
  }

  #reject (job: DispatchedJob, reason: RejectionReason, retryAfterMs: number, inputs: Readonly<Record<string, number>>): true {
    this.#state.rejectJob(job, reason, retryAfterMs)
    this.#state.log('job', 'job-rejected', { job: job.id, reason, retryAfterMs, ...inputs })
    return true
  }
}
