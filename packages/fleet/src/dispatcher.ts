import { type Clock, Mailbox } from '@sesamereel/coordination'
import { DispatchState } from './dispatch-state.js'
import { type EventLog } from './event-log.js'
import { type FleetMetrics } from './fleet-metrics.js'
import { JobIntake } from './job-intake.js'
import { type DispatchedJob } from './dispatched-job.js'
import { parseTaskName } from './job-types.js'
import { type FleetLimits } from './limits.js'
import { summarizeLoad } from './load-estimates.js'
import { type LoadSummary, type OwnerMessage } from './messages.js'
import { type OwnerConnection } from './owner-registry.js'
import { RunTracker } from './run-tracker.js'
import { TargetSession } from './target-session.js'
import { type TargetConnector, type TargetInfo } from './target-types.js'
import { TaskScheduler } from './task-scheduler.js'

/** Pause in milliseconds between two checks of queued jobs and lost owners. */
const tickMs = 50

/** Time in milliseconds by which a job counts as old enough to be sent again before it may be. */
const resubmitMarginMs = 300

/** Time in milliseconds beyond the longest lease after which runs of an earlier dispatcher have surely lapsed. */
const lapseMarginMs = 170

export interface DispatcherOptions {
  readonly domain: string
  readonly token: number
  readonly clock: Clock
  readonly limits: FleetLimits
  readonly connector: TargetConnector
  readonly log: EventLog
  readonly metrics: FleetMetrics
  /** Run time of a task away from the rack of its data, relative to it. */
  readonly remoteFactor: number
  /** Whether the list of targets surely names every target that an earlier dispatcher may have used. */
  readonly isListComplete: () => boolean
  /** Called once when a target shows a later dispatcher of the domain. */
  readonly onSuperseded: () => void
}

/**
 * The dispatcher of one failure domain: the only one that starts tasks at the domain's targets, as
 * long as no higher token is in force there. All state is in memory; a successor rebuilds it from
 * the targets' lists and from what the owners submit again.
 */
export class Dispatcher {
  readonly #options: DispatcherOptions
  readonly #state: DispatchState
  readonly #intake: JobIntake
  readonly #tracker: RunTracker
  readonly #scheduler: TaskScheduler
  readonly #mailbox: Mailbox<() => void>
  readonly #since: number
  #listed: ReadonlySet<string> = new Set()
  #token: number
  /** Whether every target that may hold runs of an earlier dispatcher was seen under this token. */
  #allSeen = false
  #stopped = false
  #frozen = false
  #cancelTick: (() => void) | undefined

  constructor (options: DispatcherOptions) {
    this.#options = options
    this.#token = options.token
    this.#since = options.clock.now()
    this.#state = new DispatchState(options.clock, options.log, options.metrics)
    this.#intake = new JobIntake(this.#state)
    this.#mailbox = new Mailbox(message => { message() }, () => { this.#settleMessages() })
    this.#tracker = new RunTracker(this.#state, options.limits.lateOrderMs, {
      onChange: () => { this.#mailbox.schedule() },
      onSuperseded: session => { this.#handleSuperseded(session) }
    })
    this.#scheduler = new TaskScheduler(this.#state, () => this.#token, options.remoteFactor)
    this.#scheduleTick()
  }

