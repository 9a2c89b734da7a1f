import { type Clock } from '@sesamereel/coordination'
import { type EndedEntry, type EndKind, hasCapacity, type PollReply, type PollRequest, type StartOrder, type StartReply, type StopOrder, type StopReply, type TargetInfo, type TargetView } from '@sesamereel/fleet'
import { type FleetHistory } from './fleet-history.js'

/** Longest lease in milliseconds. */
const maxLeaseMs = 1_000

/** Pause in milliseconds between two checks of leases and ends. */
const checkIntervalMs = 2

/** A target stops a run within this time in milliseconds. */
const stopDurationMs = 20

/** How the target treats what it runs. */
export type TargetFault = 'none' | 'fails' | 'hangs' | 'rejects'

interface TargetRun {
  readonly task: string
  readonly attempt: number
  readonly demand: TargetInfo['capacity']
  readonly workMs: number
  workedMs: number
  stopAt: number | undefined
}

/** Work of a task, which the emulated target reads from the payload. */
export interface TaskPayload {
  readonly workMs: number
  readonly processors: number
}

/** A target that guards its room, keeps leases on its own clock and follows the highest token. */
export class EmulatedTarget {
  readonly info: TargetInfo
  fault: TargetFault = 'none'
  /** Run time relative to the work. */
  slowness = 1
  readonly #clock: Clock
  readonly #history: FleetHistory
  readonly #runs = new Map<string, TargetRun>()
  readonly #highestAttempt = new Map<string, number>()
  #ended: EndedEntry[] = []
  #endCount = 0
  #token = 0
  #leaseUntil = 0
  #bornMs: number
  #bornAt: number
  #isUp = true
  readonly #waiting = new Set<() => void>()

  constructor (info: TargetInfo, clock: Clock, history: FleetHistory) {
    this.info = info
    this.#clock = clock
    this.#history = history
    this.#bornAt = clock.now()
    this.#bornMs = Math.round(clock.now()) + 1_000_000
    this.#step()
  }

  get isUp (): boolean { return this.#isUp }

  get runCount (): number { return this.#runs.size }

  /** Ends the life of the target with everything that it runs. */
  crash (): void {
    this.#isUp = false
    for (const run of this.#runs.values()) this.#history.recordEnd(this.info.id, run.task, run.attempt, 'lapsed')
    this.#runs.clear()
    this.#waiting.clear()
  }

  /** Begins a new life under the same id. */
  restart (): void {
    if (this.#isUp) this.crash()
    this.#isUp = true
    this.#bornAt = this.#clock.now()
    this.#bornMs = Math.round(this.#clock.now()) + 1_000_000
    this.#ended = []
    this.#endCount = 0
    this.#token = 0
    this.#highestAttempt.clear()
  }

  start (order: StartOrder): StartReply {
    if (!this.#acceptToken(order.token)) return { kind: 'rejected', reason: 'superseded' }
    if (this.fault === 'rejects') return { kind: 'rejected', reason: 'unhealthy' }
    const known = this.#runs.get(order.task)
    if (known?.attempt === order.attempt) return { kind: 'accepted' }
    if (order.deadlineMs <= this.#readClock()) return { kind: 'rejected', reason: 'late' }
    this.#extend(order.deadlineMs)
    if (order.attempt <= (this.#highestAttempt.get(order.task) ?? 0)) return { kind: 'rejected', reason: 'old' }
    const work = JSON.parse(order.payload) as TaskPayload
    const demand = { processors: work.processors, memoryMb: 1, accelerators: 0 }
    if (!this.#fits(demand)) return { kind: 'rejected', reason: 'room' }
    this.#runs.set(order.task, { task: order.task, attempt: order.attempt, demand, workMs: work.workMs, workedMs: 0, stopAt: undefined })
    this.#history.recordStart(this.info.id, order.task, order.attempt)
    return { kind: 'accepted' }
  }

  stop (order: StopOrder): StopReply {
    if (!this.#acceptToken(order.token)) return { kind: 'rejected', reason: 'superseded' }
    this.#highestAttempt.set(order.task, Math.max(order.attempt, this.#highestAttempt.get(order.task) ?? 0))
    const run = this.#runs.get(order.task)
    if (run?.attempt === order.attempt) run.stopAt ??= this.#clock.now() + stopDurationMs
    return { kind: 'accepted' }
  }

  /** Answers when an end is listed, or when the wait is over. */
  poll (request: PollRequest, reply: (value: PollReply) => void): void {
    if (!this.#acceptToken(request.token)) {
      reply({ kind: 'rejected', reason: 'superseded' })
      return
    }
    this.#ended = this.#ended.filter(end => end.number > request.lastSeenEnd)
    if (request.leaseUntil !== undefined) this.#extend(request.leaseUntil)
    let isAnswered = false
    const answer = (): void => {
      if (isAnswered || !this.#isUp) return
      isAnswered = true
      this.#waiting.delete(answer)
      reply({ kind: 'view', view: this.#describe() })
    }
    if (this.#ended.length > 0 || request.waitMs === 0) {
      answer()
      return
    }
    this.#waiting.add(answer)
    this.#clock.startTimer(request.waitMs, answer)
  }

  #describe (): TargetView {
    return {
      clockMs: this.#readClock(),
      bornMs: this.#bornMs,
      running: [...this.#runs.values()].map(run => ({ task: run.task, attempt: run.attempt, percent: Math.floor(100 * run.workedMs / run.workMs) })),
      ended: [...this.#ended]
    }
  }

  #acceptToken (token: number): boolean {
    if (token < this.#token) return false
    this.#token = token
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

  #extend (until: number): void {
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(until, this.#readClock() + maxLeaseMs))
  }

  #readClock (): number {
    return Math.floor(this.#clock.now() - this.#bornAt)
  }

  #step (): void {
    this.#clock.startTimer(checkIntervalMs, () => {
      if (this.#isUp) this.#work()
      this.#step()
    })
  }

  #work (): void {
    const now = this.#clock.now()
    const isLapsed = this.#readClock() > this.#leaseUntil
    for (const run of [...this.#runs.values()]) {
      if (this.fault !== 'hangs') run.workedMs += checkIntervalMs / this.slowness
      if (isLapsed) this.#end(run, 'lapsed')
      else if (run.stopAt !== undefined && now >= run.stopAt) this.#end(run, 'stopped')
      else if (this.fault === 'fails' && run.workedMs >= 10) this.#end(run, 'failed')
      else if (run.workedMs >= run.workMs) this.#end(run, 'done')
    }
  }

  #end (run: TargetRun, how: EndKind): void {
    this.#runs.delete(run.task)
    this.#highestAttempt.set(run.task, Math.max(run.attempt, this.#highestAttempt.get(run.task) ?? 0))
    this.#endCount++
    this.#ended.push({ number: this.#endCount, task: run.task, attempt: run.attempt, how })
    this.#history.recordEnd(this.info.id, run.task, run.attempt, how)
    for (const answer of [...this.#waiting]) answer()
  }
}
