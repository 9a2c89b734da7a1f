import { type DispatchState } from './dispatch-state.js'
import { type DispatchedJob, type TaskRecord } from './dispatched-job.js'
import { type OutstandingOrder } from './outstanding-orders.js'
import { overdueMarginMs } from './poll-loop.js'
import { type LossReason, type Run } from './run.js'
import { LossTracker } from './loss-tracker.js'
import { SessionObserver, type TargetChange } from './session-observer.js'
import { type StartAnnouncements } from './start-announcements.js'
import { maxBusyWaitMs, type TargetSession } from './target-session.js'
import { type LossEvidence } from './target-losses.js'
import { type EndKind, type StartRejection, type StartReply } from './target-types.js'
import { type RunIdentity } from './unanswered-orders.js'

/** Minimum time in milliseconds without progress, over several polls, after which a run counts as stalled. */
const minStallMs = 120

/**
 * Fraction of its estimate that a run may stay at one percentage: a task that takes four times its
 * estimate, on a target that is six times slower, needs a quarter of the estimate for one percent.
 */
const stallFraction = 0.3

/**
 * Factor of that time for a run beside which an order for its task is outstanding: the task can't start elsewhere, nor again at its
 * target once the run was stopped.
 */
const heldStallFactor = 4

/**
 * Age in milliseconds from which a view is stale, if the target has a run that was accepted at least as long ago. Only
 * a poll that began while the target was idle waits longer than this.
 */
const staleViewMs = maxBusyWaitMs + overdueMarginMs

/** Ratio of projected to estimated run time above which a run marks its target as slow before the run ends. */
const slowRatio = 2.5

/** Minimum progress in percent from which the speed of a run is estimated. */
const minSpeedPercent = 10

/** Remaining time in milliseconds below which leases that an owner's silence limits are logged. */
const withheldLeaseMs = 500

/** Callbacks from the run tracker to the dispatcher. */
export interface TrackerEvents {
  /** Tasks may be able to start that were not before. */
  readonly onChange: () => void
  /** A target refused a request because this dispatcher is fenced by a higher token. */
  readonly onSuperseded: (session: TargetSession) => void
  /** An order got no answer. */
  readonly onOrderOutstanding: (order: OutstandingOrder) => void
}

/** Tracks the runs of one dispatcher until they end, and updates the health of targets by their results. */
export class RunTracker extends SessionObserver {
  readonly #state: DispatchState
  readonly #events: TrackerEvents
  readonly #lateOrderMs: number
  readonly #lossTracker: LossTracker
  readonly #announcements: StartAnnouncements
  /** Sessions whose leases are about to end or are not extended. */
  readonly #withheld = new WeakSet<TargetSession>()

  /**
   * @param lateOrderMs - time in milliseconds after which an unanswered order can no longer be carried out
   * @param announcements - receives what becomes of the announced orders
   */
  constructor (state: DispatchState, lateOrderMs: number, announcements: StartAnnouncements, events: TrackerEvents) {
    super()
    this.#state = state
    this.#lateOrderMs = lateOrderMs
    this.#events = events
    this.#announcements = announcements
    this.#lossTracker = new LossTracker(state)
  }

  override onOrderSettled (run: Run): void {
    this.#announcements.settle(run)
  }

