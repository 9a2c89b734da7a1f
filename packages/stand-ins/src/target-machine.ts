import { randomBytes } from 'node:crypto'
import { performance } from 'node:perf_hooks'
import { type RefusalReason, type StartTask, type TaskEnd, type TaskState } from '@sesamereel/protocol'
import { ExpiringMap } from './expiring-map.js'
import { FreezeDetector } from './freeze-detector.js'
import { type RecordLog } from './record-log.js'
import { type RunningTask } from './running-task.js'
import { type TargetFaults, type TargetMachineOptions } from './target-options.js'
import { parseWork, type TaskWork } from './task-payload.js'
import { TaskRunner } from './task-runner.js'

/** Time in milliseconds for which a target remembers ended and deleted task ids. */
const taskRetentionMs = 60_000

/** Interval in milliseconds at which an idle target reads its clock. */
const clockIntervalMs = 50

/** Interval in milliseconds between two removals of expired task ids. */
const sweepIntervalMs = 1_000

/** Runs the simulated tasks of one target and applies its guards, without any network. */
export class TargetMachine {
  /** Random identity of this start of the target. */
  readonly boot = randomBytes(8).toString('hex')
  readonly #options: TargetMachineOptions
  readonly #records: RecordLog
  readonly #runner: TaskRunner
  readonly #ended = new ExpiringMap<TaskEnd>(taskRetentionMs)
  readonly #deleted = new ExpiringMap<true>(taskRetentionMs)
  readonly #clockTimer: NodeJS.Timeout
  readonly #freezes = new FreezeDetector()
  #sweptAt = performance.now()
  #faults: TargetFaults

  /**
   * @param options - identity and size
   * @param records - receives starts, refusals, ends, faults and freezes
   */
  constructor (options: TargetMachineOptions, records: RecordLog) {
    this.#options = options
    this.#records = records
    this.#faults = { failAll: false, leaving: false, lingering: false, replyDelayMs: 0, speed: options.speed }
    this.#runner = new TaskRunner({
      readClock: () => this.advance(),
      onEnd: (task, end, at) => { this.#recordEnd(task, end, at) }
    })
    records.append({ kind: 'boot', target: options.id, boot: this.boot })
    this.#clockTimer = setInterval(() => { this.advance() }, clockIntervalMs)
  }

  /** Present values of the fault switches. */
  get faults (): TargetFaults { return this.#faults }

  /** Whether the target reports that it is leaving. */
  get leaving (): boolean { return this.#faults.leaving || this.#faults.lingering }

  /** Number of tasks that can start now. */
  get freeSlots (): number { return Math.max(0, this.#options.slots - this.#runner.size) }

  /**
   * Changes fault switches and records the change.
   *
   * @param faults - new values; absent switches keep theirs
   */
  setFaults (faults: Partial<TargetFaults>): void {
    this.#faults = { ...this.#faults, ...faults }
    this.#records.append({ kind: 'faults', target: this.#options.id, faults })
  }

  /**
   * Reads the clock. After a freeze, stops the tasks whose lease has ended before anything else
   * happens, and postpones the work of the others by the length of the freeze.
   *
   * @returns the target's clock in milliseconds
   */
  advance (): number {
    const now = performance.now()
    const freezeMs = this.#freezes.note(now)
    if (freezeMs > 0) this.#resume(now, freezeMs)
    if (now - this.#sweptAt > sweepIntervalMs) this.#sweep(now)
    return now
  }

  /**
   * Starts a task, or refuses it when a guard forbids it. An id that was started before is started
   * again, so that the records show duplicate starts of the dispatcher.
   *
   * @param id - id of the attempt
   * @param request - the start request
   * @param report - receives the end of the task
   * @returns the reason of the refusal, or undefined when the task was started
   */
  start (id: string, request: StartTask, report: (end: TaskEnd) => void): RefusalReason | undefined {
    const now = this.advance()
    const refused = this.#checkGuards(id, request, now)
    const work = parseWork(request.payload)
    const fields = { target: this.#options.id, boot: this.boot, id, customer: request.customer, tag: work.tag }
    if (refused !== undefined) {
      this.#records.append({ kind: 'refused', ...fields, reason: refused })
      return refused
    }
    this.#records.append({ kind: 'start', ...fields, taskKind: request.kind, demand: request.demand })
    this.#runner.run(this.#createTask(id, request, work, report, now), now)
    return undefined
  }

  /**
   * Reports what is known of a task.
   *
   * @param id - id of the attempt
   * @returns its state; `not-seen` for an id that was never started or is no longer remembered
   */
  find (id: string): TaskState {
    this.advance()
    if (this.#runner.find(id).length > 0) return { state: 'running' }
    const end = this.#ended.find(id)
    return end === undefined ? { state: 'not-seen' } : { state: 'ended', end }
  }

  /**
   * Blocks a later start of a task that has not been seen. A running task continues.
   *
   * @param id - id of the attempt
   * @returns the state of the task
   */
  remove (id: string): TaskState {
    const state = this.find(id)
    if (state.state === 'not-seen') this.#deleted.set(id, true, performance.now())
    return state
  }

  /**
   * Stops a running task, or blocks a later start of one that has not been seen.
   *
   * @param id - id of the attempt
   * @returns the state of the task afterwards
   */
  cancel (id: string): TaskState {
    const state = this.remove(id)
    if (state.state !== 'running') return state
    const now = performance.now()
    for (const task of this.#runner.find(id)) this.#runner.finish(task, { outcome: 'cancelled', runMs: now - task.startedAt })
    return this.find(id)
  }

  /**
   * Lists the running tasks.
   *
   * @returns ids of the attempts
   */
  listRunning (): readonly string[] {
    return this.#runner.tasks.map(task => task.id)
  }

  /** Stops the clock and drops the running tasks without a record. */
  close (): void {
    clearInterval(this.#clockTimer)
    this.#runner.close()
  }

  #checkGuards (id: string, request: StartTask, now: number): RefusalReason | undefined {
    const { slots, capacity } = this.#options
    if (request.boot !== this.boot) return 'boot'
    if (this.#deleted.has(id)) return 'deleted'
    if (this.#faults.leaving) return 'leaving'
    if (now > request.startBy) return 'late'
    if (this.#runner.size >= slots) return 'slots'
    return this.#runner.fits(request.demand, { ...capacity, parallel: slots }) ? undefined : 'resources'
  }

  #createTask (id: string, request: StartTask, work: TaskWork, report: (end: TaskEnd) => void, now: number): RunningTask {
    const { failAll, speed } = this.#faults
    return {
      id,
      work: failAll ? { ...work, fail: 'the target fails every task' } : work,
      demand: request.demand,
      startedAt: now,
      leaseEndsAt: now + request.leaseMs,
      dueAt: now + (failAll ? 0 : work.workMs / speed),
      timer: undefined,
      report
    }
  }

  #resume (now: number, freezeMs: number): void {
    const frozenAt = Date.now() - freezeMs
    this.#records.append({ kind: 'frozen', target: this.#options.id, from: frozenAt })
    this.#runner.resume(now, freezeMs, frozenAt)
  }

  #recordEnd (task: RunningTask, end: TaskEnd, at: number): void {
    this.#ended.set(task.id, end, performance.now())
    this.#records.append({ at, kind: 'end', target: this.#options.id, boot: this.boot, id: task.id, outcome: end.outcome })
  }

  #sweep (now: number): void {
    this.#sweptAt = now
    this.#ended.sweep(now)
    this.#deleted.sweep(now)
  }
}
