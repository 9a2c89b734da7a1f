import { type Clock } from '@sesamereel/coordination'
import { Contention } from './contention.js'
import { DispatchEfficiency } from './dispatch-efficiency.js'
import { type DispatchedJob, type TaskRecord } from './dispatched-job.js'
import { type EventLog, type LogFields } from './event-log.js'
import { type FleetMetrics } from './fleet-metrics.js'
import { type JobOutcome, parseTaskName, type RejectionReason, type TaskName } from './job-types.js'
import { estimateNominalThroughput, summarizeLoad } from './load-estimates.js'
import { type DispatcherMessage, type LoadSummary } from './messages.js'
import { OutstandingOrders, type StartHold } from './outstanding-orders.js'
import { OwnerRegistry } from './owner-registry.js'
import { ProcessingDelay } from './processing-delay.js'
import { type FleetLimits } from './limits.js'
import { RecentRecords } from './recent-records.js'
import { type Run } from './run.js'
import { TargetLosses } from './target-losses.js'
import { type TargetSession } from './target-session.js'
import { UnclaimedRuns } from './unclaimed-runs.js'

/**
 * Interval in milliseconds of the periodic checks for late queued jobs, stale polls, lost owners
 * and unclaimed runs.
 */
export const maintenanceIntervalMs = 50

/** Time in milliseconds after a takeover within which the owners resubmit their jobs. */
const adoptionWindowMs = 400

/**
 * Time in milliseconds before a resubmission at which the job's earlier runs must have ended; covers
 * the delivery of the last lease and the slowest clock.
 */
const runEndMarginMs = 50

/** Time in milliseconds for which the outcome or the rejection of a job is kept for an owner that reconnects. */
const outcomeRetentionMs = 5_000

/**
 * Why the runs of an earlier dispatcher are known to have ended, apart from those that were found.
 * `targets-polled`: every target that may hold one has answered a poll; `leases-expired`: the
 * longest lease that it may have granted has expired.
 */
export type ReleaseEvidence = 'targets-polled' | 'leases-expired'

/** A run and the session of its target. */
export interface ActiveRun {
  readonly session: TargetSession
  readonly run: Run
}

/** A task and its job; each is undefined when this dispatcher does not know it. */
export interface TaskLookup {
  readonly job: DispatchedJob | undefined
  readonly task: TaskRecord | undefined
}

/** Reason and retry delay with which a job was rejected. */
export interface Rejection {
  readonly reason: RejectionReason
  readonly retryAfterMs: number
}

/** A reply about one job; the submission is filled in by `DispatchState.reply`. */
type JobReply = Extract<DispatcherMessage, { type: 'progress' | 'losses' | 'ended' | 'rejected' | 'withdrawn' }>

/** The owner to which a caller sent a job last, and the latest time at which that owner can have accepted it. */
interface Repeat {
  readonly ownerId: string
  readonly acceptedAt: number
}

/**
 * The jobs, runs and owners of one dispatcher. It maintains two invariants: a task has at most one
 * run that may exist, apart from second runs that were discovered and are being stopped, and a job with
 * waiting tasks that can start is in the queue.
 */
export class DispatchState {
  readonly sessions = new Map<string, TargetSession>()
  readonly jobs = new Map<string, DispatchedJob>()
  /** Jobs with waiting tasks that can start. */
  readonly queue = new Set<DispatchedJob>()
  /** Jobs with tasks that an earlier dispatcher may have started at an unknown target. */
  readonly unlocatedJobs = new Set<DispatchedJob>()
  /** The run of each task that exists or may exist at a target, by task name. */
  readonly runs = new Map<string, ActiveRun>()
  /** Further runs of tasks that have an entry in `runs`, by task name; they are being stopped. */
  readonly #secondRuns = new Map<string, readonly ActiveRun[]>()
  readonly owners = new OwnerRegistry()
  readonly unclaimedRuns: UnclaimedRuns
  /** The targets that were lost under each task. */
  readonly losses = new TargetLosses()
  /** Start orders that later incarnations of their targets may carry out. */
  readonly outstanding = new OutstandingOrders()
  readonly processingDelay = new ProcessingDelay(maintenanceIntervalMs)
  readonly contention: Contention
  readonly #efficiency = new DispatchEfficiency()
  readonly #clock: Clock
  readonly #limits: FleetLimits
  readonly #log: EventLog
  readonly #metrics: FleetMetrics
  readonly #outcomes = new RecentRecords<JobOutcome>(outcomeRetentionMs)
  /** Rejections by owner and job. */
  readonly #rejections = new RecentRecords<Rejection>(outcomeRetentionMs)
  /** Jobs that were sent again through another instance, by job id. */
  readonly #repeats = new RecentRecords<Repeat>(outcomeRetentionMs)
  #unreportedDone = new Map<string, number[]>()

