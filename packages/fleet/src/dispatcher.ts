import { type Clock, Mailbox } from '@sesamereel/coordination'
import { decideAdmission } from './admission.js'
import { type EventLog } from './event-log.js'
import { FoundRuns } from './found-runs.js'
import { JobRun, type TaskRecord } from './job-run.js'
import { type JobOutcome, parseTaskName, type RejectionReason } from './job-types.js'
import { type FleetLimits } from './limits.js'
import { estimateLoad, estimateRate, sumWaitingWork, summarizeLoad } from './load-meter.js'
import { type DispatcherMessage, type LoadDigest, type OwnerMessage, type Submission } from './messages.js'
import { type FleetMetrics } from './fleet-metrics.js'
import { OwnerTable } from './owner-table.js'
import { isEligible, pickTarget } from './placement.js'
import { judgeUrgency, sortQueue } from './queue-order.js'
import { type Run } from './run.js'
import { type LossReason, SessionObserver, TargetSession } from './target-session.js'
import { type EndKind, type StartRejection, type TargetConnector, type TargetInfo } from './target-types.js'

/** Pause in milliseconds between two checks of stalled runs, queued jobs and lost owners. */
const tickMs = 50

/** Time in milliseconds without progress, over several looks, after which a run counts as stalled. */
const stallMs = 400

/** Part of a run's estimate that it may stay at one percentage. */
const stallShare = 0.06

/** Ratio of run time to estimate at which a run's target counts as slow while the run goes on. */
const slowRatio = 2.5

/** Time in milliseconds after a takeover in which the owners submit their jobs again. */
const adoptionMs = 400

/** Time in milliseconds for which the outcome of a job is remembered for an owner that reconnects. */
const outcomeMemoryMs = 5_000

/** Attempts of one task that one dispatcher may number; numbers of later dispatchers are higher. */
const attemptsPerToken = 64

export interface DispatcherOptions {
  readonly domain: string
  readonly token: number
  readonly clock: Clock
  readonly limits: FleetLimits
  readonly connector: TargetConnector
  readonly log: EventLog
  readonly metrics: FleetMetrics
  readonly remoteFactor: number
  /** Whether the list of targets surely names every target that an earlier dispatcher may have used. */
  readonly isListComplete: () => boolean
  /** Called once when a target or the store shows a later dispatcher of the domain. */
  readonly onSuperseded: () => void
}

/** Sends messages to one owner. */
export abstract class OwnerPort {
  /** Incarnation of the owner's instance. */
  abstract readonly ownerId: string
  abstract send (message: DispatcherMessage): void
}

/**
 * The dispatcher of one failure domain: the only one that starts tasks at the domain's targets, as
 * long as no higher token is in force there. All state is in memory; a successor rebuilds it from
 * the targets' lists and from what the owners submit again.
 */
export class Dispatcher extends SessionObserver {
  readonly #options: DispatcherOptions
  readonly #sessions = new Map<string, TargetSession>()
  readonly #jobs = new Map<string, JobRun>()
  /** Jobs with waiting tasks. */
  readonly #queue = new Set<JobRun>()
  /** The one run of each task that may exist at a target. */
  readonly #runOf = new Map<string, { readonly session: TargetSession, readonly run: Run }>()
  readonly #owners = new OwnerTable()
  readonly #found: FoundRuns
  readonly #outcomes = new Map<string, { readonly outcome: JobOutcome, readonly at: number }>()
  readonly #starts = new Map<string, number>()
  readonly #mailbox: Mailbox<() => void>
  readonly #since: number
  #newlyStarted = new Map<string, string[]>()
  #newlyDone = new Map<string, number[]>()
  #token: number
  #settled = false
  #listed: ReadonlySet<string> = new Set()
  #stopped = false
  #frozen = false
  #cancelTick: (() => void) | undefined

  constructor (options: DispatcherOptions) {
    super()
    this.#options = options
    this.#token = options.token
    this.#since = options.clock.now()
    this.#found = new FoundRuns(this.#since + adoptionMs)
    this.#mailbox = new Mailbox(message => { message() }, () => { this.#settleMessages() })
    this.#scheduleTick()
  }

