import { type Clock } from '@sesamereel/coordination'
import { CancelledJobs } from './cancelled-jobs.js'
import { canStartAtOnce, chooseDomain } from './domain-choice.js'
import { type DomainDrains } from './domain-drains.js'
import { type DispatcherConnection, lostDispatcherRunExpiryMs } from './dispatcher-connection.js'
import { DispatcherConnectionObserver } from './dispatcher-connection-observer.js'
import { type EventLog } from './event-log.js'
import { type FleetMetrics } from './fleet-metrics.js'
import { JobCancellations } from './job-cancellations.js'
import { createDrainedRejection, createRejection } from './job-rejections.js'
import { type JobSpec, parseTaskName } from './job-types.js'
import { type FleetLimits } from './limits.js'
import { type DispatcherMessage, type EarlierOrder, type LoadSummary } from './messages.js'
import { OrderReports } from './order-reports.js'
import { type JobAnswer, OwnedJob, type SubmissionRecord } from './owned-job.js'
import { type CancellationOutcome } from './pending-cancellations.js'
import { startPeriodicTimer } from './periodic-timer.js'
import { roundIfFinite } from './round-for-log.js'

/** Interval in milliseconds between checks of all jobs for expiry and for lost dispatchers. */
const checkIntervalMs = 50

/** Minimum time in milliseconds that a job waits at a dispatcher before it may move to another domain. */
const minWaitBeforeMoveMs = 15

/** Retry delay in milliseconds told to callers whose job got no dispatcher. */
const noDispatcherRetryAfterMs = 500

type Reply<T extends DispatcherMessage['type']> = Extract<DispatcherMessage, { type: T }>

/** Handle with which a caller awaits a job. */
export interface JobHandle {
  readonly answer: Promise<JobAnswer>
  /** Stops waiting; the job is cancelled if no other caller waits for it. */
  readonly abandon: (reason: string) => void
}

export interface JobOwnerOptions {
  readonly homeDomain: string
  readonly clock: Clock
  readonly limits: FleetLimits
  readonly log: EventLog
  readonly metrics: FleetMetrics
  /** Cancelled jobs, shared with the dispatchers of this process; by default a list of the owner's own. */
  readonly cancelled?: CancelledJobs
  /** The drained domains, which get no new jobs; undefined if domains can't be drained. */
  readonly drains?: DomainDrains
}

/**
 * Owns the jobs that this instance has accepted: chooses a domain for each, submits it to the domain's
 * dispatcher, resubmits it after a takeover, and answers its callers. A job is at one dispatcher at a
 * time. It goes to another one only after a rejection, a confirmed withdrawal, or once no run of it
 * that the lost dispatcher started can exist.
 */
export class JobOwner extends DispatcherConnectionObserver {
  readonly #options: JobOwnerOptions
  readonly #connections = new Map<string, DispatcherConnection>()
  readonly #jobs = new Map<string, OwnedJob>()
  readonly #cancellations: JobCancellations
  readonly #orderReports: OrderReports
  readonly #onHandOver: (domain: string, successor: string) => void
  #lastSubmissionId = 0
  readonly #cancelTick: () => void

