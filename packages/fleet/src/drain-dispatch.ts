import { type DispatchState } from './dispatch-state.js'
import { type DispatchedJob } from './dispatched-job.js'
import { type DomainDrains, drainMarginMs, DrainObserver } from './domain-drains.js'
import { decideStartRule, type StartRule } from './drained-starts.js'
import { roundIfFinite } from './round-for-log.js'

/** Retry delay in milliseconds of a job that is rejected because its domain is drained. */
export const drainedRetryMs = 1_000

/** Longest time in milliseconds for which a dispatcher waits for the state of the drains when it begins or was paused; the store may be unavailable. */
const maxStateWaitMs = 300

/**
 * Time in milliseconds after which a new dispatcher knows all runs of an earlier one, or they have ended: 2.3 s after the
 * loss of a dispatcher that may still run behind a network partition.
 */
const runDiscoveryMs = 2_500

/**
 * Time in milliseconds between two rounds of starts beyond which the process was paused. A drain may have been requested
 * since, and a job of this instance's own owner could start before the store or a peer tells it.
 */
const minPauseMs = 1_000

/** Access of one dispatcher to the drains of its instance. */
export interface DispatcherDrains {
  readonly state: DomainDrains
  /** Requests a new list of the drains from the store. */
  readonly read: () => void
}

/** Carries out the drain of one dispatcher's domain: which tasks may start, and which jobs are returned or ended. */
export class DrainDispatch extends DrainObserver {
  readonly #state: DispatchState
  readonly #domain: string
  readonly #drains: DomainDrains | undefined
  readonly #read: () => void
  readonly #onChange: () => void
  readonly #startedElapsed: number
  /** Time since which the state of the drains must have been read or received before tasks start. */
  #awaitedSince: number
  /** Time of the last round of starts. */
  #settledAt: number
  /** Whether this dispatcher has been allowed to start tasks. */
  #hasBegun = false
  /** Whether the domain was drained already when this dispatcher was allowed to start tasks. */
  #beganDrained = false
  /** Whether the limit on starts was logged for the present drain. */
  #isLimitLogged = false
  /** Whether it was logged for the present drain that no run is left. */
  #isEmptyLogged = false