  /**
   * @param isContended - whether queues of several priorities compete for the targets of a service
   * @param floorFraction - fraction for the floor of each of these queues; no floor if absent
   */
  constructor (clock: Clock, limits: FleetLimits, log: EventLog, metrics: FleetMetrics, isContended: (service: string) => boolean = () => false, floorFraction?: number) {
    this.contention = new Contention(isContended, floorFraction)
    this.#clock = clock
    this.#limits = limits
    this.#log = log
    this.#metrics = metrics
    this.unclaimedRuns = new UnclaimedRuns(clock.now() + adoptionWindowMs)
  }

  get metrics (): FleetMetrics { return this.#metrics }

  now (): number {
    return this.#clock.now()
  }

  /** @returns the time that signs of life of owners are measured by; unlike `now`, it counts suspensions of the machine */
  readElapsed (): number {
    return this.#clock.readElapsed()
  }

  log (logClass: 'belief' | 'job' | 'order', event: string, fields: LogFields): void {
    this.#log.log(logClass, event, fields)
  }

  logError (where: string, error: unknown): void {
    this.#log.logError(where, error)
  }

  /** @returns work per millisecond that tasks of a service get, in thousandths of a core; of all services if undefined */
  estimateThroughput (service: string | undefined): number {
    return estimateNominalThroughput(this.sessions.values(), service) * this.#efficiency.efficiency
  }

  /** @returns the load summary that is sent to the owners */
  summarizeLoad (): LoadSummary {
    return summarizeLoad(this.sessions.values(), [...this.queue], this.now(), this.#efficiency.efficiency, this.processingDelay.delayPerJobMs)
  }

  /** Measures how well the targets are used; called at regular intervals. */
  measureEfficiency (): void {
    const { freeProcessors, usableProcessors } = this.summarizeLoad()
    this.#efficiency.update(this.now(), { queuedJobs: this.queue.size, freeProcessors, usableProcessors, nominalThroughput: estimateNominalThroughput(this.sessions.values(), undefined) })
  }

  findTask (name: string): TaskLookup {
    return this.#findTask(parseTaskName(name))
  }

  findTaskOfRun (run: Run): TaskLookup {
    return this.#findTask(run.name)
  }

  #findTask (parsed: TaskName | undefined): TaskLookup {
    const job = parsed === undefined ? undefined : this.jobs.get(parsed.jobId)
    return { job, task: job?.findTask(parsed!.step, parsed!.index) }
  }

  /** @returns where a task may start although start orders of it are outstanding; undefined if there are none */
  findHold (task: TaskRecord): StartHold | undefined {
    return this.outstanding.size === 0 ? undefined : this.outstanding.findHold(task.name, this.now())
  }

  findOutcome (jobId: string): JobOutcome | undefined {
    return this.#outcomes.find(jobId)
  }

  removeJob (job: DispatchedJob): void {
    this.jobs.delete(job.id)
    this.queue.delete(job)
    this.unlocatedJobs.delete(job)
    this.#unreportedDone.delete(job.id)
  }

  /**
   * Computes until when runs of a job may be kept alive. An owner that is lost can't cancel its jobs,
   * and its callers send them again through any instance after the resubmission time, so no run may
   * outlive the last sign of life of its owner by that time. An owner that has given a job up does not submit
   * it on its next connection, so only signs of life on the job's own connection count.
   *
   * @param elapsedLeadMs - result of `measureElapsedLead`, for callers that compute many limits at once
   * @returns monotonic time in milliseconds
   */
  computeRunLimit (job: DispatchedJob, elapsedLeadMs = this.measureElapsedLead()): number {
    return this.owners.getConfirmedAt(job.connection) + this.#limits.resubmitMs - runEndMarginMs - elapsedLeadMs
  }

  /** @returns milliseconds by which the clock that counts suspensions is ahead of the monotonic one */
  measureElapsedLead (): number {
    // Read first: a pause between the two readings makes limits earlier.
    const now = this.now()
    return this.readElapsed() - now
  }

  /**
   * Computes until when the leases at a target may be extended; a lease applies to all its runs.
   *
   * @param elapsedLeadMs - result of `measureElapsedLead`
   * @returns monotonic time in milliseconds; `-Infinity` while the target has a run that no owner claims
   */
  computeLeaseLimit (session: TargetSession, elapsedLeadMs = this.measureElapsedLead()): number {
    let limit = Infinity
    for (const run of session.runs.values()) {
      // Its end is due, whatever its lease.
      if (run.stopAcceptedAt !== undefined) continue
      const { job } = this.findTaskOfRun(run)
      limit = Math.min(limit, job === undefined ? -Infinity : this.computeRunLimit(job, elapsedLeadMs))
    }
    return limit
  }

  /** Records that a run of a job was found, and notifies its owner, who must not take the job for one that has not started. */
  markStarted (job: DispatchedJob): void {
    if (job.started) return
    job.started = true
    job.connection.send({ type: 'started', jobIds: [job.id] })
  }

  /** Sends a reply to the last submission of a job, over the connection on which it came. */
  reply (job: DispatchedJob, reply: JobReply): void {
    job.connection.send(job.submissionId === undefined ? reply : { ...reply, submissionId: job.submissionId })
  }

  /** Rejects a job of which no task has started here, and records the rejection for an owner that has submitted the job again meanwhile. */
  rejectJob (job: DispatchedJob, reason: RejectionReason, retryAfterMs: number): void {
    this.#rejections.record(formatOwnedKey(job), { reason, retryAfterMs }, this.now())
    this.reply(job, { type: 'rejected', jobId: job.id, reason, retryAfterMs })
  }

  /** Forgets the rejection of an earlier submission of a job that is admitted now. */
  forgetRejection (job: DispatchedJob): void {
    this.#rejections.forget(formatOwnedKey(job))
  }

  /** @returns the rejection of an earlier submission of the job by the same owner, if there was one lately */
  findRejection (job: DispatchedJob): Rejection | undefined {
    return this.#rejections.find(formatOwnedKey(job))
  }

  /** Records that the owner of a job has it by a repeat of the caller, who had sent it through another instance before. */
  recordRepeat ({ id, ownerId, ownerAcceptedAt }: DispatchedJob): void {
    this.#repeats.record(id, { ownerId, acceptedAt: ownerAcceptedAt }, this.now())
  }

  /**
   * @param acceptedAt - earliest time at which the owner can have accepted the job, in monotonic milliseconds
   * @returns whether the caller may have sent the job again through another instance since this owner accepted it
   */
  wasRepeatedElsewhere (jobId: string, ownerId: string, acceptedAt: number): boolean {
    const repeat = this.#repeats.find(jobId)
    return repeat !== undefined && repeat.ownerId !== ownerId && acceptedAt < repeat.acceptedAt
  }

  /** Removes a job without an outcome and stops its runs. */
  dropJob (job: DispatchedJob, reason: string): void {
    this.removeJob(job)
    const confirmedMsAgo = Math.round(this.readElapsed() - this.owners.getConfirmedAt(job.connection))
    this.log('job', 'job-dropped', { job: job.id, owner: job.ownerId, reason, started: job.started, ageMs: Math.round(this.now() - job.acceptedAt), confirmedMsAgo: Number.isFinite(confirmedMsAgo) ? confirmedMsAgo : undefined })
    this.#stopRuns(job)
  }

  /** Removes a job, stops its runs, and sends the outcome to its owner. */
  endJob (job: DispatchedJob, outcome: JobOutcome): void {
    const now = this.now()
    this.removeJob(job)
    this.#stopRuns(job)
    this.#outcomes.record(job.id, outcome, now)
    this.reply(job, { type: 'ended', jobId: job.id, outcome })
    this.log('job', 'job-ended', { job: job.id, outcome: outcome.kind, ageMs: Math.round(now - job.acceptedAt), objectiveMs: Math.round(job.spec.objectiveMs) })
  }

  /** Records that a task has ended with `done`; the last task of a job completes the job. */
  finishTask (job: DispatchedJob, task: TaskRecord): void {
    const { estimateMs, demand } = job.getStep(task)
    this.#efficiency.recordFinished(estimateMs * demand.processors)
    job.markDone(task)
    if (job.isComplete) {
      this.endJob(job, { kind: 'completed' })
      return
    }
    const done = this.#unreportedDone.get(job.id)
    if (done === undefined) this.#unreportedDone.set(job.id, [task.position])
    else done.push(task.position)
    if (job.hasStartableTask()) this.queue.add(job)
  }

  /** Returns the task of a run to the queue once that run, and any other run of the task, is known to have ended or not to have started. */
  requeueTask (run: Run): void {
    if (!this.removeRun(run)) return
    const { job, task } = this.findTaskOfRun(run)
    if (job === undefined || task?.state !== 'running') return
    task.state = 'waiting'
    this.queue.add(job)
  }

  /** Stops a run that was discovered although the task has another one, and tracks it until its end. */
  stopSecondRun (active: ActiveRun): void {
    const { task } = active.run
    this.#secondRuns.set(task, [...this.#secondRuns.get(task) ?? [], active])
    active.session.stopRun(active.run)
  }

  /** Stops the run of a task; any second runs are being stopped already. */
  stopRunsOfTask (name: string): void {
    const active = this.runs.get(name)
    if (active !== undefined) active.session.stopRun(active.run)
  }

  /**
   * Removes a run that has ended or not started. A second run of its task takes its place.
   *
   * @returns whether the task has no other run
   */
  removeRun (run: Run): boolean {
    const others = (this.#secondRuns.get(run.task) ?? []).filter(other => other.run !== run)
    if (this.runs.get(run.task)?.run !== run) {
      this.#setSecondRuns(run.task, others)
      return !this.runs.has(run.task)
    }
    const [next, ...rest] = others
    this.#setSecondRuns(run.task, rest)
    if (next === undefined) this.runs.delete(run.task)
    else this.runs.set(run.task, next)
    this.unclaimedRuns.remove(run.task)
    return next === undefined
  }

  #setSecondRuns (task: string, runs: readonly ActiveRun[]): void {
    if (runs.length === 0) this.#secondRuns.delete(task)
    else this.#secondRuns.set(task, runs)
  }

  /**
   * Lets the unlocated tasks of a job start, once any runs that an earlier dispatcher started must have ended.
   *
   * @param inputs - inputs of the decision, for the log
   */
  releaseUnlocatedTasks (job: DispatchedJob, evidence: ReleaseEvidence, inputs: LogFields): void {
    this.unlocatedJobs.delete(job)
    const released = job.tasks.filter(task => task.state === 'unlocated')
    for (const task of released) task.state = 'waiting'
    if (released.length > 0) {
      this.metrics.countReleasedTasks(evidence, released.length)
      this.log('belief', 'tasks-released', { job: job.id, tasks: released.length, evidence, ...inputs })
    }
    if (job.hasStartableTask()) this.queue.add(job)
  }

  /** Reports to the owners which tasks have ended with `done` since the last call. */
  reportProgress (): void {
    if (this.#unreportedDone.size === 0) return
    for (const [jobId, done] of this.#unreportedDone) {
      const job = this.jobs.get(jobId)
      if (job !== undefined) this.reply(job, { type: 'progress', jobId, done })
    }
    this.#unreportedDone = new Map()
  }

  /** Removes outcomes, rejections, repeats, losses and outstanding orders that have been kept for their retention time. */
  expireOutcomes (now: number): void {
    this.#outcomes.expire(now)
    this.#rejections.expire(now)
    this.#repeats.expire(now)
    this.losses.expire(now)
    this.outstanding.expire(now)
  }

  #stopRuns (job: DispatchedJob): void {
    for (const task of job.tasks) this.stopRunsOfTask(task.name)
  }
}

function formatOwnedKey (job: DispatchedJob): string {
  return `${job.ownerId} ${job.id}`
}