  override onOrderUnanswered (session: TargetSession, run: Run): void {
    const { id, address } = session.info
    const order = { task: run.task, attempt: run.attempt, target: id, address, expiresAt: run.sentAt + this.#lateOrderMs, sentAt: [run.sentAt] }
    this.#state.outstanding.record(order, 0, this.#announcements.reportUnanswered(run))
    this.#events.onOrderOutstanding(order)
    this.#state.log('order', 'order-unanswered', { task: run.task, attempt: run.attempt, target: id, sentMsAgo: Math.round(this.#state.now() - run.sentAt), outstanding: this.#state.outstanding.size })
    this.#state.metrics.countOutstandingOrders('unanswered', 1)
  }

  override onOrderAnsweredLate (session: TargetSession, { task, attempt }: RunIdentity, sentAt: number, reply: StartReply): void {
    const target = session.info.id
    for (const witness of this.#state.outstanding.settleSend({ task, attempt, target }, sentAt)) witness.send({ type: 'order-settled', task, attempt })
    this.#state.log('order', 'order-answered-late', { task, attempt, target, sentMsAgo: Math.round(this.#state.now() - sentAt), reply: reply.kind === 'rejected' ? reply.reason : reply.kind, outstanding: this.#state.outstanding.size })
    this.#state.metrics.countOutstandingOrders('answered-late', 1)
    this.#events.onChange()
  }

  override repeatOrder (session: TargetSession, run: Run): boolean {
    const { job, task } = this.#state.findTaskOfRun(run)
    if (job === undefined || task === undefined || this.#state.runs.get(run.task)?.run !== run) return false
    this.#announcements.plan({ job, session, run })
    this.#events.onChange()
    return true
  }

  override isWanted (name: string): boolean {
    const { task } = this.#state.findTask(name)
    return task !== undefined && task.state !== 'done'
  }

  override onOrderCarriedOut (task: string, attempt: number): void {
    for (const witness of this.#state.outstanding.settle(task, attempt)) witness.send({ type: 'order-settled', task, attempt })
  }

  override onStartAccepted (session: TargetSession, run: Run, tookMs: number): void {
    this.#state.metrics.observeStartOrder('accepted', tookMs)
  }

  override onStartRejected (session: TargetSession, run: Run, reason: StartRejection | 'not-sent'): void {
    const now = this.#state.now()
    this.#state.metrics.observeStartOrder(reason, now - run.sentAt)
    this.#state.log('order', 'start-rejected', { task: run.task, attempt: run.attempt, target: session.info.id, reason })
    if (reason === 'unhealthy' || reason === 'not-sent') session.health.suspend(now)
    // A run of this attempt has ended there or was stopped, so that the order can't be sent again.
    if (reason === 'old') this.#state.outstanding.bar(run.task)
    this.#state.requeueTask(run)
    this.#events.onChange()
  }

  override onRunEnded (session: TargetSession, run: Run, how: EndKind): void {
    this.#state.metrics.countRunEnd(how)
    this.#updateHealth(session, run, how)
    if (how !== 'done') this.#state.log('order', 'run-ended', { task: run.task, attempt: run.attempt, target: session.info.id, how, tookMs: Math.round(this.#state.now() - run.sentAt) })
    const isLastRun = this.#state.removeRun(run)
    this.#endTask(run.task, how, isLastRun)
  }

  override onTargetLost (session: TargetSession, evidence: LossEvidence): void {
    this.#lossTracker.recordLoss(session, evidence)
  }

  override onRunLost (session: TargetSession, run: Run, reason: LossReason): void {
    this.#state.metrics.countRunEnd(reason)
    this.#state.log('order', 'run-lost', { task: run.task, attempt: run.attempt, target: session.info.id, reason, sentMsAgo: Math.round(this.#state.now() - run.sentAt) })
    // The target refuses the order, and lists no end of the run: it was stopped.
    if (reason === 'not-listed' && run.unanswered) this.#state.outstanding.bar(run.task)
    this.#state.requeueTask(run)
    this.#events.onChange()
  }

  /**
   * Ends the job if its answer is of no use by the time at which the start order can no longer be
   * carried out: until then the task must not start elsewhere.
   */
  override onStartUnconfirmed (session: TargetSession, run: Run): void {
    const { job } = this.#state.findTaskOfRun(run)
    this.#state.log('order', 'start-unconfirmed', { job: job?.id, task: run.task, attempt: run.attempt, target: session.info.id, sentMsAgo: Math.round(this.#state.now() - run.sentAt) })
    if (job !== undefined && job.usefulUntil < run.sentAt + this.#lateOrderMs) this.#state.endJob(job, { kind: 'unknown', reason: 'start-unconfirmed' })
  }

  override onRunDiscovered (session: TargetSession, run: Run): void {
    const { job, task } = this.#state.findTaskOfRun(run)
    const planned = this.#state.runs.get(run.task)
    planned?.session.dropPlannedRun(planned.run)
    const known = this.#state.runs.get(run.task)
    if (known !== undefined || task?.state === 'done') {
      this.#state.metrics.countSecondRun()
      this.#state.log('belief', 'second-run-discovered', { task: run.task, attempt: run.attempt, target: session.info.id, knownTarget: known?.session.info.id, knownAttempt: known?.run.attempt, knownState: known?.run.state ?? task?.state })
      if (known === undefined) session.stopRun(run)
      else this.#state.stopSecondRun({ session, run })
      return
    }
    this.#state.runs.set(run.task, { session, run })
    if (job === undefined || task === undefined) {
      this.#state.unclaimedRuns.add(run.task)
      return
    }
    task.state = 'running'
    this.#state.markStarted(job)
    session.adoptRun(run, job.getStep(task).demand)
    this.#state.log('order', 'run-adopted', { job: job.id, task: run.task, attempt: run.attempt, target: session.info.id })
  }

  override onUnknownRunEnded (session: TargetSession, name: string, how: EndKind): void {
    if (how !== 'done' || this.#state.runs.has(name)) return
    const { job, task } = this.#state.findTask(name)
    if (job === undefined || task === undefined) this.#state.unclaimedRuns.addDone(name)
    else if (task.state === 'unlocated' || task.state === 'waiting') this.#endTask(name, how, true)
  }

  override onSuperseded (session: TargetSession): void {
    this.#events.onSuperseded(session)
  }

  override onTargetChanged (session: TargetSession, change: TargetChange): void {
    if (change !== 'polled') this.#state.log('belief', `target-${change}`, { target: session.info.id, domain: session.info.domain, runs: session.runs.size, ...session.incarnationFields })
    if (change === 'restarted' || change === 'held' || change === 'awaited') this.#state.metrics.countIncarnation(change)
    if (change !== 'polled') this.#lossTracker.settleLosses(session)
    this.#checkRuns(session)
    this.#events.onChange()
  }

  override getLeaseLimit (session: TargetSession): number {
    const limitAt = this.#state.computeLeaseLimit(session)
    this.#logWithheldLeases(session, limitAt)
    return limitAt
  }

  override onError (error: unknown): void {
    this.#state.logError('target-session', error)
  }

  /** Polls targets with running tasks whose last view is old, so that stalled runs are detected soon. */
  pollStaleTargets (now: number): void {
    for (const session of this.#state.sessions.values()) {
      if (now - session.lastViewAt < staleViewMs || session.isSilent) continue
      if ([...session.runs.values()].some(run => run.acceptedAt !== undefined && now - run.acceptedAt >= staleViewMs)) session.pollNow()
    }
  }

  /** Logs once when the leases at a target come close to their end because an owner of its runs may be lost. */
  #logWithheldLeases (session: TargetSession, limitAt: number): void {
    const remainingMs = limitAt - this.#state.now()
    if (remainingMs >= withheldLeaseMs) {
      this.#withheld.delete(session)
      return
    }
    const unclaimed = [...session.runs.values()].some(run => this.#state.unclaimedRuns.has(run.task))
    // The leases of a target are also withheld for the few milliseconds until it has accepted the stop of a cancelled run.
    if (this.#withheld.has(session) || (!unclaimed && !Number.isFinite(remainingMs))) return
    this.#withheld.add(session)
    this.#state.log('belief', 'leases-withheld', { target: session.info.id, runs: session.runs.size, unclaimed, remainingMs: Number.isFinite(remainingMs) ? Math.round(remainingMs) : undefined })
  }

  #updateHealth (session: TargetSession, run: Run, how: EndKind): void {
    const now = this.#state.now()
    if (how === 'failed') session.health.recordFailure(now, run.name?.jobId ?? run.task)
    const { job, task } = this.#state.findTaskOfRun(run)
    if (how !== 'done' || job === undefined || task === undefined) return
    const { estimateMs } = job.getStep(task)
    this.#state.contention.recordRun(job, task, session, now - run.sentAt, now)
    session.health.recordSuccess(estimateMs > 0 ? (now - run.sentAt) / estimateMs : 1)
  }

  /** @param isLastRun - whether no other run of the task may exist */
  #endTask (name: string, how: EndKind, isLastRun: boolean): void {
    this.#events.onChange()
    const { job, task } = this.#state.findTask(name)
    if (job === undefined || task === undefined || task.state === 'done') return
    if (how === 'done') {
      this.#state.finishTask(job, task)
      this.#state.stopRunsOfTask(name)
    } else {
      this.#retryTask(job, task, how, isLastRun)
    }
  }

  #retryTask (job: DispatchedJob, task: TaskRecord, how: EndKind, isLastRun: boolean): void {
    if (how === 'failed') task.failures++
    if (task.failures >= job.spec.maxAttempts) {
      this.#state.endJob(job, { kind: 'failed', reason: 'attempts-used' })
      return
    }
    if (!isLastRun) return
    task.state = 'waiting'
    this.#state.queue.add(job)
  }

  /** Stops stalled runs and records slow ones in the target's health; called with every new view. */
  #checkRuns (session: TargetSession): void {
    const now = this.#state.now()
    for (const run of [...session.runs.values()]) {
      if (run.state !== 'running' || run.acceptedAt === undefined) continue
      const { job, task } = this.#state.findTaskOfRun(run)
      if (job === undefined || task === undefined) continue
      const { estimateMs } = job.getStep(task)
      const standingMs = now - run.progressAt
      const stallMs = Math.max(minStallMs, estimateMs * stallFraction) * (this.#state.findHold(task) === undefined ? 1 : heldStallFactor)
      if (standingMs > stallMs) {
        session.health.suspend(now)
        this.#state.log('order', 'run-stalled', { task: run.task, attempt: run.attempt, target: session.info.id, percent: run.percent, standingMs: Math.round(standingMs) })
        session.stopRun(run)
      } else if (run.percent >= minSpeedPercent) {
        const ratio = (now - run.acceptedAt) / (estimateMs * run.percent / 100)
        if (ratio > slowRatio) session.health.recordSlowRun(ratio)
      }
    }
  }
}
