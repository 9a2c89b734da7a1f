import { type Clock } from '@sesamereel/coordination'
import { type EventLog, type LogFields } from './event-log.js'
import { type FleetMetrics } from './fleet-metrics.js'
import { UnclaimedRuns } from './unclaimed-runs.js'
import { type DispatchedJob, type TaskRecord } from './dispatched-job.js'
import { type JobOutcome, parseTaskName } from './job-types.js'
import { OwnerRegistry } from './owner-registry.js'
import { type Run } from './run.js'
import { type TargetSession } from './target-session.js'

/** Time in milliseconds after a takeover in which the owners submit their jobs again. */
const adoptionMs = 400

/** Time in milliseconds for which the outcome of a job is remembered for an owner that reconnects. */
const outcomeMemoryMs = 5_000

/** A run and where it is. */
export interface ActiveRun {
  readonly session: TargetSession
  readonly run: Run
}

/** A task and its job, each undefined when this dispatcher doesn't know it. */
export interface TaskLookup {
  readonly job: DispatchedJob | undefined
  readonly task: TaskRecord | undefined
}

interface RememberedOutcome {
  readonly outcome: JobOutcome
  readonly at: number
}

/**
 * The jobs, runs and owners of one dispatcher. It keeps two rules: a task has at most one run that
 * may exist, and a job with waiting tasks is in the queue.
 */
export class DispatchState {
  readonly sessions = new Map<string, TargetSession>()
  readonly jobs = new Map<string, DispatchedJob>()
  /** Jobs with waiting tasks. */
  readonly queue = new Set<DispatchedJob>()
  /** Jobs with tasks that an earlier dispatcher may have started, nobody knows where. */
  readonly unlocated = new Set<DispatchedJob>()
  /** The one run of each task that may exist at a target. */
  readonly runs = new Map<string, ActiveRun>()
  readonly owners = new OwnerRegistry()
  readonly unclaimedRuns: UnclaimedRuns
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #metrics: FleetMetrics
  readonly #outcomes = new Map<string, RememberedOutcome>()
  #newlyDone = new Map<string, number[]>()

  constructor (clock: Clock, log: EventLog, metrics: FleetMetrics) {
    this.#clock = clock
    this.#log = log
    this.#metrics = metrics
    this.unclaimedRuns = new UnclaimedRuns(clock.now() + adoptionMs)
  }

  get metrics (): FleetMetrics { return this.#metrics }

  now (): number {
    return this.#clock.now()
  }

  log (logClass: 'belief' | 'job' | 'order', event: string, fields: LogFields): void {
    this.#log.log(logClass, event, fields)
  }

  logError (where: string, error: unknown): void {
    this.#log.logError(where, error)
  }

  findTask (name: string): TaskLookup {
    const parsed = parseTaskName(name)
    const job = parsed === undefined ? undefined : this.jobs.get(parsed.jobId)
    return { job, task: job?.findTask(parsed!.step, parsed!.index) }
  }

  findOutcome (jobId: string): JobOutcome | undefined {
    return this.#outcomes.get(jobId)?.outcome
  }

  removeJob (job: DispatchedJob): void {
    this.jobs.delete(job.id)
    this.queue.delete(job)
    this.unlocated.delete(job)
    this.#newlyDone.delete(job.id)
  }

  /** Ends a job without an outcome; its runs are stopped. */
  dropJob (job: DispatchedJob, reason: string): void {
    this.removeJob(job)
    this.log('job', 'job-dropped', { job: job.id, reason, started: job.started })
    this.#stopRuns(job)
  }

  /** Ends a job and tells its owner. */
  endJob (job: DispatchedJob, outcome: JobOutcome): void {
    const now = this.now()
    this.removeJob(job)
    this.#stopRuns(job)
    this.#outcomes.set(job.id, { outcome, at: now })
    this.owners.send(job.ownerId, { type: 'ended', jobId: job.id, outcome })
    this.log('job', 'job-ended', { job: job.id, outcome: outcome.kind, ageMs: Math.round(now - job.acceptedAt), objectiveMs: Math.round(job.spec.objectiveMs) })
  }

  /** Records that a task has ended `done`. */
  finishTask (job: DispatchedJob, task: TaskRecord): void {
    job.markDone(task)
    if (job.isComplete) {
      this.endJob(job, { kind: 'completed' })
      return
    }
    const done = this.#newlyDone.get(job.id)
    if (done === undefined) this.#newlyDone.set(job.id, [task.position])
    else done.push(task.position)
    if (job.hasStartableTask()) this.queue.add(job)
  }

  /** Lets a task start again whose run is surely gone. */
  requeueTask (name: string): void {
    this.forgetRun(name)
    const { job, task } = this.findTask(name)
    if (job === undefined || task?.state !== 'running') return
    task.state = 'waiting'
    this.queue.add(job)
  }

  forgetRun (name: string): void {
    this.runs.delete(name)
    this.unclaimedRuns.forget(name)
  }

  /** Lets tasks start whose earlier runs, if any, have surely ended. */
  releaseUnlocated (job: DispatchedJob): void {
    this.unlocated.delete(job)
    for (const task of job.tasks) if (task.state === 'unlocated') task.state = 'waiting'
    if (job.hasStartableTask()) this.queue.add(job)
  }

  /** Tells the owners which tasks have ended since the last call. */
  reportProgress (): void {
    if (this.#newlyDone.size === 0) return
    for (const [jobId, done] of this.#newlyDone) {
      const job = this.jobs.get(jobId)
      if (job !== undefined) this.owners.send(job.ownerId, { type: 'progress', jobId, done })
    }
    this.#newlyDone = new Map()
  }

  /** Forgets outcomes that no owner will ask for any more. */
  expireOutcomes (now: number): void {
    for (const [jobId, entry] of this.#outcomes) {
      if (now - entry.at < outcomeMemoryMs) break
      this.#outcomes.delete(jobId)
    }
  }

  #stopRuns (job: DispatchedJob): void {
    for (const task of job.tasks) {
      const active = this.runs.get(task.name)
      if (active !== undefined) active.session.stopRun(active.run)
    }
  }
}
