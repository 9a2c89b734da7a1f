import { decideAdmission, selectJobsToShed } from './admission.js'
import { type DispatchState } from './dispatch-state.js'
import { DispatchedJob } from './dispatched-job.js'
import { type RejectionReason } from './job-types.js'
import { estimateLoad, estimateThroughput, sumWaitingWork } from './load-estimates.js'
import { type Submission } from './messages.js'
import { type OwnerConnection } from './owner-registry.js'
import { isEligible } from './placement.js'
import { sortQueue } from './queue-order.js'

/** Retry time in milliseconds for a job that no target can hold now. */
const unfitRetryMs = 1_000

/** Shortest retry time in milliseconds that a caller is told. */
const shortestRetryMs = 100

/** Takes in, rejects and gives back the jobs of one dispatcher. */
export class JobIntake {
  readonly #state: DispatchState
  #closed = false

  constructor (state: DispatchState) {
    this.#state = state
  }

  /** Rejects every new job from now on. */
  close (): void {
    this.#closed = true
  }

  /**
   * Takes in a job, or attaches its owner to the job of this id.
   *
   * @param isQuiet - decides whether tasks of the job without a known run have surely none
   */
  accept (port: OwnerConnection, submission: Submission, isQuiet: (job: DispatchedJob) => boolean): void {
    const state = this.#state
    const known = state.jobs.get(submission.job.id)
    if (known !== undefined) {
      this.#attachOwner(port, known)
      return
    }
    const outcome = submission.resubmitted ? state.findOutcome(submission.job.id) : undefined
    if (outcome !== undefined) {
      port.send({ type: 'ended', jobId: submission.job.id, outcome })
      return
    }
    const job = new DispatchedJob(submission, port.ownerId, state.now())
    if (this.#locateRuns(job)) job.started = true
    if (this.#isBlocked(job)) {
      port.send({ type: 'ended', jobId: job.id, outcome: { kind: 'unknown', reason: 'start-unconfirmed' } })
      return
    }
    if (!job.started && this.#decideRejection(port, job)) return
    this.#addJob(port, job, isQuiet(job))
  }

  /** Gives a job back to its owner if nothing of it has started. */
  withdraw (port: OwnerConnection, jobId: string): void {
    const job = this.#state.jobs.get(jobId)
    if (job === undefined || job.started || job.ownerId !== port.ownerId) return
    this.#state.removeJob(job)
    port.send({ type: 'withdrawn', jobId })
  }

  /** Drops a job whose owner no longer wants it. */
  cancel (port: OwnerConnection, jobId: string, reason: string): void {
    const job = this.#state.jobs.get(jobId)
    if (job?.ownerId === port.ownerId) this.#state.dropJob(job, reason)
  }

  /** Drops a job whoever owns it, and tells whether it was known. */
  cancelAny (port: OwnerConnection, jobId: string): void {
    const job = this.#state.jobs.get(jobId)
    if (job !== undefined) this.#state.dropJob(job, 'cancelled by a caller')
    port.send({ type: 'cancelled-any', jobId, found: job !== undefined })
  }

  /**
   * Rejects queued jobs that have not started and can't be of use any more, also because of what
   * goes before them by now: after their admission more urgent jobs came, or targets were lost.
   */
  shedQueuedJobs (now: number): void {
    const { queue, sessions } = this.#state
    if (queue.size === 0) return
    const sorted = sortQueue([...queue], now)
    for (const service of new Set(sorted.map(job => job.spec.service))) {
      const ratePerMs = estimateThroughput(sessions.values(), service)
      const jobs = sorted.filter(job => job.spec.service === service)
      for (const { job, waitMs } of selectJobsToShed(jobs, sumWaitingWork, ratePerMs, now)) this.#rejectQueued(job, waitMs, now)
    }
  }

  #rejectQueued (job: DispatchedJob, waitMs: number, now: number): void {
    const { queue, owners } = this.#state
    this.#state.removeJob(job)
    const retryAfterMs = Math.max(shortestRetryMs, Math.round(Math.min(waitMs, unfitRetryMs)))
    owners.send(job.ownerId, { type: 'rejected', jobId: job.id, reason: 'overloaded', retryAfterMs })
    this.#state.log('job', 'job-rejected', { job: job.id, reason: 'waited-too-long', retryAfterMs, waitMs: Math.round(waitMs), waitedMs: Math.round(now - job.acceptedAt), usefulMs: Math.round(job.usefulUntil - now), queued: queue.size })
  }

  #addJob (port: OwnerConnection, job: DispatchedJob, isQuiet: boolean): void {
    const state = this.#state
    state.jobs.set(job.id, job)
    state.owners.trackOwner(port.ownerId)
    if (job.isComplete) state.endJob(job, { kind: 'completed' })
    else if (isQuiet) state.releaseUnlocated(job)
    else if (job.tasks.some(task => task.state === 'unlocated')) state.unlocated.add(job)
    else if (job.hasStartableTask()) state.queue.add(job)
  }

