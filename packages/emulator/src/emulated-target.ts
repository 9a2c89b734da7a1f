import { type Clock } from '@sesamereel/coordination'
import { type EndedEntry, type EndKind, hasCapacity, type PollReply, type PollRequest, type StartOrder, type StartReply, type StopOrder, type StopReply, type TargetInfo, type TargetView } from '@sesamereel/fleet'
import { type FleetHistory } from './fleet-history.js'

/** Longest lease in milliseconds that the target grants. */
const maxLeaseMs = 1_000

/** Interval in milliseconds at which the target advances its runs and checks its lease. */
const checkIntervalMs = 2

/** Time in milliseconds from a stop order until the run ends. */
const stopDurationMs = 20

/** Work in milliseconds after which a task that crashes its target does so. */
const workBeforeCrashMs = 10

/** Time in milliseconds after which a target that a task has crashed starts again. */
const crashRestartMs = 3_000

/** `fails`: runs fail after 10 ms of work; `hangs`: runs make no progress; `rejects`: start orders are rejected as unhealthy. */
export type TargetFault = 'none' | 'fails' | 'hangs' | 'rejects'

interface TargetRun {
  readonly task: string
  readonly attempt: number
  readonly demand: TargetInfo['capacity']
  readonly workMs: number
  readonly crashesTarget: boolean
  workedMs: number
  stopAt: number | undefined
}

/** Payload of an emulated task: its run time in milliseconds and its processors in thousandths of a core. */
export interface TaskPayload {
  readonly workMs: number
  readonly processors: number
  /** Whether each start of the task crashes its target. */
  readonly crashesTarget?: boolean
}

/** A target that enforces its capacity, measures leases on its own clock and rejects orders with a token below the highest seen. */
export class EmulatedTarget {
  readonly info: TargetInfo
  fault: TargetFault = 'none'
  /** Ratio of the run time of tasks to their work. */
  slowness = 1
  readonly #clock: Clock
  readonly #history: FleetHistory
  readonly #runs = new Map<string, TargetRun>()
  readonly #highestAttempt = new Map<string, number>()
  #ended: EndedEntry[] = []
  #endCount = 0
  #highestToken = 0
  #leaseUntil = 0
  #bornMs: number
  #startedAt: number
  #isUp = true
  #isRefusing = false
  readonly #announce: (entry: TargetInfo) => void
  readonly #pendingPolls = new Set<() => void>()

  /** @param announce - writes the target's list entry at the start of each incarnation */
  constructor (info: TargetInfo, clock: Clock, history: FleetHistory, announce: (entry: TargetInfo) => void = () => {}) {
    this.info = info
    this.#clock = clock
    this.#history = history
    this.#startedAt = clock.now()
    this.#bornMs = Math.round(clock.now()) + 1_000_000
    this.#announce = announce
    announce(this.entry)
    this.#scheduleCheck()
  }

