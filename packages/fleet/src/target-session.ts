import { type Clock } from '@sesamereel/coordination'
import { type Demand } from '@sesamereel/state'
import { type LogFields } from './event-log.js'
import { IncarnationEntry } from './incarnation-entry.js'
import { IncarnationFence } from './incarnation-fence.js'
import { parseTaskName } from './job-types.js'
import { type FleetLimits } from './limits.js'
import { OrderBlocker, stopRetryMs } from './order-blocker.js'
import { OrderTimeout } from './order-timeout.js'
import { PollLoop } from './poll-loop.js'
import { formatRunKey, inferLossReason, type LossReason, type Run } from './run.js'
import { createSessionContext, type SessionContext } from './session-contexts.js'
import { type SessionObserver } from './session-observer.js'
import { SessionRuns } from './session-runs.js'
import { TargetClock } from './target-clock.js'
import { TargetHealth } from './target-health.js'
import { type PollReply, type StartReply, type TargetConnection, type TargetInfo, type TargetView } from './target-types.js'
import { type UnansweredOrder } from './unanswered-orders.js'

/** Time in milliseconds beyond the requested wait within which a target must answer a poll. */
const pollTimeoutMs = 250

/** Time in milliseconds within which a start order must reach the target, and for which it extends leases there; a later one is refused. */
export const startWindowMs = 300

/**
 * Time in milliseconds by which leases are shorter than the target allows, so that a lease that was just
 * extended ends within the limit of a job whose owner was heard of two heartbeats ago.
 */
const leaseReserveMs = 70

/** Fraction of the longest lease that a poll may wait, so that two polls fit into a lease. */
const pollWaitFraction = 0.45

/**
 * Longest wait in milliseconds of a poll of a target with runs: about the time between two ends of runs there, and short
 * enough to see within two polls that a run has stalled.
 */
export const maxBusyWaitMs = 90

/**
 * Age in milliseconds of the list of targets from which the store counts as unavailable, so that a restarted target whose
 * entry is not known may be used without labels. The list is read more often than this while an entry is awaited.
 */
const staleListMs = 1_000

/**
 * Time in milliseconds for which the entry of a restarted target is awaited although the list is not current: without
 * changes a watch call takes 1 s, so only a read that follows the restart tells whether the store is available.
 */
const entryWaitMs = 300

/**
 * A dispatcher's session with one target: the runs there, their leases and the reserved capacity.
 * Capacity stays reserved until the end of a run is listed, its start is ruled out or its lease has
 * expired. Each of these happens within a bounded time, so unanswered orders cannot occupy capacity
 * permanently.
 */
export class TargetSession {
  readonly health = new TargetHealth()
  readonly #runs = new SessionRuns()
  readonly #connection: TargetConnection
  readonly #context: SessionContext
  readonly #clock: Clock
  readonly #limits: FleetLimits
  readonly #observer: SessionObserver
  readonly #targetClock = new TargetClock()
  readonly #orderTimeout = new OrderTimeout()
  readonly #entry: IncarnationEntry
  readonly #fence: IncarnationFence
  /** Unix time in milliseconds at which the current incarnation of the target started. */
  #bornMs: number | undefined
  /** Monotonic local time in milliseconds at which the first view of the current incarnation arrived. */
  #bornSeenAt = -Infinity
  /** Number of the last end of a run that was processed. */
  #lastSeenEnd = 0
  /** Whether the current incarnation has answered a poll, also with a token that doesn't fence the earlier ones. */
  #hasView = false
  #seen = false
  #silent = false
  /** Whether the target's host has refused a connection since the last view. */
  #refused = false
  /** Whether the loss of the current incarnation was reported since the last view. */
  #lossReported = false
  #closed = false
  /** Blocks start orders to earlier incarnations. */
  readonly #orderBlocker: OrderBlocker
  readonly #pollLoop: PollLoop
  #isPollingNow = false
  /** Whether the next incarnation is awaited with polls at short intervals. */
  #isAwaited = false
  #lastViewAt = -Infinity