  #attachOwner (port: OwnerConnection, job: DispatchedJob): void {
    this.#state.log('job', 'job-attached', { job: job.id, owner: port.ownerId, previous: job.ownerId })
    job.ownerId = port.ownerId
    this.#state.owners.trackOwner(port.ownerId)
    if (job.started) port.send({ type: 'started', jobIds: [job.id] })
    const done = job.listDone()
    if (done.length > 0) port.send({ type: 'progress', jobId: job.id, done })
  }

  /** @returns whether runs of the job are or were at targets already */
  #locateRuns (job: DispatchedJob): boolean {
    const { unclaimedRuns: found, runs } = this.#state
    let isLocated = false
    for (const task of job.tasks) {
      if (task.state === 'done') continue
      const active = runs.get(task.name)
      if (found.takeDone(task.name)) {
        job.markDone(task)
      } else if (active !== undefined) {
        task.state = 'running'
        active.session.adoptRun(active.run, job.getStep(task).demand)
        found.forget(task.name)
      } else {
        continue
      }
      isLocated = true
    }
    return isLocated
  }

  /** @returns whether an earlier start of a task may still be carried out, so that the task may not start now */
  #isBlocked (job: DispatchedJob): boolean {
    return job.tasks.some(task => this.#state.runs.get(task.name)?.run.unconfirmed === true)
  }

  /** @returns whether the job was rejected */
  #decideRejection (port: OwnerConnection, job: DispatchedJob): boolean {
    if (this.#closed) return this.#reject(port, job, 'stopping', shortestRetryMs, {})
    const { sessions, queue } = this.#state
    const unfit = this.#findUnfit(job)
    if (unfit !== undefined) return this.#reject(port, job, unfit, unfitRetryMs, { targets: sessions.size })
    const now = this.#state.now()
    const rate = estimateThroughput(sessions.values(), job.spec.service)
    const load = estimateLoad(queue, rate, job)
    // With work ahead of it a job's own tasks start one after the other as room becomes free.
    const ownMs = load.workAhead > 0 && rate > 0 ? sumWaitingWork(job) / rate : 0
    const decision = decideAdmission(load, job.remainingMs + ownMs, job.usefulUntil - now)
    const inputs = { predictedMs: Math.round(decision.predictedMs), usefulMs: Math.round(job.usefulUntil - now), queued: queue.size, rate: Math.round(rate) }
    if (decision.kind === 'reject') return this.#reject(port, job, 'overloaded', decision.retryAfterMs, inputs)
    job.predictedWaitMs = decision.waitMs
    this.#state.log('job', 'job-admitted', { job: job.id, ...inputs, waitMs: Math.round(decision.waitMs) })
    return false
  }

  #findUnfit (job: DispatchedJob): RejectionReason | undefined {
    const targets = [...this.#state.sessions.values()].map(session => session.info).filter(info => info.service === job.spec.service)
    if (targets.length === 0) return 'no-target'
    const isFit = job.spec.steps.every(step => targets.some(info => isEligible(info, job.spec.service, step)))
    return isFit ? undefined : 'fits-no-target'
  }

  #reject (port: OwnerConnection, job: DispatchedJob, reason: RejectionReason, retryAfterMs: number, inputs: Readonly<Record<string, number>>): true {
    port.send({ type: 'rejected', jobId: job.id, reason, retryAfterMs })
    this.#state.log('job', 'job-rejected', { job: job.id, reason, retryAfterMs, ...inputs })
    return true
  }
}