  /**
   * @param state - jobs, runs and sessions of the dispatcher
   * @param domain - the dispatcher's domain
   * @param drains - undefined if domains can't be drained
   * @param onChange - called when the domain may have been drained, or its drain withdrawn
   */
  constructor (state: DispatchState, domain: string, drains: DispatcherDrains | undefined, onChange: () => void) {
    super()
    this.#state = state
    this.#domain = domain
    this.#drains = drains?.state.isEnabled === true ? drains.state : undefined
    this.#read = drains?.read ?? (() => {})
    this.#onChange = onChange
    this.#startedElapsed = state.readElapsed()
    this.#awaitedSince = this.#startedElapsed
    this.#settledAt = this.#startedElapsed
    if (this.#drains === undefined) return
    this.#drains.addObserver(this)
    this.#read()
  }

  /** Whether the domain is drained, as far as this instance knows. */
  get isDrained (): boolean { return this.#drains?.isDrained(this.#domain) === true }

  /** Revision of the row that requests the drain; undefined if the domain is not drained. */
  get revision (): number | undefined { return this.#drains?.findRevision(this.#domain) }

  override onDrainsChanged (): void {
    this.#onChange()
  }

  /** Ends the observation of the drains. */
  close (): void {
    this.#drains?.removeObserver(this)
  }

  /** @returns the number of runs that exist or may exist at the targets */
  countRuns (): number {
    return [...this.#state.sessions.values()].reduce((sum, session) => sum + session.runs.size, 0)
  }

  /**
   * Applies the drain before a round of starts: returns queued jobs that have not started to their owners, and ends started
   * jobs whose remaining tasks may not start any more. What stays in the queue may start.
   *
   * @returns whether tasks may start
   */
  settleJobs (): boolean {
    if (this.#drains === undefined) return true
    const now = this.#state.readElapsed()
    if (now - this.#settledAt > minPauseMs) this.#awaitState(now)
    this.#settledAt = now
    if (this.#awaitsState(this.#drains, now)) return false
    if (!this.#hasBegun) this.#beganDrained = this.isDrained
    this.#hasBegun = true
    const rule = this.#decideRule(this.#drains)
    if (rule.kind === 'all') {
      this.#isLimitLogged = false
      this.#isEmptyLogged = false
      this.#beganDrained = false
      return true
    }
    if (!this.#isLimitLogged) this.#logLimit(this.#drains, rule)
    this.#isLimitLogged = true
    for (const job of [...this.#state.queue]) {
      if (!job.started) this.#returnJob(job)
      else if (rule.kind === 'none') this.#endIfIdle(job, this.#drains)
    }
    this.#logIfEmpty()
    return rule.kind === 'started-jobs'
  }

  /** Requests the state of the drains, and lets no task start until one of `since` or later is known. */
  #awaitState (since: number): void {
    this.#awaitedSince = since
    this.#read()
  }

  /** @returns whether the state was neither read nor received from a peer since this dispatcher began or its process was paused */
  #awaitsState (drains: DomainDrains, now: number): boolean {
    return !drains.hasStateSince(this.#awaitedSince) && now - this.#awaitedSince < maxStateWaitMs
  }

  #decideRule (drains: DomainDrains): StartRule {
    return decideStartRule({ isDrained: this.isDrained, beganDrained: this.#beganDrained, absentAt: drains.getAbsentAt(this.#domain), now: this.#state.readElapsed(), drainBoundMs: drains.drainBoundMs, marginMs: drainMarginMs })
  }

  /** Returns a job that has not started to its owner. */
  #returnJob (job: DispatchedJob): void {
    this.#state.removeJob(job)
    this.#state.rejectJob(job, 'draining', drainedRetryMs)
    this.#state.metrics.countDrainedJob('returned')
    this.#state.log('job', 'job-rejected', { job: job.id, reason: 'draining', retryAfterMs: drainedRetryMs, revision: this.revision, ageMs: Math.round(this.#state.now() - job.acceptedAt), queued: this.#state.queue.size })
  }

  /** Ends a started job that has no run. It may have run, so that it is not returned to its owner. */
  #endIfIdle (job: DispatchedJob, drains: DomainDrains): void {
    if (job.tasks.some(task => task.state === 'running' || task.state === 'unlocated')) return
    const waiting = job.tasks.filter(task => task.state === 'waiting').length
    this.#state.metrics.countDrainedJob('ended')
    this.#state.log('job', 'drained-job-given-up', { job: job.id, waiting, done: job.tasks.length - waiting, revision: this.revision, absentMsAgo: this.#measureAbsentMs(drains), ageMs: Math.round(this.#state.now() - job.acceptedAt) })
    this.#state.endJob(job, { kind: 'unknown', reason: 'draining' })
  }

  #logLimit (drains: DomainDrains, rule: StartRule): void {
    const { queue, jobs } = this.#state
    const startsForMs = rule.kind === 'started-jobs' ? Math.round(rule.untilElapsed - this.#state.readElapsed()) : 0
    this.#state.log('belief', 'drained-starts-limited', { domain: this.#domain, revision: this.revision, absentMsAgo: this.#measureAbsentMs(drains), startsForMs, beganDrained: this.#beganDrained, jobs: jobs.size, queued: queue.size, runs: this.countRuns() })
  }

  /** Logs once that no run is left, when all runs of an earlier dispatcher are known and no task may start any more. */
  #logIfEmpty (): void {
    const { jobs, sessions } = this.#state
    if (this.#isEmptyLogged || jobs.size > 0 || this.countRuns() > 0) return
    const drainingMs = this.#state.readElapsed() - this.#startedElapsed
    if (drainingMs < runDiscoveryMs && ![...sessions.values()].every(session => session.isSeen)) return
    this.#isEmptyLogged = true
    this.#state.log('belief', 'domain-drained', { domain: this.#domain, revision: this.revision, targets: sessions.size, dispatchingMs: Math.round(drainingMs) })
  }

  /** @returns milliseconds since the newest list without the drain was requested; undefined if none was read */
  #measureAbsentMs (drains: DomainDrains): number | undefined {
    return roundIfFinite(this.#state.readElapsed() - drains.getAbsentAt(this.#domain))
  }
}