  /**
   * @param readToken - returns the dispatcher's current token
   * @param context - what the session shares with other ones; with the target's earlier ones, tokens and unanswered orders
   */
  constructor (info: TargetInfo, connection: TargetConnection, readToken: () => number, clock: Clock, limits: FleetLimits, observer: SessionObserver, context = createSessionContext(readToken, limits.lateOrderMs)) {
    this.#entry = new IncarnationEntry(info)
    this.#fence = new IncarnationFence(limits)
    this.#connection = connection
    this.#context = context
    this.#clock = clock
    this.#limits = limits
    this.#observer = observer
    this.#orderBlocker = new OrderBlocker(clock, limits.lateOrderMs, async ({ task, attempt }) => await connection.stop({ task, attempt, token: context.tokens.take(false) }, this.#orderTimeout.timeoutMs))
    this.#pollLoop = new PollLoop(clock, () => this.#chooseWait(), async waitMs => await this.#poll(waitMs), error => { observer.onError(error) }, (usualMs, hasFailedFast) => this.#choosePause(usualMs, hasFailedFast))
  }

  /** The list entry; of an outdated one, while the store is unavailable, the part that may hold for the current incarnation. */
  get info (): TargetInfo {
    return this.awaitsEntry && this.#isEntryUnavailable(this.#clock.now()) ? this.#entry.restricted : this.#entry.listed
  }

