import { type Clock, Mailbox } from '@sesamereel/coordination'
import { CancellationIntake } from './cancellation-intake.js'
import { type CancelledChanges, CancelledJobs } from './cancelled-jobs.js'
import { DispatchState, maintenanceIntervalMs, type ReleaseEvidence } from './dispatch-state.js'
import { type DispatchedJob } from './dispatched-job.js'
import { DrainDispatch, type DispatcherDrains } from './drain-dispatch.js'
import { type EventLog } from './event-log.js'
import { type FleetMetrics } from './fleet-metrics.js'
import { HeldTasks } from './held-tasks.js'
import { JobIntake } from './job-intake.js'
import { type FleetLimits } from './limits.js'
import { createLocalityPolicy } from './locality-policy.js'
import { type EarlierOrder, type LoadSummary, type OwnerMessage } from './messages.js'
import { type MetadataStore } from './metadata-store.js'
import { OrderRecorder } from './order-recorder.js'
import { type OwnerConnection } from './owner-registry.js'
import { startPeriodicTimer } from './periodic-timer.js'
import { type LearnedRunTime } from './run-time-model.js'
import { RunTracker } from './run-tracker.js'
import { SessionContexts } from './session-contexts.js'
import { StartAnnouncements } from './start-announcements.js'
import { type TargetSession } from './target-session.js'
import { TargetSessions } from './target-sessions.js'
import { type TargetConnector, type TargetInfo } from './target-types.js'
import { TaskScheduler } from './task-scheduler.js'
import { WitnessChoice } from './witness-choice.js'

/** Time in milliseconds by which a job is listed as lingering before its caller may resubmit it. */
const resubmitMarginMs = 300

/**
 * Time in milliseconds beyond the longest lease after which the leases of an earlier dispatcher's
 * runs have expired.
 */
const leaseExpiryMarginMs = 170

/**
 * Age in milliseconds of the list of targets beyond which a new dispatcher waits for a newer one before it starts tasks: a
 * target whose capacity has shrunk since may not check it. Instances that do not follow the list read it each 10 s.
 */
const maxListAgeMs = 3_000

/** Longest time in milliseconds of that wait; the store may be unavailable. */
const maxListWaitMs = 300

export interface DispatcherOptions {
  readonly domain: string
  /** Fencing token: targets refuse orders with a lower token than the highest they have seen. */
  readonly token: number
  readonly clock: Clock
  readonly limits: FleetLimits
  readonly connector: TargetConnector
  readonly log: EventLog
  readonly metrics: FleetMetrics
  /** Ratio of a task's run time outside the rack of its data to its run time inside. */
  readonly remoteFactor: number
  /** Whether the list of targets is certain to name every target that an earlier dispatcher may have used. */
  readonly isListComplete: () => boolean
  /** Returns the milliseconds since the list of targets was last known to be current. */
  readonly measureListAgeMs: () => number
  /** Cancelled jobs, shared with the owner of this process; by default a list of the dispatcher's own. */
  readonly cancelled?: CancelledJobs
  /** Whether the operator's configuration has queues of several priorities for a service; never if absent. */
  readonly isContended?: (service: string) => boolean
  /** The drains of domains; undefined if domains can't be drained. */
  readonly drains?: DispatcherDrains
  /** Reads the list of targets soon, because the entry of a restarted target is not known yet. */
  readonly requestList?: () => void
  /** Asks for a higher token, as those that fence earlier incarnations of a target run out. */
  readonly requestToken?: () => void
  /** Fraction for the floor under the share of each queue of a contended service, above 0 and at most 1; no floor if absent. */
  readonly queueFloor?: number | undefined
  /** Whether tasks may wait for a place near their data; never if absent. */
  readonly waitsForLocality?: boolean
  /** Store that keeps the orders without an answer, for when no process is left that knows of them; not used if absent. */
  readonly store?: MetadataStore
  /** Called when a target refuses a request because this dispatcher is fenced by a higher token. */
  readonly onSuperseded: () => void
}