  /** The list entry of the current incarnation. */
  get entry (): TargetInfo { return { ...this.info, bornMs: this.#bornMs } }

  get isUp (): boolean { return this.#isUp }

  /** @returns whether the host refuses connections, as after a crash of the target's process alone */
  get isRefusing (): boolean { return this.#isRefusing }

  get runCount (): number { return this.#runs.size }

  /** Emulates a crash: all runs end, and no call is answered until `restart`. */
  crash (): void {
    this.#isUp = false
    for (const run of this.#runs.values()) this.#history.recordEnd(this.info.id, run.task, run.attempt, 'crashed')
    this.#runs.clear()
    this.#pendingPolls.clear()
  }

  /** Starts a new incarnation under the same id, which knows nothing of the earlier one; crashes the target first when it is up. */
  restart (): void {
    if (this.#isUp) this.crash()
    this.#isUp = true
    this.#isRefusing = false
    this.#startedAt = this.#clock.now()
    this.#bornMs = Math.round(this.#clock.now()) + 1_000_000
    this.#ended = []
    this.#endCount = 0
    this.#highestToken = 0
    this.#leaseUntil = 0
    this.#highestAttempt.clear()
    this.#announce(this.entry)
  }

  /**
   * Starts a task, unless the order is fenced by a higher token, late, of an attempt that has ended or was
   * stopped (or an earlier one), or exceeds the free capacity. Extends the lease to the order's deadline.
   * A repeated order for a running attempt is accepted without effect.
   */
  start (order: StartOrder): StartReply {
    if (!this.#acceptToken(order.token)) return { kind: 'rejected', reason: 'superseded' }
    if (this.fault === 'rejects') return { kind: 'rejected', reason: 'unhealthy' }
    const known = this.#runs.get(order.task)
    if (known?.attempt === order.attempt) return { kind: 'accepted' }
    if (order.deadlineMs <= this.#readClock()) return { kind: 'rejected', reason: 'late' }
    this.#extendLease(order.deadlineMs)
    if (order.attempt <= (this.#highestAttempt.get(order.task) ?? 0)) return { kind: 'rejected', reason: 'old' }
    const work = JSON.parse(order.payload) as TaskPayload
    const demand = { processors: work.processors, memoryMb: 1, accelerators: 0 }
    if (!this.#fits(demand)) return { kind: 'rejected', reason: 'room' }
    this.#runs.set(order.task, { task: order.task, attempt: order.attempt, demand, workMs: work.workMs, crashesTarget: work.crashesTarget === true, workedMs: 0, stopAt: undefined })
    this.#history.recordStart(this.info.id, order.task, order.attempt)
    return { kind: 'accepted' }
  }

  /** Stops a run, if it exists, and bars later starts of this attempt and of earlier ones. */
  stop (order: StopOrder): StopReply {
    if (!this.#acceptToken(order.token)) return { kind: 'rejected', reason: 'superseded' }
    this.#highestAttempt.set(order.task, Math.max(order.attempt, this.#highestAttempt.get(order.task) ?? 0))
    const run = this.#runs.get(order.task)
    if (run?.attempt === order.attempt) run.stopAt ??= this.#clock.now() + stopDurationMs
    return { kind: 'accepted' }
  }

  /**
   * Removes the ended runs that the dispatcher has seen, extends the lease when the request says so, and
   * replies with the view as soon as it lists an ended run, or after `waitMs`.
   */
  poll (request: PollRequest, reply: (value: PollReply) => void): void {
    if (!this.#acceptToken(request.token)) {
      reply({ kind: 'rejected', reason: 'superseded' })
      return
    }
    this.#ended = this.#ended.filter(end => end.number > request.lastSeenEnd)
    if (request.leaseUntil !== undefined) this.#extendLease(request.leaseUntil)
    let isAnswered = false
    const answer = (): void => {
      if (isAnswered || !this.#isUp) return
      isAnswered = true
      this.#pendingPolls.delete(answer)
      reply({ kind: 'view', view: this.#createView() })
    }
    if (this.#ended.length > 0 || request.waitMs === 0) {
      answer()
      return
    }
    this.#pendingPolls.add(answer)
    this.#clock.startTimer(request.waitMs, answer)
  }

  #createView (): TargetView {
    return {
      clockMs: this.#readClock(),
      bornMs: this.#bornMs,
      running: [...this.#runs.values()].map(run => ({ task: run.task, attempt: run.attempt, percent: Math.floor(100 * run.workedMs / run.workMs) })),
      ended: [...this.#ended]
    }
  }

  #acceptToken (token: number): boolean {
    if (token < this.#highestToken) return false
    this.#highestToken = token
    return true
  }

  #fits (demand: TargetInfo['capacity']): boolean {
    let { processors, memoryMb, accelerators } = this.info.capacity
    for (const run of this.#runs.values()) {
      processors -= run.demand.processors
      memoryMb -= run.demand.memoryMb
      accelerators -= run.demand.accelerators
    }
    return hasCapacity({ processors, memoryMb, accelerators }, demand)
  }

  #extendLease (until: number): void {
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(until, this.#readClock() + maxLeaseMs))
  }

  /** @returns the target's own clock in whole milliseconds, which starts at 0 with each incarnation */
  #readClock (): number {
    return Math.floor(this.#clock.now() - this.#startedAt)
  }

  #scheduleCheck (): void {
    this.#clock.startTimer(checkIntervalMs, () => {
      if (this.#isUp) this.#advanceRuns()
      if ([...this.#runs.values()].some(run => run.crashesTarget && run.workedMs >= workBeforeCrashMs)) this.#crashByTask()
      this.#scheduleCheck()
    })
  }

  #advanceRuns (): void {
    const now = this.#clock.now()
    const hasLeaseLapsed = this.#readClock() > this.#leaseUntil
    for (const run of [...this.#runs.values()]) {
      if (this.fault !== 'hangs') run.workedMs += checkIntervalMs / this.slowness
      if (hasLeaseLapsed) this.#endRun(run, 'lapsed')
      else if (run.stopAt !== undefined && now >= run.stopAt) this.#endRun(run, 'stopped')
      else if (this.fault === 'fails' && run.workedMs >= 10) this.#endRun(run, 'failed')
      else if (run.workedMs >= run.workMs) this.#endRun(run, 'done')
    }
  }

  /** Emulates a crash of the process, whose host refuses connections until the process starts again. */
  #crashByTask (): void {
    this.crash()
    this.#isRefusing = true
    this.#clock.startTimer(crashRestartMs, () => { if (!this.#isUp) this.restart() })
  }

  #endRun (run: TargetRun, how: EndKind): void {
    this.#runs.delete(run.task)
    this.#highestAttempt.set(run.task, Math.max(run.attempt, this.#highestAttempt.get(run.task) ?? 0))
    this.#endCount++
    this.#ended.push({ number: this.#endCount, task: run.task, attempt: run.attempt, how })
    this.#history.recordEnd(this.info.id, run.task, run.attempt, how)
    for (const answer of [...this.#pendingPolls]) answer()
  }
}