  /** Whether the list entry is of another incarnation than the one that answers. */
  get awaitsEntry (): boolean { return this.#entry.isOutdated }

  /** Age in milliseconds of the list, if tasks start here by an outdated entry of it. */
  get outdatedListAgeMs (): number | undefined {
    return this.awaitsEntry ? Math.round(this.#context.measureListAgeMs()) : undefined
  }

  /** What the session knows of the target's incarnation, for the log. */
  get incarnationFields (): LogFields {
    const { tokens, unansweredOrders } = this.#context
    const { requiredToken } = this.#fence
    return { bornMs: this.#bornMs, entryBornMs: this.#entry.listed.bornMs, token: tokens.current, requiredToken: requiredToken > 0 ? requiredToken : undefined, unanswered: unansweredOrders.list(this.#clock.now()).length }
  }

  /** Monotonic local time in milliseconds at which the first view of the current incarnation arrived. */
  get bornSeenAt (): number { return this.#bornSeenAt }

  /** The runs that exist or may exist at the target, by their keys. */
  get runs (): ReadonlyMap<string, Run> { return this.#runs.byKey }

  /** @returns whether the current incarnation of the target has answered a poll with a token that fences the earlier ones */
  get isSeen (): boolean { return this.#seen }

  /**
   * @returns whether the target is unresponsive: a poll failed after it had answered one, and it
   *   has answered none since
   */
  get isSilent (): boolean { return this.#silent }

  /** @returns Unix time in milliseconds at which the current incarnation of the target started; undefined while it is unknown */
  get bornMs (): number | undefined { return this.#bornMs }

  /** @returns monotonic local time in milliseconds of the newest view of the target */
  get lastViewAt (): number { return this.#lastViewAt }

  /** @returns monotonic local time in milliseconds by which all leases that were granted here have ended */
  get leasesEndAt (): number { return this.#targetClock.computeLatestLeaseEndAt() }

  /** @returns the capacity that is not reserved for runs of known demand */
  get freeCapacity (): Demand {
    return this.#runs.computeFree(this.info.capacity)
  }

  /** Applies a newer list entry of the same target. */
  updateInfo (info: TargetInfo): void {
    this.#entry.update(info)
  }

  /** @returns whether the entry of the current incarnation was awaited long enough, and the store is unavailable */
  #isEntryUnavailable (now: number): boolean {
    return now - this.#bornSeenAt >= entryWaitMs && this.#context.measureListAgeMs() > staleListMs
  }

  /** Starts to poll the target. */
  start (): void {
    this.#pollLoop.run().catch((error: unknown) => { this.#observer.onError(error) })
  }

  /** Stops polling and closes the connection. Runs at the target continue until their leases expire. */
  close (): void {
    this.#closed = true
    this.#pollLoop.close()
    this.#context.pollPacer.remove(this)
    this.#connection.close()
  }

  /** Whether the current incarnation is known, and answers polls. */
  get isReachable (): boolean { return this.#seen && !this.#silent && !this.#closed }

  /** Decides whether new runs may start here, regardless of the capacity that they need. */
  isUsable (now: number): boolean {
    return this.isReachable && !this.info.draining &&
      (!this.awaitsEntry || this.#isEntryUnavailable(now)) &&
      this.#runs.areCertain && !this.#orderBlocker.isPending && this.health.isStartAllowed(now, this.runs.size)
  }

  /**
   * Reserves capacity and sends the order to start a run; the result is reported to the observer.
   *
   * @param now - the reading of the clock by which the start was decided; the order's deadline counts from it, so
   *   that the order is refused if the process was paused since
   */
  startRun (task: string, attempt: number, payload: string, demand: Demand, now = this.#clock.now()): Run {
    const run = this.planRun(task, attempt, demand, now)
    this.orderRun(run, payload, now)
    return run
  }

  /** Reserves capacity for a run whose order is not sent yet. */
  planRun (task: string, attempt: number, demand: Demand, now: number): Run {
    const run: Run = { task, name: parseTaskName(task), attempt, demand, state: 'planned', sentAt: now, acceptedAt: undefined, stopAcceptedAt: undefined, startDeadlineMs: Infinity, sends: 0, unanswered: false, unconfirmed: false, percent: 0, progressAt: now, stopSentAt: -Infinity }
    this.#runs.add(run)
    return run
  }

  /**
   * Sends the order to start a planned run, unless it was given up meanwhile.
   *
   * @param now - as for `startRun`
   */
  orderRun (run: Run, payload: string, now: number): void {
    if (this.#closed || !this.isPlanned(run)) return
    run.state = 'starting'
    run.sends++
    run.sentAt = now
    run.progressAt = now
    run.startDeadlineMs = (this.#targetClock.estimateLowerBound(now) ?? 0) + startWindowMs
    this.#targetClock.recordLeaseEnd(run.startDeadlineMs)
    this.#sendStart(run, payload).catch((error: unknown) => { this.#observer.onError(error) })
  }

  /**
   * Gives up a planned run. A run whose order was sent before without an answer stays until a view shows whether it was carried
   * out, as the target would refuse the order for good after a stop.
   */
  dropPlannedRun (run: Run): void {
    if (this.isPlanned(run) && !run.unanswered) this.#loseRun(run, 'never-started')
  }

  /** @returns whether the current incarnation has listed a run that this session did not start, or the end of a run */
  hasListed (task: string, attempt: number): boolean {
    return this.#runs.find(task, attempt)?.acceptedAt !== undefined || this.#runs.hasEndedRecently(formatRunKey(task, attempt))
  }

  /** @returns whether the run is planned and has not been given up */
  isPlanned (run: Run): boolean {
    return run.state === 'planned' && this.#runs.has(run)
  }

  /** Sends the order to stop a run. Its capacity stays reserved until its end is listed or the run is lost. */
  stopRun (run: Run): void {
    if (run.state === 'stopping') return
    if (run.state === 'planned' && !run.unanswered) {
      this.dropPlannedRun(run)
      return
    }
    run.state = 'stopping'
    this.#sendStop(run).catch((error: unknown) => { this.#observer.onError(error) })
  }

  /** Sets the demand of a discovered run and reserves capacity for it. */
  adoptRun (run: Run, demand: Demand): void {
    this.#runs.setDemand(run, demand)
  }

  /** Polls immediately without a wait, in parallel to a poll that may be waiting. */
  pollNow (): void {
    if (this.#isPollingNow) return
    this.#isPollingNow = true
    this.#poll(0)
      .catch((error: unknown) => { this.#observer.onError(error) })
      .finally(() => { this.#isPollingNow = false })
  }

  async #sendStart (run: Run, payload: string): Promise<void> {
    const token = this.#context.tokens.take(true)
    const { sentAt } = run
    const onLateReply = (reply: StartReply): void => { this.#handleLateReply(run, sentAt, reply) }
    const reply = await this.#connection.start({ task: run.task, attempt: run.attempt, payload, deadlineMs: run.startDeadlineMs, token }, this.#orderTimeout.timeoutMs, onLateReply)
    const now = this.#clock.now()
    if (reply.kind === 'accepted') this.#orderTimeout.record(now - run.sentAt)
    // A view that lists the run shows that its only order was carried out.
    const isOutstanding = reply.kind === 'no-answer' && (run.acceptedAt === undefined || run.sends > 1)
    if (isOutstanding) this.#context.unansweredOrders.record(run)
    if (isOutstanding) this.#observer.onOrderUnanswered(this, run)
    else this.#observer.onOrderSettled(run)
    if (this.#closed || !this.#runs.has(run)) return
    switch (reply.kind) {
      case 'accepted':
        if (run.state === 'starting') run.state = 'running'
        this.#runs.markAccepted(run, now)
        run.progressAt = now
        this.#observer.onStartAccepted(this, run, now - run.sentAt)
        return
      case 'no-answer':
        if (run.acceptedAt !== undefined) return
        this.#runs.markUnanswered(run)
        this.#repeatOrStop(run)
        return
      case 'not-sent':
        this.#runs.remove(run)
        this.#observer.onStartRejected(this, run, 'not-sent')
        return
      case 'rejected':
        if (reply.reason === 'old' && run.sends > 1) {
          this.#awaitEnd(run, now)
          return
        }
        this.#runs.remove(run)
        if (reply.reason === 'superseded' && this.#isSuperseded(token)) this.#observer.onSuperseded(this)
        else this.#observer.onStartRejected(this, run, reply.reason)
        if (reply.reason === 'late' || reply.reason === 'room') this.pollNow()
    }
  }

  /** A send of an order that counts as unanswered has been handled by the target. Its next view shows what became of the run. */
  #handleLateReply (run: Run, sentAt: number, reply: StartReply): void {
    if (this.#closed || reply.kind === 'no-answer' || reply.kind === 'not-sent') return
    this.#context.unansweredOrders.settle(run, sentAt)
    this.#observer.onOrderAnsweredLate(this, run, sentAt, reply)
    this.pollNow()
  }

  /**
   * The order may still be carried out, now until its deadline has passed, and in later incarnations. The same order is sent again:
   * carried out twice, it has no further effect, while one for another attempt could start a second run.
   */
  #repeatOrStop (run: Run): void {
    if (run.state !== 'starting') return
    run.state = 'planned'
    if (!this.#observer.repeatOrder(this, run)) this.stopRun(run)
  }

  /**
   * The target refuses an order that was sent again: the run has ended there, by the order that got no answer, and a view lists its
   * end; or it was stopped.
   */
  #awaitEnd (run: Run, now: number): void {
    if (run.state === 'starting') run.state = 'running'
    run.acceptedAt ??= now
    this.pollNow()
  }

  async #sendStop (run: Run): Promise<void> {
    run.stopSentAt = this.#clock.now()
    const token = this.#context.tokens.take(false)
    const reply = await this.#connection.stop({ task: run.task, attempt: run.attempt, token }, this.#orderTimeout.timeoutMs)
    if (this.#closed || !this.#runs.has(run)) return
    if (reply.kind === 'accepted') {
      run.stopAcceptedAt = this.#clock.now()
      // The end of a run interrupts a waiting poll, but a run that never started has no end.
      if (run.unanswered) this.pollNow()
    } else if (reply.kind === 'rejected' && reply.reason === 'superseded' && this.#isSuperseded(token)) {
      this.#observer.onSuperseded(this)
    }
  }

  /**
   * Polls of a target with runs wait only shortly: an end is due soon there, so a long wait would
   * mean that the answer was lost.
   */
  #chooseWait (): number {
    if (this.#silent || (!this.#seen && this.#context.tokens.current >= this.#fence.requiredToken)) return 0
    const maxWaitMs = Math.floor(this.#limits.maxLeaseMs * pollWaitFraction)
    return this.runs.size > 0 ? Math.min(maxBusyWaitMs, maxWaitMs) : maxWaitMs
  }

  /** @returns whether a view has arrived from the target since the poll was sent */
  async #poll (waitMs: number): Promise<boolean> {
    const sentAt = this.#clock.now()
    // Polls of an unresponsive target extend no leases: over a path that works in one direction only, they
    // would keep runs alive whose ends cannot be seen.
    const leaseUntil = this.#silent ? undefined : this.#targetClock.computeLeaseEnd(sentAt, this.#limits.maxLeaseMs - leaseReserveMs, this.#observer.getLeaseLimit(this))
    if (leaseUntil !== undefined) this.#targetClock.recordLeaseEnd(leaseUntil)
    // Without a lease and a last end, the poll changes nothing in a later incarnation; ends that are listed again have no effect.
    const lastSeenEnd = this.#silent ? 0 : this.#lastSeenEnd
    const token = this.#context.tokens.take(!this.#silent)
    const reply = await this.#connection.poll({ token, lastSeenEnd, waitMs, ...(leaseUntil === undefined ? {} : { leaseUntil }) }, waitMs + pollTimeoutMs)
    if (this.#closed) return false
    return this.#handlePollReply(reply, sentAt, token)
  }

  #handlePollReply (reply: PollReply, sentAt: number, token: number): boolean {
    const now = this.#clock.now()
    if (reply.kind === 'view') {
      this.#handleView(reply.view, sentAt, now, token)
      return true
    }
    if (reply.kind === 'rejected' && reply.reason === 'superseded') {
      if (this.#isSuperseded(token)) this.#observer.onSuperseded(this)
      return false
    }
    if (reply.kind === 'rejected' && reply.reason === 'other-incarnation') {
      // The orders were addressed to the other incarnation, so this one carries out none of them.
      this.#observer.onTargetLost(this, 'restarted')
      this.#resetIncarnation()
      this.#loseAllRuns('restarted')
    }
    // A lost answer is irrelevant if the target has answered a poll since.
    if (this.#lastViewAt > sentAt) return true
    if (reply.kind === 'not-sent' && reply.isRefused === true) this.#refused = true
    if (!this.#silent && this.#hasView) {
      this.#silent = true
      this.#observer.onTargetChanged(this, 'silent')
    }
    // A delayed poll to an earlier incarnation may still extend the leases until the fence is confirmed.
    if (this.#fence.isConfirmed(now) && this.#targetClock.haveAllLeasesExpired(now)) {
      this.#reportLoss()
      this.#loseExpiredRuns(now)
    }
    return false
  }

  #handleView (view: TargetView, sentAt: number, now: number, token: number): void {
    if (view.bornMs !== undefined && this.#bornMs !== undefined && view.bornMs !== this.#bornMs) {
      // An earlier birth in the answer to a later poll means that the target's clock was set back before it restarted.
      if (view.bornMs < this.#bornMs && sentAt <= this.#bornSeenAt) return
      const { bornMs } = view
      this.#observer.onTargetLost(this, 'restarted')
      this.#resetIncarnation()
      this.#bornMs = bornMs
      this.#bornSeenAt = now
      this.#beginIncarnation(now)
      this.#endEarlierIncarnation()
      this.#observer.onTargetChanged(this, 'restarted')
    }
    const isFirstOfIncarnation = this.#bornMs === undefined
    if (isFirstOfIncarnation) this.#bornSeenAt = now
    this.#bornMs = view.bornMs ?? this.#bornMs
    // An earlier session with this incarnation, or with one before it, may have left orders unanswered.
    if (isFirstOfIncarnation) {
      this.#beginIncarnation(now)
      this.#blockUnansweredOrders(now)
    }
    this.#fence.recordAnswer(token)
    this.#targetClock.recordReply(view.clockMs, now)
    // An earlier dispatcher, whom a new incarnation doesn't refuse yet, may have extended the leases just before.
    if (!this.#seen) this.#targetClock.recordLeaseEnd(view.clockMs + this.#limits.maxLeaseMs)
    this.#lastViewAt = now
    this.#refused = false
    this.#lossReported = false
    this.#processEnds(view)
    this.#processRunning(view, now)
    this.#processMissing(view, sentAt, now)
    const isFenced = this.#fence.isConfirmed(sentAt)
    const change = !isFenced ? 'polled' : !this.#seen ? 'seen' : this.#silent ? 'regained' : 'polled'
    this.#hasView = true
    this.#seen ||= isFenced
    this.#silent = false
    this.#observer.onTargetChanged(this, change)
  }

  #processEnds (view: TargetView): void {
    for (const end of view.ended) {
      if (end.number <= this.#lastSeenEnd) continue
      this.#lastSeenEnd = end.number
      const key = formatRunKey(end.task, end.attempt)
      this.#runs.rememberEnd(key)
      const run = this.runs.get(key)
      if (run === undefined) {
        this.#observer.onOrderCarriedOut(end.task, end.attempt)
        this.#observer.onUnknownRunEnded(this, end.task, end.how)
        continue
      }
      if (run.unanswered && run.state !== 'starting') this.#observer.onOrderCarriedOut(run.task, run.attempt)
      this.#runs.remove(run)
      this.#observer.onRunEnded(this, run, end.how)
    }
  }

  #processRunning (view: TargetView, now: number): void {
    for (const entry of view.running) {
      const key = formatRunKey(entry.task, entry.attempt)
      const run = this.runs.get(key)
      if (run === undefined) {
        if (this.#runs.hasEndedRecently(key)) continue
        this.#addDiscoveredRun(entry.task, entry.attempt, entry.percent, now)
        continue
      }
      // While the order is sent again, it can't be told which of the two was carried out.
      if (run.state === 'planned' && run.unanswered) this.#observer.onOrderCarriedOut(run.task, run.attempt)
      if (run.state === 'starting' || run.state === 'planned') run.state = 'running'
      this.#runs.markAccepted(run, now)
      if (entry.percent > run.percent) {
        run.percent = entry.percent
        run.progressAt = now
      }
    }
  }

  #addDiscoveredRun (task: string, attempt: number, percent: number, now: number): void {
    const run: Run = { task, name: parseTaskName(task), attempt, demand: undefined, state: 'running', sentAt: now, acceptedAt: now, stopAcceptedAt: undefined, startDeadlineMs: 0, sends: 0, unanswered: false, unconfirmed: false, percent, progressAt: now, stopSentAt: -Infinity }
    this.#runs.add(run)
    this.#observer.onOrderCarriedOut(task, attempt)
    this.#observer.onRunDiscovered(this, run)
  }

  /** Gives up runs that a view shows to be gone, and repeats unanswered stop orders. */
  #processMissing (view: TargetView, sentAt: number, now: number): void {
    if (this.runs.size === 0) return
    const listed = new Set(view.running.map(entry => formatRunKey(entry.task, entry.attempt)))
    for (const [key, run] of [...this.runs]) {
      const reason = listed.has(key) ? undefined : inferLossReason(run, view.clockMs, sentAt)
      if (reason !== undefined) this.#loseRun(run, reason)
      else if (run.state === 'stopping' && run.stopAcceptedAt === undefined && now - run.stopSentAt > stopRetryMs) this.#sendStop(run).catch((error: unknown) => { this.#observer.onError(error) })
    }
  }

  /** Chooses the token that fences all requests to earlier incarnations of the target. */
  #beginIncarnation (now: number): void {
    const { tokens } = this.#context
    this.#fence.begin(tokens.beginIncarnation(this.#bornMs), now)
    this.#entry.setBorn(this.#bornMs)
    if (tokens.current < this.#fence.requiredToken) this.#observer.onTargetChanged(this, 'held')
  }

  /**
   * @param token - token of a request that the target refused for a higher one
   * @returns whether that was another dispatcher's, and not that of a later request of this one
   */
  #isSuperseded (token: number): boolean {
    return token >= this.#context.tokens.highestSent
  }

  /**
   * Chooses the pause before the next poll of a target that has not answered. While its next incarnation may carry out an
   * unanswered order, the target is polled often, and once its process has ended with a token that the next one is to have.
   */
  #choosePause (usualMs: number, hasFailedFast: boolean): number {
    const isNeeded = (this.#silent || !this.#hasView) && this.#context.mayCarryOut(this.#clock.now())
    // A cut of the network is short at times, and a token must not be used for each.
    if (isNeeded && hasFailedFast) this.#context.tokens.prepareIncarnation()
    if (isNeeded && !this.#isAwaited) this.#observer.onTargetChanged(this, 'awaited')
    this.#isAwaited = isNeeded
    return this.#context.pollPacer.choosePauseMs(this, isNeeded, usualMs)
  }

  #resetIncarnation (): void {
    this.#lastSeenEnd = 0
    this.#runs.forgetEnds()
    this.#bornMs = undefined
    this.#entry.setBorn(undefined)
    this.#hasView = false
    this.#seen = false
    this.#targetClock.reset()
  }

  /**
   * Gives up the runs of the earlier incarnation, and stops in the new one those whose start orders
   * may still arrive there.
   */
  #endEarlierIncarnation (): void {
    for (const run of [...this.runs.values()]) {
      if (run.state === 'planned' && !run.unanswered) this.#loseRun(run, 'never-started')
      else if (run.acceptedAt === undefined && run.state !== 'stopping' && this.#observer.isWanted(run.task)) this.#loseUnanswered(run)
      else if (run.acceptedAt !== undefined && run.acceptedAt <= this.#lastViewAt) this.#loseRun(run, 'restarted')
      else this.#stopInNewIncarnation(run)
    }
    this.#blockUnansweredOrders(this.#clock.now())
  }

  /** Blocks the unanswered orders that belong to no run of this session. */
  #blockUnansweredOrders (now: number): void {
    const orders = this.#context.unansweredOrders.list(now)
      .filter(order => !this.runs.has(formatRunKey(order.task, order.attempt)) && !this.#observer.isWanted(order.task))
    for (const order of orders) this.#blockOrder(order).catch((error: unknown) => { this.#observer.onError(error) })
  }

  /** Sends the new incarnation the stop order for a run whose start order may reach either incarnation. */
  #stopInNewIncarnation (run: Run): void {
    run.state = 'stopping'
    run.startDeadlineMs = Infinity
    run.stopAcceptedAt = undefined
    this.#sendStop(run).catch((error: unknown) => { this.#observer.onError(error) })
  }

  async #blockOrder (order: UnansweredOrder): Promise<void> {
    const bornMs = this.#bornMs
    await this.#orderBlocker.block(order, () => !this.#closed && this.#bornMs === bornMs)
    if (!this.#closed) this.#observer.onTargetChanged(this, 'polled')
  }

  /** Reports an unresponsive target as lost, once until it answers again. */
  #reportLoss (): void {
    if (this.#lossReported) return
    this.#lossReported = true
    this.#observer.onTargetLost(this, this.#refused ? 'refused' : 'silent')
  }

  /**
   * Gives up runs whose leases have expired, except those that a new incarnation may still start;
   * these are reported as unconfirmed.
   */
  #loseExpiredRuns (now: number): void {
    for (const run of [...this.runs.values()]) {
      if (run.state === 'planned' && !run.unanswered) {
        this.#loseRun(run, 'never-started')
      } else if (run.acceptedAt !== undefined || now - run.sentAt > this.#limits.lateOrderMs) {
        this.#loseRun(run, 'lapsed')
      } else if (!run.unconfirmed) {
        run.unconfirmed = true
        this.#observer.onStartUnconfirmed(this, run)
      }
    }
  }

  /** Returns a run to its dispatcher whose order may be carried out by the new incarnation, where it may be sent again. */
  #loseUnanswered (run: Run): void {
    this.#observer.onOrderUnanswered(this, run)
    this.#loseRun(run, 'restarted')
  }

  #loseAllRuns (reason: LossReason): void {
    for (const run of [...this.runs.values()]) this.#loseRun(run, reason)
  }

  #loseRun (run: Run, reason: LossReason): void {
    if (run.state === 'planned') this.#observer.onOrderSettled(run)
    this.#runs.remove(run)
    this.#observer.onRunLost(this, run, reason)
  }
}