/**
 * The dispatcher of one failure domain. It alone starts tasks at the domain's targets as long as no
 * higher token is in force there. All state is in memory; a successor rebuilds it from the runs that
 * the targets list and from the jobs that the owners resubmit.
 */
export class Dispatcher {
  readonly #options: DispatcherOptions
  readonly #state: DispatchState
  readonly #drain: DrainDispatch
  readonly #intake: JobIntake
  readonly #cancellations: CancellationIntake
  readonly #tracker: RunTracker
  readonly #scheduler: TaskScheduler
  readonly #announcements: StartAnnouncements
  readonly #heldTasks: HeldTasks
  readonly #recorder: OrderRecorder | undefined
  readonly #mailbox: Mailbox<() => void>
  readonly #startedAt: number
  readonly #sessionContexts: SessionContexts
  readonly #targetSessions: TargetSessions
  #token: number
  readonly #cancelMaintenance: () => void
  #stopped = false
  #startsPaused = false
  /** Whether an owner was connected to an earlier dispatcher of the domain, so that it reports the orders of that one. */
  #hasInformedOwner = false

  constructor (options: DispatcherOptions) {
    this.#options = options
    this.#token = options.token
    this.#startedAt = options.clock.now()
    this.#sessionContexts = new SessionContexts(options.limits.lateOrderMs, () => this.#token, () => { options.requestToken?.() }, options.measureListAgeMs)
    this.#state = new DispatchState(options.clock, options.limits, options.log, options.metrics, options.isContended, options.queueFloor)
    this.#drain = new DrainDispatch(this.#state, options.domain, options.drains, () => { this.#mailbox.schedule() })
    this.#intake = new JobIntake(this.#state, this.#drain)
    this.#cancellations = new CancellationIntake(this.#state, options.cancelled ?? new CancelledJobs())
    this.#mailbox = new Mailbox(message => { message() }, () => { this.#onMessagesHandled() })
    const witnessChoice = new WitnessChoice(this.#state.owners, options.domain, options.clock)
    this.#announcements = new StartAnnouncements(this.#state, options.limits.lateOrderMs, witnessChoice)
    this.#recorder = this.#createRecorder()
    this.#heldTasks = new HeldTasks(this.#state, options.limits, this.#sessionContexts, witnessChoice, this.#recorder)
    this.#tracker = new RunTracker(this.#state, options.limits.lateOrderMs, this.#announcements, {
      onChange: () => { this.#mailbox.schedule() },
      onSuperseded: session => { this.#onSuperseded(session) },
      onOrderOutstanding: order => { this.#recorder?.add(order) }
    })
    const { clock, limits, connector, isListComplete, measureListAgeMs, requestList = () => {} } = options
    this.#targetSessions = new TargetSessions(this.#state, { clock, limits, connector, isListComplete, measureListAgeMs, requestList, contexts: this.#sessionContexts, observer: this.#tracker, readToken: () => this.#token })
    this.#scheduler = new TaskScheduler(this.#state, () => this.#token, options.remoteFactor, createLocalityPolicy(this.#state, options.remoteFactor, options.waitsForLocality === true), this.#announcements)
    this.#cancelMaintenance = startPeriodicTimer(options.clock, maintenanceIntervalMs, () => { this.#mailbox.post(() => { this.#runMaintenance() }) })
    this.#recorder?.start()
  }

  get token (): number { return this.#token }
  get domain (): string { return this.#options.domain }
  get queueLength (): number { return this.#state.queue.size }
  get isStopped (): boolean { return this.#stopped }
  /** Sequence number up to which the orders of all announcements are settled. */
  get settledSequence (): number { return this.#announcements.settledSequence }

  /** @returns milliseconds since the oldest queued job was received; 0 when the queue is empty */
  measureQueueAgeMs (): number {
    const now = this.#state.now()
    let oldest = now
    for (const job of this.#state.queue) oldest = Math.min(oldest, job.receivedAt)
    return now - oldest
  }

  /** @returns the learned run times of the queues that compete for targets */
  listRunTimes (): readonly LearnedRunTime[] {
    return this.#state.contention.listRunTimes()
  }

  /** @returns the queues whose jobs go first because their share of the targets is too small */
  listQueuesBelowFloor (): readonly string[] {
    return this.#state.contention.floor.listBelow()
  }

  /** @returns the sessions of all targets */
  listSessions (): readonly TargetSession[] {
    return [...this.#state.sessions.values()]
  }

  /** Raises the token of this dispatcher after its claim was written; a lower token has no effect. */
  raiseToken (token: number): void {
    this.#token = Math.max(this.#token, token)
  }

  /** Stops sending orders. Runs continue until a successor adopts them or their leases expire. */
  stop (): void {
    if (this.#stopped) return
    this.#stopped = true
    this.#cancelMaintenance()
    this.#drain.close()
    this.#recorder?.close()
    this.#mailbox.stop()
    this.#targetSessions.close()
  }

  /**
   * Writes the orders that a later incarnation of their target may carry out to the store, for a dispatcher that ends.
   *
   * @param timeoutMs - time limit in milliseconds
   */
  async recordOpenOrders (timeoutMs: number): Promise<void> {
    if (this.#recorder === undefined) return
    for (const order of this.listOpenOrders()) this.#recorder.add(order)
    await this.#recorder.flush(timeoutMs)
  }

  /** @returns the orders that a later incarnation of their target may carry out, as far as this dispatcher knows */
  listOpenOrders (): readonly EarlierOrder[] {
    const now = this.#state.now()
    const outstanding = this.#state.outstanding.list().map(({ task, attempt, target, expiresAt }) => ({ task, attempt, target, isUnanswered: true, remainingMs: expiresAt - now }))
    const sent = this.#announcements.listSent().map(order => ({ ...order, isUnanswered: false, remainingMs: this.#options.limits.lateOrderMs }))
    return [...outstanding.filter(({ remainingMs }) => remainingMs > 0), ...sent]
  }

  /** Starts no more tasks and rejects new jobs while a successor claims the domain. */
  prepareHandOver (): void {
    this.#startsPaused = true
    this.#intake.close()
  }

  /** Applies the newest list of the domain's targets; unlisted targets drain until their runs have ended. */
  updateTargets (targets: readonly TargetInfo[]): void {
    if (this.#stopped) return
    this.#targetSessions.update(targets)
    this.#mailbox.schedule()
  }

  /**
   * Registers the connection of an owner and sends it the token.
   *
   * @param lingering - ids of jobs that a resubmission may concern, if the owner expects them with the welcome
   */
  addOwner (connection: OwnerConnection, lingering?: readonly string[]): void {
    const sentAt = this.#state.readElapsed()
    this.#state.owners.add(connection, sentAt)
    if (connection.knownToken !== undefined && connection.knownToken !== this.#token) this.#hasInformedOwner = true
    connection.send({ type: 'welcome', token: this.#token, sentAt, ...(lingering === undefined ? {} : { lingering, cancelled: this.#cancellations.listAll() }), ...this.#options.drains?.state.describe() })
  }

  /** Handles the end of an owner's connection. Its jobs are kept for a while in case it reconnects. */
  removeOwner (connection: OwnerConnection): void {
    this.#state.owners.remove(connection, this.#state.now())
    this.#cancellations.noteOwnerClosed(connection)
  }

  /** Queues one message of an owner to be handled. Heartbeats come often and change no queue, so they are handled at once. */
  enqueueMessage (connection: OwnerConnection, message: OwnerMessage): void {
    if (this.#stopped) return
    if (message.type === 'heartbeat-reply' && message.cancelled !== undefined) this.#cancellations.merge(message.cancelled)
    if (message.type === 'ping' || message.type === 'heartbeat-reply') this.#handleHeartbeat(connection, message.heardSentAt)
    else this.#mailbox.post(() => { this.#handleMessage(connection, message) })
  }

  /** @returns cancelled jobs that were recorded since a sequence number, for the owners */
  listCancelled (sequence: number): CancelledChanges {
    return this.#cancellations.listChanges(sequence)
  }

  /** @returns the load summary that is sent to the owners */
  summarizeLoad (): LoadSummary {
    const load = this.#state.summarizeLoad()
    return this.#drain.isDrained ? { ...load, runs: this.#drain.countRuns() } : load
  }

  /**
   * @returns ids of jobs that a resubmission may meet here: old jobs, jobs whose owner is
   *   disconnected, jobs known only by their runs, jobs under whose tasks targets were lost, and jobs with outstanding start orders
   */
  listLingering (): readonly string[] {
    const { jobs, runs, owners, losses, outstanding } = this.#state
    const acceptedBefore = this.#state.readElapsed() - this.#options.limits.resubmitMs + resubmitMarginMs
    const ids = new Set<string>([...losses.listJobs(), ...outstanding.listJobs()])
    for (const job of jobs.values()) {
      if (job.acceptedElapsed < acceptedBefore || !owners.isConnected(job.ownerId)) ids.add(job.id)
    }
    for (const { run } of runs.values()) {
      const jobId = run.name?.jobId
      if (jobId !== undefined && !jobs.has(jobId)) ids.add(jobId)
    }
    return [...ids]
  }

  #handleHeartbeat (connection: OwnerConnection, heardSentAt: number | undefined): void {
    const { owners } = this.#state
    // Owners of an earlier version don't send back what they have heard.
    owners.confirm(connection, heardSentAt ?? this.#state.readElapsed())
    if (heardSentAt !== undefined) owners.markAnswered(connection)
  }

  #handleMessage (connection: OwnerConnection, message: OwnerMessage): void {
    // The owner submits all its jobs again on its newest connection, but not those that it has cancelled before.
    const isCancellation = message.type === 'cancel' && message.submissionId !== undefined
    if (!isCancellation && this.#state.owners.isSuperseded(connection)) {
      this.#state.log('job', 'message-ignored', { owner: connection.ownerId, type: message.type, reason: 'superseded connection' })
      return
    }
    // An owner may send a cancellation before it has received the welcome.
    if (message.type !== 'cancel') this.#state.owners.confirm(connection)
    switch (message.type) {
      case 'submit':
        if (!this.#cancellations.refuse(connection, message)) this.#intake.handleSubmission(connection, message, job => this.#findReleaseEvidence(job))
        break
      case 'start-confirmation': this.#announcements.confirm(connection, message.sequence); break
      case 'earlier-orders': this.#heldTasks.receive(connection, message.orders); break
      case 'earlier-orders-settled': this.#heldTasks.retract(connection, message.orders); break
      case 'withdraw': this.#intake.withdraw(connection, message); break
      case 'cancel': this.#intake.cancel(connection, message, message.reason); break
      case 'cancel-any': this.#cancellations.cancel(connection, message.jobId, message.known === true); break
      // These are handled elsewhere.
      case 'ping':
      case 'heartbeat-reply':
      case 'hello':
      case 'configuration':
      case 'configuration-request':
    }
  }

  #onMessagesHandled (): void {
    if (this.#stopped) return
    this.#releaseUnlocatedJobs()
    // Read first: the deadlines of the orders count from this time, so that a pause after the decision makes targets refuse them.
    const now = this.#state.now()
    const mayStart = this.#drain.settleJobs()
    if (mayStart && !this.#startsPaused && !this.#awaitsList() && !this.#awaitsRecords()) {
      this.#scheduler.startTasks(now)
      this.#scheduler.orderConfirmed(now)
    } else {
      this.#scheduler.dropConfirmed()
    }
    this.#state.reportProgress()
  }

  /**
   * Releases unlocated tasks. After a takeover they wait until every target has answered a poll,
   * or until the leases of all runs of an earlier dispatcher have expired. The list entries of
   * partitioned targets expire, and targets may have joined that only the earlier dispatcher knew of,
   * so answers of all listed targets are enough only while the list is complete, and current since this
   * dispatcher began. A partitioned earlier dispatcher may continue for a while, so the owners state for how
   * long the runs that it started may exist.
   */
  #releaseUnlocatedJobs (): void {
    for (const job of this.#state.unlocatedJobs) {
      const evidence = this.#findReleaseEvidence(job)
      if (evidence === undefined) continue
      this.#state.releaseUnlocatedTasks(job, evidence, { targets: this.#state.sessions.size, listAgeMs: Math.round(this.#options.measureListAgeMs()), dispatchingMs: Math.round(this.#state.now() - this.#startedAt) })
    }
  }

  /** @returns the evidence that no run of the job that an earlier dispatcher started can exist, apart from known ones */
  #findReleaseEvidence (job: DispatchedJob): ReleaseEvidence | undefined {
    if (this.#targetSessions.haveAllAnswered()) return 'targets-polled'
    const leasesEndAt = this.#startedAt + this.#options.limits.maxLeaseMs + leaseExpiryMarginMs
    return this.#state.now() >= Math.max(leasesEndAt, job.earlierRunsEndAt) ? 'leases-expired' : undefined
  }

  /** @returns whether this dispatcher is new and its list of targets too old to start tasks by */
  #awaitsList (): boolean {
    return this.#state.now() - this.#startedAt < maxListWaitMs && this.#options.measureListAgeMs() > maxListAgeMs
  }

  #createRecorder (): OrderRecorder | undefined {
    const { store, domain, clock, limits, log, metrics } = this.#options
    if (store === undefined) return undefined
    return new OrderRecorder({
      domain,
      writer: String(this.#options.token),
      store,
      clock,
      lateOrderMs: limits.lateOrderMs,
      log,
      metrics,
      isOutstanding: order => this.#state.outstanding.has(order),
      onRead: orders => { this.#mailbox.post(() => { this.#heldTasks.receiveRecorded(orders, domain) }) }
    })
  }

  /**
   * @returns whether the orders of lost dispatchers must be read from the store before tasks start: for a short time if an owner
   *   reports them as well, else until none of them can be carried out any more
   */
  #awaitsRecords (): boolean {
    if (this.#recorder === undefined || this.#recorder.isRead) return false
    const waitMs = this.#hasInformedOwner ? maxListWaitMs : this.#options.limits.lateOrderMs
    return this.#state.now() - this.#startedAt < waitMs
  }

  #onSuperseded (session: TargetSession): void {
    if (this.#stopped) return
    this.#state.metrics.countSuperseded()
    this.#state.log('belief', 'superseded-at-target', { domain: this.domain, target: session.info.id, token: this.#token })
    this.#options.onSuperseded()
  }

  #runMaintenance (): void {
    const now = this.#state.now()
    const { jobs, owners, unclaimedRuns, runs } = this.#state
    this.#state.processingDelay.recordTick(now)
    this.#state.measureEfficiency()
    this.#cancellations.check(now)
    this.#state.contention.update(this.#state.sessions.values(), now)
    for (const { queue, offered, started, isBelow } of this.#state.contention.floor.update(now)) this.#state.log('belief', 'queue-floor', { queue, below: isBelow, offered: Math.round(offered), started: Math.round(started), fraction: this.#options.queueFloor })
    this.#intake.shedQueuedJobs(now)
    this.#announcements.check(now)
    this.#heldTasks.check(now)
    this.#recorder?.check(now)
    this.#sessionContexts.expire(now)
    this.#tracker.pollStaleTargets(now)
    this.#targetSessions.dropUnlisted()
    this.#targetSessions.requestEntries(now)
    for (const ownerId of owners.takeExpired(now)) {
      for (const job of [...jobs.values()]) {
        if (job.ownerId !== ownerId) continue
        this.#cancellations.noteDropped(job.id, job.ownerId)
        this.#state.dropJob(job, 'owner lost')
      }
    }
    for (const job of [...jobs.values()]) if (owners.hasGivenUp(job.connection)) this.#state.dropJob(job, 'given up by its owner')
    for (const name of unclaimedRuns.takeExpired(now)) {
      const active = runs.get(name)
      if (active === undefined) continue
      if (active.run.name !== undefined) this.#cancellations.noteDropped(active.run.name.jobId, undefined)
      this.#state.log('order', 'unclaimed-run-stopped', { task: name, attempt: active.run.attempt, target: active.session.info.id, foundMsAgo: Math.round(now - active.run.sentAt) })
      active.session.stopRun(active.run)
    }
    this.#state.expireOutcomes(now)
  }
}
