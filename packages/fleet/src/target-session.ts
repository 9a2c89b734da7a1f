import { type Clock } from '@sesamereel/coordination'
import { type Demand } from '@sesamereel/state'
import { type FleetLimits } from './limits.js'
import { PollLoop } from './poll-loop.js'
import { OrderTimeout } from './order-timeout.js'
import { ReservedCapacity } from './reserved-capacity.js'
import { formatRunKey, inferLossReason, type LossReason, type Run } from './run.js'
import { type SessionObserver } from './session-observer.js'
import { TargetClock } from './target-clock.js'
import { TargetHealth } from './target-health.js'
import { type PollReply, type TargetConnection, type TargetInfo, type TargetView } from './target-types.js'
import { type RunIdentity, UnansweredOrders } from './unanswered-orders.js'

/** Time in milliseconds beyond the asked wait that a target has to answer a look. */
const lookTimeoutMs = 250

/** Time in milliseconds within which a start must reach the target; later it refuses the order. */
const startWindowMs = 300

/** Part of the longest lease that a look may wait; two looks fit into a lease. */
const lookWaitShare = 0.45

/** Longest wait in milliseconds of a look at a target with runs: about the time between two ends there. */
const busyWaitMs = 150

/** Pause in milliseconds before a stop without an answer is sent again. */
const stopRetryMs = 200

/** Ended runs that are remembered, so that an older view that arrives late doesn't bring them back. */
const rememberedEnds = 256

/**
 * One target as its dispatcher sees it: the runs there, their leases, the room that is reserved.
 * Room stays reserved until the end of a run is listed, barred or lapsed, and each of these comes
 * within a bounded time, so unanswered orders cannot take room for good.
 */
export class TargetSession {
  readonly health = new TargetHealth()
  readonly runs = new Map<string, Run>()
  readonly #connection: TargetConnection
  readonly #token: () => number
  readonly #clock: Clock
  readonly #limits: FleetLimits
  readonly #observer: SessionObserver
  readonly #targetClock = new TargetClock()
  readonly #orderTimeout = new OrderTimeout()
  #info: TargetInfo
  #bornMs: number | undefined
  #lastSeen = 0
  #seen = false
  #silent = false
  #closed = false
  #unanswered = 0
  readonly #unansweredOrders: UnansweredOrders
  /** Orders to earlier lives that this life must be told not to carry out. */
  #unbarredOrders = 0
  /** Keys of the runs that ended last, in the order of their ends. */
  readonly #endedKeys = new Set<string>()
  readonly #lookLoop: PollLoop
  #isLookingNow = false
  #viewedAt = -Infinity
  readonly #reserved = new ReservedCapacity()
  /** Runs whose room is not known; while there are any, the target counts as full. */
  #unknownRuns = 0

  constructor (info: TargetInfo, connection: TargetConnection, token: () => number, clock: Clock, limits: FleetLimits, observer: SessionObserver) {
    this.#info = info
    this.#connection = connection
    this.#token = token
    this.#clock = clock
    this.#limits = limits
    this.#observer = observer
    this.#unansweredOrders = new UnansweredOrders(limits.lateOrderMs)
    this.#lookLoop = new PollLoop(clock, () => this.#chooseWait(), async waitMs => await this.#look(waitMs))
  }