  /**
   * @param onHandOver - called when a dispatcher asks this instance to take over its domain
   */
  constructor (options: JobOwnerOptions, onHandOver: (domain: string, successor: string) => void) {
    super()
    this.#options = options
    this.#onHandOver = onHandOver
    this.#orderReports = new OrderReports(options.limits.lateOrderMs, options.clock, options.log)
    this.#cancellations = new JobCancellations({
      clock: options.clock,
      log: options.log,
      metrics: options.metrics,
      cancelled: options.cancelled ?? new CancelledJobs(),
      connections: this.#connections,
      hasJob: jobId => this.#jobs.has(jobId),
      cancelOwnJob: (jobId, reason) => { this.#cancelAndAnswer(this.#jobs.get(jobId)!, { kind: 'failed', reason: 'cancelled' }, reason) }
    })
    this.#cancelTick = startPeriodicTimer(options.clock, checkIntervalMs, () => { this.#checkJobs() })
  }

  get jobCount (): number { return this.#jobs.size }
  get pendingCancellationCount (): number { return this.#cancellations.pendingCount }

  addConnection (connection: DispatcherConnection): void {
    this.#connections.set(connection.domain, connection)
  }

  hasJob (jobId: string): boolean {
    return this.#jobs.has(jobId)
  }

  /** @returns whether a job with the id was cancelled lately, or is being cancelled here */
  isCancelled (jobId: string): boolean {
    return this.#cancellations.isCancelled(jobId)
  }

  /** @returns whether the dispatcher of at least one domain is connected */
  isDispatcherConnected (): boolean {
    return this.#listConnected().length > 0
  }

  /**
   * Accepts a job, or attaches the caller to the open job with the same id. A job that a caller has cancelled is not run.
   *
   * @param callerTimeoutMs - time in milliseconds that the caller waits; ignored for a known job
   */
  submit (spec: JobSpec, callerTimeoutMs: number): JobHandle {
    if (this.#cancellations.refuse(spec.id)) return { answer: Promise.resolve({ kind: 'failed', reason: 'cancelled' }), abandon: () => {} }
    const known = this.#jobs.get(spec.id)
    const job = known ?? new OwnedJob(spec, callerTimeoutMs, this.#options.clock.now(), this.#options.clock.readElapsed())
    let waiter: (answer: JobAnswer) => void = () => {}
    const answer = new Promise<JobAnswer>(resolve => { waiter = resolve })
    job.addWaiter(waiter)
    if (known === undefined) {
      this.#jobs.set(spec.id, job)
      this.#assignDispatcher(job)
    }
    return { answer, abandon: reason => { this.#abandon(job, waiter, reason) } }
  }

  /**
   * Cancels a job, whichever instance owns it.
   *
   * @param timeoutMs - time in milliseconds after which the outcome is `unconfirmed`; the cancellation is pursued further
   * @returns what is certain about the job
   */
  async cancel (jobId: string, timeoutMs: number): Promise<CancellationOutcome> {
    return await this.#cancellations.cancel(jobId, timeoutMs)
  }

  /** Keeps the orders that a dispatcher of this process has left open, to report them to its successor. */
  keepOrders (domain: string, token: number, orders: readonly EarlierOrder[]): void {
    this.#orderReports.keep(domain, token, orders)
  }

  /** @returns the orders of lost dispatchers of each domain that has no connected one to which they were reported */
  listUnreportedOrders (): ReadonlyArray<{ readonly domain: string, readonly orders: readonly EarlierOrder[] }> {
    return [...this.#connections.values()].filter(({ isConnected }) => !isConnected)
      .map(({ domain }) => ({ domain, orders: this.#orderReports.listOfDomain(domain) }))
      .filter(({ orders }) => orders.length > 0)
  }

  /** Answers every open job and cancels it at its dispatcher, when the process must stop. */
  endAllJobs (reason: string): void {
    for (const job of [...this.#jobs.values()]) this.#abortJob(job, reason)
  }

  close (): void {
    this.#cancelTick()
  }

  override onConnected (connection: DispatcherConnection): void {
    this.#cancellations.onConnected(connection)
    this.#orderReports.reportToSuccessor(connection)
    for (const job of [...this.#jobs.values()]) {
      if (job.location.kind === 'submitted' && job.location.domain === connection.domain) this.#submitTo(job, connection, true)
      else if (job.location.kind === 'withdrawing' && job.location.domain === connection.domain) this.#submitTo(job, connection, true)
      else if (job.location.kind === 'none') this.#assignDispatcher(job)
    }
  }

  override onDisconnected (connection: DispatcherConnection): void {
    this.#orderReports.reportLost(connection.domain, this.#listConnected())
    let count = 0
    for (const job of this.#jobs.values()) {
      if (job.location.kind === 'none' || job.location.domain !== connection.domain) continue
      job.mayHaveStarted = true
      count++
    }
    if (count > 0) this.#options.log.log('belief', 'jobs-await-dispatcher', { domain: connection.domain, jobs: count, token: connection.token })
  }

  override onLoadChanged (connection: DispatcherConnection): void {
    this.#orderReports.settle(connection, this.#listConnected())
    const { load } = connection
    if (load === undefined || load.queuedJobs > 0) return
    this.#moveWaitingJobs(connection, load)
  }

  override onDispatcherMessage (connection: DispatcherConnection, message: DispatcherMessage): void {
    switch (message.type) {
      case 'started': this.#handleStarted(connection, message.jobIds); break
      case 'start-announcement':
        this.#orderReports.confirm(connection, message, this.#listConnected())
        this.#handleStarted(connection, message.starts.map(({ task }) => parseTaskName(task)?.jobId ?? ''))
        break
      case 'order-unanswered':
      case 'order-settled':
      case 'outstanding-orders': this.#orderReports.apply(connection, message); break
      case 'progress': this.#handleProgress(connection, message); break
      case 'losses': this.#handleLosses(connection, message); break
      case 'ended': this.#handleEnded(connection, message); break
      case 'rejected': this.#handleRejection(connection, message); break
      case 'withdrawn': this.#handleWithdrawn(connection, message); break
      case 'cancelled-any': this.#cancellations.onAnswer(connection.domain, message.jobId, message.found); break
      case 'hand-over': this.#onHandOver(connection.domain, message.successor); break
      default:
    }
  }

  #handleStarted (connection: DispatcherConnection, jobIds: readonly string[]): void {
    for (const jobId of jobIds) {
      const job = this.#findJobAt(jobId, connection)
      if (job !== undefined) job.mayHaveStarted = true
    }
  }

  #handleProgress (connection: DispatcherConnection, { jobId, submissionId, done }: Reply<'progress'>): void {
    const job = this.#findJobAt(jobId, connection, submissionId)
    for (const position of done) job?.done.add(position)
  }

  #handleLosses (connection: DispatcherConnection, { jobId, submissionId, losses }: Reply<'losses'>): void {
    const job = this.#findJobAt(jobId, connection, submissionId)
    if (job !== undefined) job.losses = losses
  }

  #handleEnded (connection: DispatcherConnection, { jobId, submissionId, outcome }: Reply<'ended'>): void {
    const job = this.#findJobAt(jobId, connection, submissionId)
    if (job === undefined) return
    if (outcome.kind === 'failed' && outcome.reason === 'cancelled') this.#cancellations.noteCancelledElsewhere(jobId)
    this.#answerJob(job, outcome)
  }

  /**
   * @param submissionId - the submission to which a message replies; undefined when it does not matter
   * @returns the job if the dispatcher of this connection has it, and has not been sent a later submission
   */
  #findJobAt (jobId: string, connection: DispatcherConnection, submissionId?: number): OwnedJob | undefined {
    const job = this.#jobs.get(jobId)
    if (job === undefined || job.location.kind === 'none' || job.location.domain !== connection.domain) return undefined
    if (submissionId === undefined || submissionId === job.location.submissionId) return job
    this.#options.log.log('job', 'reply-ignored', { job: jobId, domain: connection.domain, submission: submissionId, newest: job.location.submissionId })
    return undefined
  }

  /** Submits a job without a dispatcher: to one that may still hold it, else to the domain with the shortest expected wait. */
  #assignDispatcher (job: OwnedJob): void {
    const holder = this.#findHolder(job)
    if (holder !== undefined) {
      if (holder.isConnected) this.#submitTo(job, holder, true)
      // It is submitted once the domain has a dispatcher again, or no run of it can exist there any more.
      else job.mayHaveStarted = true
      return
    }
    const options = this.#listCandidates(job)
      .map(connection => ({ domain: connection.domain, load: connection.load, isHome: connection.domain === this.#options.homeDomain }))
    const chosen = chooseDomain(options, job.demand)?.domain
    if (chosen === undefined) {
      if (this.#isOnlyDrainedConnected()) this.#rejectDrained(job)
      else if (job.rejectedBy.size > 0) this.#answerJob(job, createRejection(job, 'overloaded'))
      return
    }
    this.#submitTo(job, this.#connections.get(chosen)!, job.mayHaveStarted)
  }

  #listConnected (): readonly DispatcherConnection[] {
    return [...this.#connections.values()].filter(connection => connection.isConnected)
  }

  /** @returns connections to the dispatchers that a job may be submitted to */
  #listCandidates ({ rejectedBy }: OwnedJob): readonly DispatcherConnection[] {
    return this.#listConnected().filter(connection => !rejectedBy.has(connection.domain) && !this.#isDrained(connection))
  }

  #isDrained ({ domain }: DispatcherConnection): boolean {
    return this.#options.drains?.isDrained(domain) === true
  }

  /** Answers a job that no connected domain takes, because domains are drained. */
  #rejectDrained (job: OwnedJob): void {
    const connected = this.#listConnected()
    this.#options.log.log('job', 'job-unassigned', { job: job.spec.id, connected: connected.length, drained: connected.filter(connection => this.#isDrained(connection)).length, rejectedBy: job.rejectedBy.size, readMsAgo: roundIfFinite(this.#options.drains?.measureReadAgeMs()), mayHaveStarted: job.mayHaveStarted })
    this.#answerJob(job, createDrainedRejection(job))
  }

  /** @returns whether dispatchers are connected, all of drained domains */
  #isOnlyDrainedConnected (): boolean {
    const connected = this.#listConnected()
    return connected.length > 0 && connected.every(connection => this.#isDrained(connection))
  }

  /** @returns the connection to a dispatcher that lists the job, or that did so before it was lost; a connected one first */
  #findHolder (job: OwnedJob): DispatcherConnection | undefined {
    const holders = [...this.#connections.values()].filter(({ domain }) => !job.rejectedBy.has(domain)).filter(connection => connection.isLingering(job.spec.id))
    return holders.find(({ isConnected }) => isConnected) ?? holders.find(connection => connection.measureLostMs() <= lostDispatcherRunExpiryMs)
  }

  #submitTo (job: OwnedJob, connection: DispatcherConnection, resubmitted: boolean): void {
    const now = this.#options.clock.now()
    const ageMs = now - job.acceptedAt
    const suspendedMs = Math.max(0, this.#options.clock.readElapsed() - job.acceptedElapsed - ageMs)
    const { load, domain, token } = connection
    const last = job.location.kind === 'none' ? undefined : job.location
    const isSameDispatcher = last?.domain === domain && last.token === token
    const isFirstDispatcher = isSameDispatcher ? last.isFirstDispatcher : !job.mayHaveStarted
    const submissionId = ++this.#lastSubmissionId
    job.location = { kind: 'submitted', domain, token, submissionId, submittedAt: now, isFirstDispatcher }
    const quietInMs = resubmitted ? Math.round(connection.measureQuietMs()) : 0
    this.#options.log.log('job', 'job-submitted', { job: job.spec.id, submission: submissionId, domain, resubmitted, quietInMs, ageMs: Math.round(ageMs), token, free: load?.freeProcessors, waitMs: load?.waitMs, queued: load?.queuedJobs, listAgeMs: roundIfFinite(connection.measureListAgeMs()), unlisted: this.#countUnlisted() })
    connection.reserveProcessors(job.demand.processors)
    this.#orderReports.reportOfJob(job.spec.id, connection)
    connection.send({ type: 'submit', submissionId, job: job.spec, ageMs, ...(suspendedMs > 0 ? { suspendedMs } : {}), resubmitted, quietInMs, done: [...job.done], ...(job.losses === undefined ? {} : { losses: job.losses }) })
  }

  #handleRejection (connection: DispatcherConnection, { jobId, submissionId, reason, retryAfterMs }: Reply<'rejected'>): void {
    const job = this.#findJobAt(jobId, connection, submissionId)
    if (job === undefined || job.location.kind === 'none') return
    if (job.location.isFirstDispatcher) job.mayHaveStarted = false
    job.location = { kind: 'none' }
    job.rejectedBy.add(connection.domain)
    job.retryAfterMs = job.rejectedBy.size === 1 ? retryAfterMs : Math.min(job.retryAfterMs, retryAfterMs)
    const others = this.#listCandidates(job)
    const now = this.#options.clock.now()
    const isWorthwhile = reason !== 'overloaded' || others.some(other => (other.load?.waitMs ?? 0) < job.spec.usefulMs - (now - job.acceptedAt))
    if (others.length > 0 && isWorthwhile) {
      this.#assignDispatcher(job)
      return
    }
    const hasDrainedDomain = this.#listConnected().some(other => this.#isDrained(other))
    // A target of a drained domain may fit the job.
    if (reason === 'draining' || (hasDrainedDomain && reason === 'fits-no-target')) this.#rejectDrained(job)
    else if (reason === 'fits-no-target' && !job.mayHaveStarted) this.#answerJob(job, { kind: 'failed', reason })
    else this.#answerJob(job, createRejection(job, reason))
  }

  #handleWithdrawn (connection: DispatcherConnection, { jobId, submissionId }: Reply<'withdrawn'>): void {
    const job = this.#findJobAt(jobId, connection, submissionId)
    if (job === undefined || job.location.kind !== 'withdrawing') return
    const to = this.#connections.get(job.location.destination)
    job.location = { kind: 'none' }
    if (to?.isConnected === true && !this.#isDrained(to)) this.#submitTo(job, to, false)
    else this.#assignDispatcher(job)
  }

  /** Withdraws jobs that wait in other domains so that they can move to a domain with free capacity. */
  #moveWaitingJobs (to: DispatcherConnection, load: LoadSummary): void {
    if (this.#isDrained(to)) return
    const now = this.#options.clock.now()
    let free = load.freeProcessors / 2
    for (const job of this.#jobs.values()) {
      if (job.location.kind !== 'submitted' || job.location.domain === to.domain || job.mayHaveStarted) continue
      if (now - job.location.submittedAt < minWaitBeforeMoveMs || job.rejectedBy.has(to.domain)) continue
      const from = this.#connections.get(job.location.domain)
      if (from?.isConnected !== true || !canStartAtOnce({ ...load, freeProcessors: free }, job.demand)) continue
      free -= job.demand.processors
      job.location = { ...job.location, kind: 'withdrawing', destination: to.domain }
      this.#options.log.log('job', 'job-moves', { job: job.spec.id, from: from.domain, to: to.domain, free: load.freeProcessors, waitedMs: Math.round(now - job.acceptedAt) })
      from.send({ type: 'withdraw', jobId: job.spec.id, submissionId: job.location.submissionId })
    }
  }

  #abandon (job: OwnedJob, waiter: (answer: JobAnswer) => void, reason: string): void {
    job.removeWaiter(waiter)
    if (job.waiterCount > 0 || this.#jobs.get(job.spec.id) !== job) return
    this.#options.metrics.countAnswer('abandoned', reason, this.#options.clock.now() - job.acceptedAt)
    this.#cancelAndAnswer(job, { kind: 'unknown', reason }, reason)
  }

  #answerJob (job: OwnedJob, answer: JobAnswer): void {
    const ageMs = this.#options.clock.now() - job.acceptedAt
    this.#jobs.delete(job.spec.id)
    this.#options.metrics.countAnswer(answer.kind, answer.kind === 'completed' ? '' : answer.reason, ageMs)
    this.#options.log.log('job', 'job-answered', {
      job: job.spec.id,
      answer: answer.kind,
      reason: answer.kind === 'completed' ? undefined : answer.reason,
      ageMs: Math.round(ageMs),
      objectiveMs: Math.round(job.spec.objectiveMs),
      domain: job.location.kind === 'none' ? undefined : job.location.domain,
      connected: job.location.kind === 'none' ? undefined : this.#connections.get(job.location.domain)?.isConnected,
      mayHaveStarted: job.mayHaveStarted
    })
    job.answer(answer)
  }

  /** Cancels a job at its dispatcher, if it has one, and answers its callers. */
  #cancelAndAnswer (job: OwnedJob, answer: JobAnswer, reason: string): void {
    if (job.location.kind !== 'none') this.#cancelAtDispatcher(job.spec.id, job.location, reason)
    this.#answerJob(job, answer)
  }

  #cancelAtDispatcher (jobId: string, { domain, submissionId }: SubmissionRecord, reason: string): void {
    const connection = this.#connections.get(domain)
    if (connection?.isConnected !== true) this.#options.log.log('job', 'cancellation-not-sent', { job: jobId, submission: submissionId, domain, lostMs: roundIfFinite(connection?.measureLostMs()) })
    connection?.send({ type: 'cancel', jobId, reason, submissionId })
  }

  /** @returns number of domains of whose dispatcher this instance does not know the lingering jobs */
  #countUnlisted (): number {
    return [...this.#connections.values()].filter(connection => !connection.isConnected || connection.measureListAgeMs() === undefined).length
  }

  /** Ends a job without a result; answers `rejected` only if no task of it can have started. */
  #abortJob (job: OwnedJob, reason: string): void {
    const cannotHaveStarted = job.location.kind === 'none' && !job.mayHaveStarted
    this.#cancelAndAnswer(job, cannotHaveStarted ? { kind: 'rejected', reason: 'no-dispatcher', retryAfterMs: noDispatcherRetryAfterMs } : { kind: 'unknown', reason }, reason)
  }

  #checkJobs (): void {
    const now = this.#options.clock.now()
    this.#cancellations.applyChanges()
    this.#orderReports.expire(now)
    for (const job of [...this.#jobs.values()]) this.#checkJob(job, now)
  }

  #checkJob (job: OwnedJob, now: number): void {
    const ageMs = now - job.acceptedAt
    if (ageMs > job.callerTimeoutMs) {
      this.#abortJob(job, 'the caller has stopped waiting')
      return
    }
    const connection = job.location.kind === 'none' ? undefined : this.#connections.get(job.location.domain)
    if (connection?.isConnected === true) return
    if (ageMs + job.spec.objectiveMs / 2 > job.spec.usefulMs) this.#abortJob(job, 'no dispatcher was connected in time')
    else if (connection !== undefined && connection.measureLostMs() > lostDispatcherRunExpiryMs) {
      job.location = { kind: 'none' }
      this.#assignDispatcher(job)
    } else if (connection === undefined) this.#assignDispatcher(job)
  }
}