  get token (): number { return this.#token }
  get domain (): string { return this.#options.domain }
  get queueLength (): number { return this.#state.queue.size }
  get isStopped (): boolean { return this.#stopped }

  /** @returns milliseconds since the oldest queued job was received; 0 without a queue */
  measureQueueAge (): number {
    const now = this.#state.now()
    let oldest = now
    for (const job of this.#state.queue) oldest = Math.min(oldest, job.receivedAt)
    return now - oldest
  }

  /** @returns the sessions of all targets, for status and metrics */
  listSessions (): readonly TargetSession[] {
    return [...this.#state.sessions.values()]
  }

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
    for (const session of this.#state.sessions.values()) session.close()
  }

  /** Starts nothing more, while a successor claims the domain. */
  freeze (): void {
    this.#frozen = true
    this.#intake.close()
  }

  /** Takes over the newest list of the domain's targets. */
  updateTargets (targets: readonly TargetInfo[]): void {
    if (this.#stopped) return
    this.#listed = new Set(targets.map(target => target.id))
    for (const target of targets) this.#updateTarget(target)
    for (const [id, session] of this.#state.sessions) {
      if (!this.#listed.has(id) && !session.info.draining) session.updateInfo({ ...session.info, draining: true })
    }
    this.#dropUnlisted()
    this.#mailbox.schedule()
  }

  /** Connects an owner. */
  addOwner (port: OwnerConnection): void {
    this.#state.owners.add(port)
    port.send({ type: 'welcome', token: this.#token })
  }

  /** Handles the end of an owner's connection; its jobs stay for a while, in case it comes back. */
  removeOwner (port: OwnerConnection): void {
    this.#state.owners.remove(port, this.#state.now())
  }

  /** Handles one message of an owner. */
  handle (port: OwnerConnection, message: OwnerMessage): void {
    if (!this.#stopped) this.#mailbox.post(() => { this.#handleMessage(port, message) })
  }

  /** @returns the load as owners hear it */
  summarize (): LoadSummary {
    return summarizeLoad(this.#state.sessions.values(), [...this.#state.queue], this.#state.now())
  }

  /** @returns ids of jobs that a repeated submission may meet: old ones and those without an owner */
  listLingering (): readonly string[] {
    const { jobs, runs, owners } = this.#state
    const oldest = this.#state.now() - this.#options.limits.resubmitMs + resubmitMarginMs
    const ids = new Set<string>()
    for (const job of jobs.values()) {
      if (job.acceptedAt < oldest || !owners.isConnected(job.ownerId)) ids.add(job.id)
    }
    for (const name of runs.keys()) {
      const jobId = parseTaskName(name)?.jobId
      if (jobId !== undefined && !jobs.has(jobId)) ids.add(jobId)
    }
    return [...ids]
  }

  #handleMessage (port: OwnerConnection, message: OwnerMessage): void {
    switch (message.type) {
      case 'submit': this.#intake.accept(port, message, job => this.#isQuiet(job)); break
      case 'withdraw': this.#intake.withdraw(port, message.jobId); break
      case 'cancel': this.#intake.cancel(port, message.jobId, message.reason); break
      case 'cancel-any': this.#intake.cancelAny(port, message.jobId); break
      // The server of the owners handles these.
      case 'hello':
      case 'ping':
      case 'configuration':
    }
  }

  #settleMessages (): void {
    if (this.#stopped) return
    this.#releaseQuiet()
    if (!this.#frozen) this.#scheduler.startTasks()
    this.#state.reportProgress()
  }

  /**
   * After a takeover, unlocated tasks wait until every target was looked at or all runs of an
   * earlier dispatcher have lapsed. Entries of cut-off targets lapse, so a look at all listed ones
   * may not be enough; and an earlier dispatcher that is cut off may go on for a while, so the
   * owners say how long theirs may.
   */
  #releaseQuiet (): void {
    if (!this.#allSeen) {
      const sessions = this.listSessions()
      this.#allSeen = this.#options.isListComplete() && sessions.length > 0 && sessions.every(session => session.isSeen)
    }
    for (const job of this.#state.unlocated) {
      if (this.#isQuiet(job)) this.#state.releaseUnlocated(job)
    }
  }

  #isQuiet (job: DispatchedJob): boolean {
    const lapsedAt = this.#since + this.#options.limits.maxLeaseMs + lapseMarginMs
    return this.#allSeen || this.#state.now() >= Math.max(lapsedAt, job.earlierRunsEndAt)
  }

  #updateTarget (target: TargetInfo): void {
    const session = this.#state.sessions.get(target.id)
    if (session !== undefined && session.info.address === target.address) {
      if (target.draining && !session.info.draining) this.#state.log('belief', 'target-draining', { target: target.id, revision: target.revision })
      session.updateInfo(target)
      return
    }
    if (session !== undefined) this.#dropSession(target.id, session)
    const { connector, clock, limits } = this.#options
    const added = new TargetSession(target, connector.connect(target), () => this.#token, clock, limits, this.#tracker)
    this.#state.sessions.set(target.id, added)
    added.start()
  }

  /** Drops targets that left the list, once their runs have ended. */
  #dropUnlisted (): void {
    for (const [id, session] of this.#state.sessions) {
      if (!this.#listed.has(id) && session.runs.size === 0) this.#dropSession(id, session)
    }
  }

  #dropSession (id: string, session: TargetSession): void {
    this.#state.sessions.delete(id)
    session.close()
    for (const run of session.runs.values()) this.#tracker.onRunLost(session, run, 'lapsed')
    this.#state.log('belief', 'target-gone', { target: id, runs: session.runs.size })
  }

  #handleSuperseded (session: TargetSession): void {
    if (this.#stopped) return
    this.#state.metrics.countSuperseded()
    this.#state.log('belief', 'superseded-at-target', { domain: this.domain, target: session.info.id, token: this.#token })
    this.#options.onSuperseded()
  }

  #scheduleTick (): void {
    this.#cancelTick = this.#options.clock.startTimer(tickMs, () => {
      if (this.#stopped) return
      this.#mailbox.post(() => { this.#tick() })
      this.#scheduleTick()
    })
  }

  #tick (): void {
    const now = this.#state.now()
    const { jobs, owners, unclaimedRuns: found, runs } = this.#state
    this.#intake.shedQueuedJobs(now)
    this.#tracker.pollStaleTargets(now)
    this.#dropUnlisted()
    for (const ownerId of owners.takeExpired(now)) {
      for (const job of [...jobs.values()]) if (job.ownerId === ownerId) this.#state.dropJob(job, 'owner lost')
    }
    for (const name of found.takeExpired(now)) {
      const active = runs.get(name)
      if (active !== undefined) active.session.stopRun(active.run)
    }
    this.#state.expireOutcomes(now)
  }
}