  get info (): TargetInfo { return this.#info }

  /** @returns whether the target has answered a look under this dispatcher's token */
  get isSeen (): boolean { return this.#seen }

  get isSilent (): boolean { return this.#silent }

  /** @returns local time of the newest view of the target */
  get lastViewAt (): number { return this.#viewedAt }

  /** @returns room that no run occupies */
  get freeCapacity (): Demand {
    return this.#reserved.computeFree(this.#info.capacity)
  }

  /** Takes over a newer list entry of the same target. */
  updateInfo (info: TargetInfo): void {
    this.#info = info
  }

  /** Begins to look at the target. */
  start (): void {
    this.#lookLoop.run().catch((error: unknown) => { this.#observer.onError(error) })
  }

  /** Ends all orders; runs at the target go on until their leases lapse. */
  close (): void {
    this.#closed = true
    this.#lookLoop.close()
    this.#connection.close()
  }

  /** Decides whether new runs may start here, apart from the room that they need. */
  isUsable (now: number): boolean {
    return this.#seen && !this.#silent && !this.#closed && !this.#info.draining &&
      this.#unknownRuns === 0 && this.#unanswered === 0 && this.#unbarredOrders === 0 && this.health.isStartAllowed(now, this.runs.size)
  }

  /** Sends the order to start a run; the observer hears what became of it. */
  startRun (task: string, attempt: number, payload: string, demand: Demand): Run {
    const now = this.#clock.now()
    const deadline = (this.#targetClock.estimateLowerBound(now) ?? 0) + startWindowMs
    const run: Run = { task, attempt, demand, state: 'starting', sentAt: now, acceptedAt: undefined, stopAcceptedAt: undefined, startDeadlineMs: deadline, unanswered: false, unconfirmed: false, percent: 0, progressAt: now, stopSentAt: -Infinity }
    this.runs.set(formatRunKey(task, attempt), run)
    this.#reserved.add(demand)
    this.#targetClock.recordLeaseEnd(deadline)
    this.#sendStart(run, payload).catch((error: unknown) => { this.#observer.onError(error) })
    return run
  }

  /** Stops a run; its room is free when its end is listed. */
  stopRun (run: Run): void {
    if (run.state === 'stopping') return
    run.state = 'stopping'
    this.#sendStop(run).catch((error: unknown) => { this.#observer.onError(error) })
  }

  /** Gives a found run the demand that its job states. */
  adoptRun (run: Run, demand: Demand): void {
    if (run.demand !== undefined) return
    run.demand = demand
    this.#unknownRuns--
    this.#reserved.add(demand)
  }

  /** Looks at once, beside the look that may be waiting. */
  pollNow (): void {
    if (this.#isLookingNow) return
    this.#isLookingNow = true
    this.#look(0)
      .catch((error: unknown) => { this.#observer.onError(error) })
      .finally(() => { this.#isLookingNow = false })
  }

  async #sendStart (run: Run, payload: string): Promise<void> {
    const reply = await this.#connection.start({ task: run.task, attempt: run.attempt, payload, deadlineMs: run.startDeadlineMs, token: this.#token() }, this.#orderTimeout.timeoutMs)
    const now = this.#clock.now()
    if (reply.kind === 'accepted') this.#orderTimeout.record(now - run.sentAt)
    if (this.#closed || !this.#isCurrent(run)) return
    switch (reply.kind) {
      case 'accepted':
        if (run.state === 'starting') run.state = 'running'
        run.acceptedAt ??= now
        run.progressAt = now
        this.#observer.onStartAccepted(this, run, now - run.sentAt)
        return
      case 'no-answer':
        // The order may still be carried out: a stop bars the run, or its deadline does.
        run.unanswered = true
        this.#unanswered++
        this.#unansweredOrders.record(run)
        this.stopRun(run)
        return
      case 'not-sent':
        this.#remove(run)
        this.#observer.onStartRejected(this, run, 'not-sent')
        return
      case 'rejected':
        this.#remove(run)
        if (reply.reason === 'superseded') this.#observer.onSuperseded(this)
        else this.#observer.onStartRejected(this, run, reply.reason)
        if (reply.reason === 'late' || reply.reason === 'room') this.pollNow()
    }
  }

  async #sendStop (run: Run): Promise<void> {
    run.stopSentAt = this.#clock.now()
    const reply = await this.#connection.stop({ task: run.task, attempt: run.attempt, token: this.#token() }, this.#orderTimeout.timeoutMs)
    if (this.#closed || !this.#isCurrent(run)) return
    if (reply.kind === 'accepted') {
      run.stopAcceptedAt = this.#clock.now()
      // The end interrupts a waiting look, but a run that was never there has no end.
      if (run.unanswered) this.pollNow()
    } else if (reply.kind === 'rejected' && reply.reason === 'superseded') {
      this.#observer.onSuperseded(this)
    }
  }

  /** A busy target tells an end soon, so a look that waits for long there has lost its answer. */
  #chooseWait (): number {
    if (!this.#seen || this.#silent) return 0
    const longestMs = Math.floor(this.#limits.maxLeaseMs * lookWaitShare)
    return this.runs.size > 0 ? Math.min(busyWaitMs, longestMs) : longestMs
  }

  /** @returns whether the target answered with its lists */
  async #look (waitMs: number): Promise<boolean> {
    const sentAt = this.#clock.now()
    // Looks at a silent target extend nothing: through a path that only works one way they would
    // keep runs alive whose ends cannot be seen.
    const leaseUntil = this.#silent ? undefined : this.#targetClock.computeLeaseEnd(sentAt, this.#limits.maxLeaseMs)
    if (leaseUntil !== undefined) this.#targetClock.recordLeaseEnd(leaseUntil)
    const reply = await this.#connection.poll({ token: this.#token(), lastSeenEnd: this.#lastSeen, waitMs, ...(leaseUntil === undefined ? {} : { leaseUntil }) }, waitMs + lookTimeoutMs)
    if (this.#closed) return false
    return this.#handleLook(reply, sentAt)
  }

  #handleLook (reply: PollReply, sentAt: number): boolean {
    const now = this.#clock.now()
    if (reply.kind === 'view') {
      this.#handleView(reply.view, sentAt, now)
      return true
    }
    if (reply.kind === 'rejected' && reply.reason === 'superseded') {
      this.#observer.onSuperseded(this)
      return false
    }
    if (reply.kind === 'rejected' && reply.reason === 'other-incarnation') {
      // The orders named the other incarnation, so this one carries out none of them.
      this.#forgetLife()
      this.#loseAll('restarted')
    }
    // A lost answer says nothing when the target has answered a look since.
    if (this.#viewedAt > sentAt) return true
    if (!this.#silent && this.#seen) {
      this.#silent = true
      this.#observer.onTargetChanged(this, 'silent')
    }
    if (this.#targetClock.haveAllLeasesLapsed(now)) this.#loseLapsed(now)
    return false
  }

  #handleView (view: TargetView, sentAt: number, now: number): void {
    if (view.bornMs !== undefined && this.#bornMs !== undefined && view.bornMs !== this.#bornMs) {
      if (view.bornMs < this.#bornMs) return
      const { bornMs } = view
      this.#forgetLife()
      this.#bornMs = bornMs
      this.#loseEarlierLife()
      this.#observer.onTargetChanged(this, 'restarted')
    }
    this.#bornMs = view.bornMs ?? this.#bornMs
    this.#targetClock.recordReply(view.clockMs, sentAt, now)
    this.#viewedAt = now
    this.#takeEnds(view)
    this.#takeRunning(view, now)
    this.#takeMissing(view, sentAt, now)
    const change = !this.#seen ? 'seen' : this.#silent ? 'regained' : 'looked'
    this.#seen = true
    this.#silent = false
    this.#observer.onTargetChanged(this, change)
  }

  #takeEnds (view: TargetView): void {
    for (const end of view.ended) {
      if (end.number <= this.#lastSeen) continue
      this.#lastSeen = end.number
      const key = formatRunKey(end.task, end.attempt)
      this.#rememberEnd(key)
      const run = this.runs.get(key)
      if (run === undefined) {
        this.#observer.onUnknownRunEnded(this, end.task, end.how)
        continue
      }
      this.#remove(run)
      this.#observer.onRunEnded(this, run, end.how)
    }
  }

  #rememberEnd (key: string): void {
    this.#endedKeys.add(key)
    if (this.#endedKeys.size <= rememberedEnds) return
    const [oldest] = this.#endedKeys
    this.#endedKeys.delete(oldest!)
  }

  #takeRunning (view: TargetView, now: number): void {
    for (const entry of view.running) {
      const key = formatRunKey(entry.task, entry.attempt)
      const run = this.runs.get(key)
      if (run === undefined) {
        if (this.#endedKeys.has(key)) continue
        this.#addFound(entry.task, entry.attempt, entry.percent, now)
        continue
      }
      if (run.state === 'starting') run.state = 'running'
      run.acceptedAt ??= now
      if (entry.percent > run.percent) {
        run.percent = entry.percent
        run.progressAt = now
      }
    }
  }

  #addFound (task: string, attempt: number, percent: number, now: number): void {
    const run: Run = { task, attempt, demand: undefined, state: 'running', sentAt: now, acceptedAt: now, stopAcceptedAt: undefined, startDeadlineMs: 0, unanswered: false, unconfirmed: false, percent, progressAt: now, stopSentAt: -Infinity }
    this.runs.set(formatRunKey(task, attempt), run)
    this.#unknownRuns++
    this.#observer.onRunDiscovered(this, run)
  }

  /** Concludes from a view that runs are not at the target, when the view surely covers them. */
  #takeMissing (view: TargetView, sentAt: number, now: number): void {
    if (this.runs.size === 0) return
    const listed = new Set(view.running.map(entry => formatRunKey(entry.task, entry.attempt)))
    for (const [key, run] of [...this.runs]) {
      const reason = listed.has(key) ? undefined : inferLossReason(run, view.clockMs, sentAt)
      if (reason !== undefined) this.#lose(run, reason)
      else if (run.state === 'stopping' && run.stopAcceptedAt === undefined && now - run.stopSentAt > stopRetryMs) this.#sendStop(run).catch((error: unknown) => { this.#observer.onError(error) })
    }
  }

  #forgetLife (): void {
    this.#lastSeen = 0
    this.#endedKeys.clear()
    this.#bornMs = undefined
    this.#seen = false
    this.#targetClock.reset()
  }

  /** Gives up what ran in the earlier life, and bars in the new one what may still arrive there. */
  #loseEarlierLife (): void {
    for (const run of [...this.runs.values()]) {
      if (run.acceptedAt !== undefined && run.acceptedAt <= this.#viewedAt) this.#lose(run, 'restarted')
      else this.#barInNewLife(run)
    }
    const orders = this.#unansweredOrders.list(this.#clock.now()).filter(order => !this.runs.has(formatRunKey(order.task, order.attempt)))
    for (const order of orders) this.#barOrder(order, this.#bornMs).catch((error: unknown) => { this.#observer.onError(error) })
  }

  /** Stops a run whose start order may have reached either life. */
  #barInNewLife (run: Run): void {
    run.state = 'stopping'
    run.startDeadlineMs = Infinity
    run.stopAcceptedAt = undefined
    this.#sendStop(run).catch((error: unknown) => { this.#observer.onError(error) })
  }

  async #barOrder (order: RunIdentity, bornMs: number | undefined): Promise<void> {
    this.#unbarredOrders++
    while (!this.#closed && this.#bornMs === bornMs) {
      const reply = await this.#connection.stop({ ...order, token: this.#token() }, this.#orderTimeout.timeoutMs)
      if (reply.kind === 'accepted' || reply.kind === 'rejected') break
      await new Promise<void>(resolve => { this.#clock.startTimer(stopRetryMs, resolve) })
    }
    this.#unbarredOrders--
    if (!this.#closed) this.#observer.onTargetChanged(this, 'looked')
  }

  /** Gives up runs whose leases have ended, but for those that a new life may still begin. */
  #loseLapsed (now: number): void {
    for (const run of [...this.runs.values()]) {
      if (run.acceptedAt !== undefined || now - run.sentAt > this.#limits.lateOrderMs) {
        this.#lose(run, 'lapsed')
      } else if (!run.unconfirmed) {
        run.unconfirmed = true
        this.#observer.onStartUnconfirmed(this, run)
      }
    }
  }

  #loseAll (reason: LossReason): void {
    for (const run of [...this.runs.values()]) this.#lose(run, reason)
  }

  #lose (run: Run, reason: LossReason): void {
    this.#remove(run)
    this.#observer.onRunLost(this, run, reason)
  }

  #remove (run: Run): void {
    if (!this.runs.delete(formatRunKey(run.task, run.attempt))) return
    if (run.unanswered) this.#unanswered--
    if (run.demand === undefined) this.#unknownRuns--
    else this.#reserved.release(run.demand)
  }

  #isCurrent (run: Run): boolean {
    return this.runs.get(formatRunKey(run.task, run.attempt)) === run
  }
}