  get token (): number { return this.#token }

  get domain (): string { return this.#options.domain }

  get queueLength (): number { return this.#queue.size }

  get isStopped (): boolean { return this.#stopped }

  /** @returns the sessions of all targets, for status and metrics */
  listSessions (): readonly TargetSession[] { return [...this.#sessions.values()] }

  /** Raises the token of the same dispatcher after its claim was written. */
  raiseToken (token: number): void {
    this.#token = Math.max(this.#token, token)
  }

  /** Stops giving orders; runs go on until a successor adopts them or their leases lapse. */
  stop (): void {
    if (this.#stopped) return
    this.#stopped = true
    this.#cancelTick?.()
    this.#mailbox.stop()
    for (const session of this.#sessions.values()) session.close()
  }

  /** Starts nothing more, while a successor claims the domain. */
  freeze (): void {
    this.#frozen = true
  }

  /** Takes over the newest list of the domain's targets. */
  updateTargets (targets: readonly TargetInfo[]): void {
    if (this.#stopped) return
    const listed = new Set<string>()
    for (const target of targets) {
      listed.add(target.id)
      this.#updateTarget(target)
    }
    for (const [id, session] of this.#sessions) {
      if (!listed.has(id) && !session.info.draining) session.updateInfo({ ...session.info, draining: true })
    }
    this.#listed = listed
    this.#dropUnlisted()
    this.#mailbox.schedule()
  }

  /** Connects an owner. */
  addOwner (port: OwnerPort): void {
    this.#owners.add(port)
    port.send({ type: 'welcome', token: this.#token })
  }

  /** Handles the end of an owner's connection; its jobs stay for a while, in case it comes back. */
  removeOwner (port: OwnerPort): void {
    this.#owners.remove(port, this.#options.clock.now())
  }

  /** Handles one message of an owner. */
  handle (port: OwnerPort, message: OwnerMessage): void {
    if (this.#stopped) return
    this.#mailbox.post(() => { this.#handleMessage(port, message) })
  }

  /** @returns the load as owners hear it */
  summarize (): LoadDigest {
    return summarizeLoad(this.#sessions.values(), [...this.#queue], this.#options.clock.now())
  }

  /** @returns ids of jobs that a repeated submission may meet: old ones and those without an owner */
  listLingering (): readonly string[] {
    const oldest = this.#options.clock.now() - this.#options.limits.resubmitMs + 300
    const ids = new Set<string>()
    for (const job of this.#jobs.values()) {
      if (job.acceptedAt < oldest || !this.#owners.isConnected(job.ownerId)) ids.add(job.id)
    }
    for (const name of this.#runOf.keys()) {
      const jobId = parseTaskName(name)?.jobId
      if (jobId !== undefined && !this.#jobs.has(jobId)) ids.add(jobId)
    }
    return [...ids]
  }

  #updateTarget (target: TargetInfo): void {
    const session = this.#sessions.get(target.id)
    if (session !== undefined && session.info.address === target.address) {
      if (target.draining && !session.info.draining) this.#log('belief', 'target-draining', { target: target.id, revision: target.revision })
      session.updateInfo(target)
      return
    }
    if (session !== undefined) this.#dropSession(target.id, session)
    const { connector, clock, limits } = this.#options
    const added = new TargetSession(target, connector.connect(target), () => this.#token, clock, limits, this)
    this.#sessions.set(target.id, added)
    this.#settled = false
    added.start()
  }

  /** Drops targets that left the list, once their runs have ended. */
  #dropUnlisted (): void {
    for (const [id, session] of this.#sessions) {
      if (!this.#listed.has(id) && session.runs.size === 0) this.#dropSession(id, session)
    }
  }

  #dropSession (id: string, session: TargetSession): void {
    this.#sessions.delete(id)
    session.close()
    for (const run of session.runs.values()) this.#handleRunGone(session, run, 'lapsed')
    this.#log('belief', 'target-gone', { target: id, runs: session.runs.size })
  }

  #handleMessage (port: OwnerPort, message: OwnerMessage): void {
    switch (message.type) {
      case 'submit': this.#accept(port, message); break
      case 'withdraw': this.#withdraw(port, message.jobId); break
      case 'cancel': this.#cancel(port, message.jobId, message.reason); break
      case 'cancel-any': this.#cancelAny(port, message.jobId); break
      // The server of the owners handles these.
      case 'hello':
      case 'ping':
      case 'configuration':
    }
  }

  #cancelAny (port: OwnerPort, jobId: string): void {
    const job = this.#jobs.get(jobId)
    if (job !== undefined) this.#dropJob(job, 'cancelled by a caller')
    port.send({ type: 'cancelled-any', jobId, found: job !== undefined })
  }

  #accept (port: OwnerPort, submission: Submission): void {
    const now = this.#options.clock.now()
    const { job: spec } = submission
    const known = this.#jobs.get(spec.id)
    if (known !== undefined) {
      this.#attachOwner(port, known)
      return
    }
    const outcome = this.#outcomes.get(spec.id)
    if (outcome !== undefined && submission.resubmitted) {
      port.send({ type: 'ended', jobId: spec.id, outcome: outcome.outcome })
      return
    }
    const job = new JobRun(submission, port.ownerId, now)
    if (this.#locateRuns(job)) job.started = true
    if (!job.started && this.#reject(port, job, now)) return
    this.#jobs.set(job.id, job)
    this.#owners.follow(port.ownerId)
    if (job.isComplete) {
      this.#endJob(job, { kind: 'completed' })
      return
    }
    if (this.#settled) this.#releaseUnlocated(job)
    if (job.hasWaiting()) this.#queue.add(job)
  }

  #attachOwner (port: OwnerPort, job: JobRun): void {
    this.#log('job', 'job-attached', { job: job.id, owner: port.ownerId, previous: job.ownerId })
    job.ownerId = port.ownerId
    this.#owners.follow(port.ownerId)
    if (job.started) port.send({ type: 'started', jobIds: [job.id] })
    const done = job.listDone()
    if (done.length > 0) port.send({ type: 'progress', jobId: job.id, done })
  }

  /** @returns whether runs of the job are at targets already */
  #locateRuns (job: JobRun): boolean {
    let located = false
    for (const task of job.tasks) {
      if (task.state === 'done') continue
      if (this.#found.takeDone(task.name)) {
        job.markDone(task)
        located = true
        continue
      }
      const active = this.#runOf.get(task.name)
      if (active === undefined) continue
      located = true
      task.state = 'running'
      active.session.adoptRun(active.run, job.getStep(task).demand)
      this.#found.forget(task.name)
    }
    return located
  }

  /** @returns whether the job was rejected */
  #reject (port: OwnerPort, job: JobRun, now: number): boolean {
    if (this.#frozen) return this.#sendRejection(port, job, 'stopping', 100, {})
    const rate = estimateRate(this.#sessions.values(), job.spec.service, now)
    if (!this.#canEverRun(job)) return this.#rejectUnfit(port, job)
    const load = estimateLoad(this.#queue, rate, job.spec.service, job.objectiveAt)
    const ownMs = rate > 0 ? Math.max(0, sumWaitingWork(job) / rate) : 0
    const decision = decideAdmission(load, job.remainingMs + (load.workAheadMs > 0 ? ownMs : 0), job.usefulAt - now)
    if (decision.kind === 'admit') {
      this.#log('job', 'job-admitted', { job: job.id, predictedMs: Math.round(decision.predictedMs), usefulMs: Math.round(job.usefulAt - now), queued: this.#queue.size })
      return false
    }
    return this.#sendRejection(port, job, 'overloaded', decision.retryAfterMs, { predictedMs: Math.round(decision.predictedMs), usefulMs: Math.round(job.usefulAt - now), queued: this.#queue.size })
  }

  #canEverRun (job: JobRun): boolean {
    return job.spec.steps.every(step => [...this.#sessions.values()].some(session => isEligible(session.info, job.spec.service, step)))
  }

  #rejectUnfit (port: OwnerPort, job: JobRun): boolean {
    const served = [...this.#sessions.values()].some(session => session.info.service === job.spec.service)
    return this.#sendRejection(port, job, served ? 'fits-no-target' : 'no-target', 1_000, { targets: this.#sessions.size })
  }

  #sendRejection (port: OwnerPort, job: JobRun, reason: RejectionReason, retryAfterMs: number, inputs: Readonly<Record<string, number>>): true {
    port.send({ type: 'rejected', jobId: job.id, reason, retryAfterMs })
    this.#log('job', 'job-rejected', { job: job.id, reason, retryAfterMs, ...inputs })
    return true
  }

  #withdraw (port: OwnerPort, jobId: string): void {
    const job = this.#jobs.get(jobId)
    if (job === undefined || job.started || job.ownerId !== port.ownerId) return
    this.#removeJob(job)
    port.send({ type: 'withdrawn', jobId })
  }

  #cancel (port: OwnerPort, jobId: string, reason: string): void {
    const job = this.#jobs.get(jobId)
    if (job === undefined || job.ownerId !== port.ownerId) return
    this.#dropJob(job, reason)
  }

  /** Ends a job without an outcome; its runs are stopped. */
  #dropJob (job: JobRun, reason: string): void {
    this.#removeJob(job)
    this.#log('job', 'job-dropped', { job: job.id, reason, started: job.started })
    this.#stopRunsOf(job)
  }

  #stopRunsOf (job: JobRun): void {
    for (const task of job.tasks) {
      const active = this.#runOf.get(task.name)
      if (active !== undefined) active.session.stopRun(active.run)
    }
  }

  #removeJob (job: JobRun): void {
    this.#jobs.delete(job.id)
    this.#queue.delete(job)
    this.#newlyDone.delete(job.id)
  }

  #endJob (job: JobRun, outcome: JobOutcome): void {
    const now = this.#options.clock.now()
    this.#removeJob(job)
    this.#stopRunsOf(job)
    this.#outcomes.set(job.id, { outcome, at: now })
    this.#owners.send(job.ownerId, { type: 'ended', jobId: job.id, outcome })
    this.#log('job', 'job-ended', { job: job.id, outcome: outcome.kind, ageMs: Math.round(now - job.acceptedAt), objectiveMs: job.spec.objectiveMs })
  }

  /** Lets tasks start whose earlier runs, if any, have surely ended. */
  #releaseUnlocated (job: JobRun): void {
    let released = false
    for (const task of job.tasks) {
      if (task.state !== 'unlocated') continue
      task.state = 'waiting'
      released = true
    }
    if (released && job.hasWaiting()) this.#queue.add(job)
  }

  #settleMessages (): void {
    if (this.#stopped) return
    this.#checkSettled()
    if (!this.#frozen) this.#startTasks()
    this.#flushReports()
  }

  /**
   * After a takeover, unlocated tasks wait until every target was looked at or all earlier leases
   * have lapsed. Entries of cut-off targets lapse, so a look at all listed ones may not be enough.
   */
  #checkSettled (): void {
    if (this.#settled) return
    const now = this.#options.clock.now()
    const longestMs = this.#options.limits.maxLeaseMs * 1.02 + 150
    const allSeen = this.#options.isListComplete() && this.#sessions.size > 0 && [...this.#sessions.values()].every(session => session.isSeen)
    if (!allSeen && now - this.#since < longestMs) return
    this.#settled = true
    for (const job of this.#jobs.values()) this.#releaseUnlocated(job)
  }

  #startTasks (): void {
    if (this.#queue.size === 0) return
    const now = this.#options.clock.now()
    const usable = [...this.#sessions.values()].filter(session => session.isUsable(now))
    if (usable.length === 0) return
    const candidates = usable.map(session => new SessionCandidate(session))
    for (const job of sortQueue([...this.#queue], now)) {
      this.#startTasksOf(job, candidates, now)
      if (!job.hasWaiting()) this.#queue.delete(job)
    }
  }

  #startTasksOf (job: JobRun, candidates: readonly SessionCandidate[], now: number): void {
    for (const task of job.tasks) {
      if (task.state !== 'waiting' || !job.isStepOpen(task.step)) continue
      const step = job.getStep(task)
      const countAt = (candidate: SessionCandidate): number => this.#countStepRuns(candidate.session, job, task.step)
      const open = candidates.filter(candidate => candidate.session.isUsable(now))
      const target = pickTarget(open, job.spec.service, step, countAt, this.#options.remoteFactor)
      if (target === undefined) {
        if (job.spec.steps.length === 1) return
        continue
      }
      this.#startTask(job, task, target.session)
    }
  }

  #countStepRuns (session: TargetSession, job: JobRun, step: number): number {
    let count = 0
    for (const run of session.runs.values()) {
      const name = parseTaskName(run.task)
      if (name?.jobId === job.id && name.step === step) count++
    }
    return count
  }

  #startTask (job: JobRun, task: TaskRecord, session: TargetSession): void {
    const number = (this.#starts.get(task.name) ?? 0) + 1
    this.#starts.set(task.name, number)
    if (!job.started) {
      job.started = true
      this.#collect(this.#newlyStarted, job.ownerId, job.id)
    }
    task.state = 'running'
    const attempt = this.#token * attemptsPerToken + number
    const run = session.startRun(task.name, attempt, job.spec.payload, job.getStep(task).demand)
    this.#runOf.set(task.name, { session, run })
    this.#log('order', 'task-start', { job: job.id, task: task.name, attempt, target: session.info.id, listRevision: session.info.revision, waitedMs: Math.round(run.sentAt - job.acceptedAt), slowness: Math.round(session.health.slowness * 100) / 100 })
  }

  #collect<K, V> (map: Map<K, V[]>, key: K, value: V): void {
    const list = map.get(key)
    if (list === undefined) map.set(key, [value])
    else list.push(value)
  }

  #flushReports (): void {
    if (this.#newlyStarted.size > 0) {
      for (const [ownerId, jobIds] of this.#newlyStarted) this.#owners.send(ownerId, { type: 'started', jobIds })
      this.#newlyStarted = new Map()
    }
    if (this.#newlyDone.size === 0) return
    for (const [jobId, done] of this.#newlyDone) {
      const job = this.#jobs.get(jobId)
      if (job !== undefined) this.#owners.send(job.ownerId, { type: 'progress', jobId, done })
    }
    this.#newlyDone = new Map()
  }

  override onAccepted (session: TargetSession, run: Run, tookMs: number): void {
    this.#options.metrics.observeStart('accepted', tookMs)
  }

  override onRejected (session: TargetSession, run: Run, reason: StartRejection | 'not-sent'): void {
    const now = this.#options.clock.now()
    this.#options.metrics.observeStart(reason, now - run.sentAt)
    this.#log('order', 'start-rejected', { task: run.task, attempt: run.attempt, target: session.info.id, reason })
    if (reason === 'unhealthy' || reason === 'not-sent') session.health.suspend(now)
    this.#requeue(run.task)
  }

  override onEnded (session: TargetSession, run: Run, how: EndKind): void {
    const now = this.#options.clock.now()
    this.#options.metrics.countEnd(how)
    const { job, task } = this.#findTask(run.task)
    if (how === 'done' && job !== undefined && task !== undefined) {
      const estimateMs = job.getStep(task).estimateMs
      session.health.recordSuccess(estimateMs > 0 ? (now - run.sentAt) / estimateMs : 1)
    } else if (how === 'failed') {
      session.health.recordFailure(now, parseTaskName(run.task)?.jobId ?? run.task)
    }
    if (how !== 'done') this.#log('order', 'run-ended', { task: run.task, attempt: run.attempt, target: session.info.id, how, tookMs: Math.round(now - run.sentAt) })
    this.#handleTaskEnd(run.task, how)
  }

  override onLost (session: TargetSession, run: Run, reason: LossReason): void {
    this.#handleRunGone(session, run, reason)
  }

  #handleRunGone (session: TargetSession, run: Run, reason: LossReason): void {
    this.#options.metrics.countEnd(reason)
    this.#log('order', 'run-lost', { task: run.task, attempt: run.attempt, target: session.info.id, reason, sentMsAgo: Math.round(this.#options.clock.now() - run.sentAt) })
    this.#requeue(run.task)
  }

  override onFound (session: TargetSession, run: Run): void {
    const active = this.#runOf.get(run.task)
    const { job, task } = this.#findTask(run.task)
    if (active !== undefined || task?.state === 'done') {
      session.stopRun(run)
      return
    }
    this.#runOf.set(run.task, { session, run })
    if (job === undefined || task === undefined) {
      this.#found.add(run.task)
      return
    }
    task.state = 'running'
    session.adoptRun(run, job.getStep(task).demand)
    this.#log('order', 'run-adopted', { job: job.id, task: run.task, attempt: run.attempt, target: session.info.id })
  }

  override onUnknownEnd (session: TargetSession, name: string, how: EndKind): void {
    if (how !== 'done' || this.#runOf.has(name)) return
    const { job, task } = this.#findTask(name)
    if (job === undefined || task === undefined) this.#found.addDone(name)
    else if (task.state === 'unlocated') this.#handleTaskEnd(name, how)
  }

  override onSuperseded (session: TargetSession): void {
    if (this.#stopped) return
    this.#log('belief', 'superseded-at-target', { domain: this.#options.domain, target: session.info.id, token: this.#token })
    this.#options.onSuperseded()
  }

  override onChanged (session: TargetSession, what: 'seen' | 'silent' | 'regained' | 'restarted' | 'looked'): void {
    if (what !== 'looked') this.#log('belief', `target-${what}`, { target: session.info.id, runs: session.runs.size, domain: this.#options.domain })
    this.#judgeRuns(session)
    this.#mailbox.schedule()
  }

  override onFault (error: unknown): void {
    this.#options.log.logError('target-session', error)
  }

  /** Stops runs that stand still and learns from slow ones; called with every fresh view. */
  #judgeRuns (session: TargetSession): void {
    const now = this.#options.clock.now()
    for (const run of session.runs.values()) {
      if (run.state !== 'running' || run.acceptedAt === undefined) continue
      const { job, task } = this.#findTask(run.task)
      if (job === undefined || task === undefined) continue
      const { estimateMs } = job.getStep(task)
      if (now - run.progressAt > Math.max(stallMs, estimateMs * stallShare)) {
        session.health.suspend(now)
        this.#log('order', 'run-stalled', { task: run.task, attempt: run.attempt, target: session.info.id, percent: run.percent, standingMs: Math.round(now - run.progressAt) })
        session.stopRun(run)
      } else if (run.percent >= 10) {
        const ratio = (now - run.acceptedAt) / (estimateMs * run.percent / 100)
        if (ratio > slowRatio) session.health.recordSlowRun(ratio)
      }
    }
  }

  #findTask (name: string): { readonly job: JobRun | undefined, readonly task: TaskRecord | undefined } {
    const parsed = parseTaskName(name)
    const job = parsed === undefined ? undefined : this.#jobs.get(parsed.jobId)
    return { job, task: job === undefined ? undefined : job.findTask(parsed!.step, parsed!.index) }
  }

  #handleTaskEnd (name: string, how: EndKind): void {
    const { job, task } = this.#findTask(name)
    this.#runOf.delete(name)
    this.#found.forget(name)
    this.#mailbox.schedule()
    if (job === undefined || task === undefined || task.state === 'done') return
    if (how === 'done') {
      this.#finishTask(job, task)
      return
    }
    if (how === 'failed') task.failures++
    if (task.failures >= job.spec.maxAttempts) {
      this.#endJob(job, { kind: 'failed', reason: 'attempts-used' })
      return
    }
    task.state = 'waiting'
    this.#queue.add(job)
  }

  #finishTask (job: JobRun, task: TaskRecord): void {
    job.markDone(task)
    this.#starts.delete(task.name)
    if (job.isComplete) {
      this.#endJob(job, { kind: 'completed' })
      return
    }
    this.#collect(this.#newlyDone, job.id, task.position)
    if (job.hasWaiting()) this.#queue.add(job)
  }

  #requeue (name: string): void {
    const { job, task } = this.#findTask(name)
    this.#runOf.delete(name)
    this.#found.forget(name)
    this.#mailbox.schedule()
    if (job === undefined || task === undefined || task.state !== 'running') return
    task.state = 'waiting'
    this.#queue.add(job)
  }

  #scheduleTick (): void {
    this.#cancelTick = this.#options.clock.startTimer(tickMs, () => {
      if (this.#stopped) return
      this.#mailbox.post(() => { this.#tick() })
      this.#scheduleTick()
    })
  }

  #tick (): void {
    const now = this.#options.clock.now()
    this.#rejectHopeless(now)
    this.#dropUnlisted()
    for (const ownerId of this.#owners.takeExpired(now)) {
      for (const job of [...this.#jobs.values()]) if (job.ownerId === ownerId) this.#dropJob(job, 'owner lost')
    }
    for (const name of this.#found.takeUnclaimed(now)) {
      const active = this.#runOf.get(name)
      if (active !== undefined) active.session.stopRun(active.run)
    }
    for (const [jobId, entry] of this.#outcomes) {
      if (now - entry.at < outcomeMemoryMs) break
      this.#outcomes.delete(jobId)
    }
  }

  /** Rejects queued jobs that can't be of use any more and have not started. */
  #rejectHopeless (now: number): void {
    for (const job of [...this.#queue]) {
      if (job.started || judgeUrgency(job, now) !== 'useless') continue
      this.#removeJob(job)
      const retryAfterMs = Math.max(100, this.summarize().waitMs)
      this.#owners.send(job.ownerId, { type: 'rejected', jobId: job.id, reason: 'overloaded', retryAfterMs })
      this.#log('job', 'job-rejected', { job: job.id, reason: 'waited-too-long', retryAfterMs, waitedMs: Math.round(now - job.acceptedAt), queued: this.#queue.size })
    }
  }

  #log (logClass: 'belief' | 'job' | 'order', event: string, fields: Readonly<Record<string, string | number | boolean>>): void {
    this.#options.log.log(logClass, event, fields)
  }
}

/** A session as placement sees it; room is read anew for each task of a pass. */
class SessionCandidate {
  readonly session: TargetSession

  constructor (session: TargetSession) {
    this.session = session
  }

  get info (): TargetInfo { return this.session.info }
  get free (): TargetSession['free'] { return this.session.free }
  get slowness (): number { return this.session.health.slowness }
}
