import { randomBytes } from 'node:crypto'
import { performance } from 'node:perf_hooks'
import { type Demand } from '@sesamereel/state'
import { type RefusalReason, type StartTask, type TaskEnd, type TaskState } from '@sesamereel/protocol'
import { type RecordLog } from './record-log.js'

/** Time in milliseconds for which ended and deleted ids are remembered. */
export const rememberMs = 60_000

/** A gap of this many milliseconds between two readings of the clock counts as a freeze. */
const freezeGapMs = 300

/** Interval in milliseconds at which the clock is read while nothing else happens. */
const tickMs = 50

/** Switches of a target. */
export interface TargetFaults {
  /** Every task that starts fails at once. */
  readonly failAll: boolean
  /** The target says that it is leaving and refuses new tasks. */
  readonly leaving: boolean
  /** The target says that it is leaving but still starts tasks. */
  readonly lingering: boolean
  /** Replies are held back for this many milliseconds. */
  readonly replyDelayMs: number
  /** Work is done at this multiple of the declared speed. */
  readonly speed: number
}

export interface TargetMachineOptions {
  readonly id: string
  readonly slots: number
  readonly capacity: Demand
  readonly speed: number
}

/** What the stand-in reads from a payload; anything else runs for 0 ms with a null result. */
interface Work {
  readonly workMs: number
  readonly result: unknown
  readonly fail: string | undefined
  readonly memoryMb: number
  readonly tag: unknown
}

interface RunningTask {
  readonly id: string
  readonly work: Work
  readonly demand: Demand
  readonly startedAt: number
  readonly leaseEndsAt: number
  /** Moment at which the work is done; moves when the target was frozen. */
  dueAt: number
  timer: NodeJS.Timeout | undefined
  readonly report: (end: TaskEnd) => void
}

/**
 * Reads the work that a payload describes.
 */
function parseWork (payload: unknown): Work {
  const fields = (typeof payload === 'object' && payload !== null ? payload : {}) as Record<string, unknown>
  return {
    workMs: typeof fields['workMs'] === 'number' ? fields['workMs'] : 0,
    result: fields['result'] ?? null,
    fail: typeof fields['fail'] === 'string' ? fields['fail'] : undefined,
    memoryMb: typeof fields['memoryMb'] === 'number' ? fields['memoryMb'] : 0,
    tag: fields['tag']
  }
}

/** Runs the simulated tasks of one target under its guards, without any network. */
export class TargetMachine {
  readonly boot = randomBytes(8).toString('hex')
  readonly #options: TargetMachineOptions
  readonly #records: RecordLog
  readonly #running = new Set<RunningTask>()
  readonly #ended = new Map<string, { readonly end: TaskEnd, readonly forgetAt: number }>()
  readonly #deleted = new Map<string, number>()
  readonly #used = { processors: 0, memoryMb: 0, accelerators: 0 }
  readonly #ticker: NodeJS.Timeout
  #seenAt = performance.now()
  #sweptAt = performance.now()
  #faults: TargetFaults

  constructor (options: TargetMachineOptions, records: RecordLog) {
    this.#options = options
    this.#records = records
    this.#faults = { failAll: false, leaving: false, lingering: false, replyDelayMs: 0, speed: options.speed }
    records.append({ kind: 'boot', target: options.id, boot: this.boot })
    this.#ticker = setInterval(() => { this.advance() }, tickMs)
  }

  get faults (): TargetFaults { return this.#faults }

  get leaving (): boolean { return this.#faults.leaving || this.#faults.lingering }

  get freeSlots (): number { return Math.max(0, this.#options.slots - this.#running.size) }

  setFaults (faults: Partial<TargetFaults>): void {
    this.#faults = { ...this.#faults, ...faults }
    this.#records.append({ kind: 'faults', target: this.#options.id, faults })
  }

  /**
   * Reads the clock. After a freeze the work of each task is put off by its length, and tasks
   * whose lease ended meanwhile are stopped before anything else happens. They used nothing
   * while the target was frozen, so their records end when the freeze began.
   *
   * @returns the target's clock in milliseconds
   */
  advance (): number {
    const now = performance.now()
    const gap = now - this.#seenAt
    this.#seenAt = now
    if (gap > freezeGapMs) {
      const frozeAt = Date.now() - gap
      this.#records.append({ kind: 'frozen', target: this.#options.id, from: frozeAt })
      for (const task of [...this.#running]) {
        if (task.leaseEndsAt <= now) {
          this.#finish(task, { outcome: 'timed-out', runMs: task.leaseEndsAt - task.startedAt }, frozeAt)
        } else {
          task.dueAt += gap
          this.#schedule(task, now)
        }
      }
    }
    if (now - this.#sweptAt > 1_000) this.#sweep(now)
    return now
  }

  /**
   * Starts a task, or refuses it when a guard forbids it. An id that was started before is
   * started again: the stand-in counts on the dispatcher not to ask for that.
   *
   * @param report - receives the end of the task
   * @returns the reason of the refusal, or undefined when the task was started
   */
  start (id: string, request: StartTask, report: (end: TaskEnd) => void): RefusalReason | undefined {
    const now = this.advance()
    const refused = this.#judge(id, request, now)
    const identity = { target: this.#options.id, boot: this.boot, id, customer: request.customer }
    const work = parseWork(request.payload)
    if (refused !== undefined) {
      this.#records.append({ kind: 'refused', ...identity, tag: work.tag, reason: refused })
      return refused
    }
    this.#records.append({ kind: 'start', ...identity, tag: work.tag, taskKind: request.kind, demand: request.demand })
    const fails = this.#faults.failAll
    const task: RunningTask = {
      id,
      work: fails ? { ...work, fail: 'the target fails every task' } : work,
      demand: request.demand,
      startedAt: now,
      leaseEndsAt: now + request.leaseMs,
      dueAt: now + (fails ? 0 : work.workMs / this.#faults.speed),
      timer: undefined,
      report
    }
    this.#running.add(task)
    this.#used.processors += task.demand.processors
    this.#used.memoryMb += task.demand.memoryMb
    this.#used.accelerators += task.demand.accelerators
    this.#schedule(task, now)
    return undefined
  }

  /**
   * Tells what is known of a task.
   */
  find (id: string): TaskState {
    this.advance()
    for (const task of this.#running) if (task.id === id) return { state: 'running' }
    const ended = this.#ended.get(id)
    return ended === undefined ? { state: 'not-seen' } : { state: 'ended', end: ended.end }
  }

  /**
   * Makes sure that a task that was not seen is never started. A running one goes on.
   */
  remove (id: string): TaskState {
    const state = this.find(id)
    if (state.state === 'not-seen') this.#deleted.set(id, performance.now() + rememberMs)
    return state
  }

  /**
   * Stops a running task; one that was not seen is never started.
   */
  cancel (id: string): TaskState {
    const state = this.remove(id)
    if (state.state !== 'running') return state
    const now = performance.now()
    for (const task of [...this.#running]) {
      if (task.id === id) this.#finish(task, { outcome: 'cancelled', runMs: now - task.startedAt })
    }
    return this.find(id)
  }

  listRunning (): readonly string[] {
    return [...this.#running].map(task => task.id)
  }

  close (): void {
    clearInterval(this.#ticker)
    for (const task of this.#running) clearTimeout(task.timer)
    this.#running.clear()
  }

  #judge (id: string, request: StartTask, now: number): RefusalReason | undefined {
    if (request.boot !== this.boot) return 'boot'
    if (this.#deleted.has(id)) return 'deleted'
    if (this.#faults.leaving) return 'leaving'
    if (now > request.startBy) return 'late'
    if (this.#running.size >= this.#options.slots) return 'slots'
    const { capacity } = this.#options
    const { demand } = request
    const fits = this.#used.processors + demand.processors <= capacity.processors &&
      this.#used.memoryMb + demand.memoryMb <= capacity.memoryMb &&
      this.#used.accelerators + demand.accelerators <= capacity.accelerators
    return fits ? undefined : 'resources'
  }

  #schedule (task: RunningTask, now: number): void {
    clearTimeout(task.timer)
    // A task that uses too much memory is stopped halfway through its work.
    const stopAt = this.#isOverMemory(task) ? (task.startedAt + task.dueAt) / 2 : task.dueAt
    const delay = Math.min(stopAt, task.leaseEndsAt) - now
    if (delay <= 0) this.#settle(task)
    else task.timer = setTimeout(() => { this.#wake(task) }, delay)
  }

  #wake (task: RunningTask): void {
    const now = this.advance()
    if (!this.#running.has(task)) return
    const early = Math.min(task.dueAt, task.leaseEndsAt) - now
    // Timers of Node.js may fire up to a millisecond early; a larger gap means the work was put off.
    if (early > 2 && !this.#isOverMemory(task)) this.#schedule(task, now)
    else this.#settle(task)
  }

  #settle (task: RunningTask): void {
    const runMs = Math.min(task.dueAt, task.leaseEndsAt) - task.startedAt
    if (this.#isOverMemory(task)) this.#finish(task, { outcome: 'over-memory', runMs })
    else if (task.leaseEndsAt < task.dueAt) this.#finish(task, { outcome: 'timed-out', runMs })
    else if (task.work.fail !== undefined) this.#finish(task, { outcome: 'failed', message: task.work.fail, runMs })
    else this.#finish(task, { outcome: 'succeeded', result: task.work.result, runMs })
  }

  #isOverMemory (task: RunningTask): boolean {
    return task.work.memoryMb > task.demand.memoryMb
  }

  #finish (task: RunningTask, end: TaskEnd, at = Date.now()): void {
    if (!this.#running.delete(task)) return
    clearTimeout(task.timer)
    this.#used.processors -= task.demand.processors
    this.#used.memoryMb -= task.demand.memoryMb
    this.#used.accelerators -= task.demand.accelerators
    this.#ended.set(task.id, { end, forgetAt: performance.now() + rememberMs })
    this.#records.append({ at, kind: 'end', target: this.#options.id, boot: this.boot, id: task.id, outcome: end.outcome })
    task.report(end)
  }

  #sweep (now: number): void {
    this.#sweptAt = now
    // Entries are in the order of their times, so the first one to keep ends the sweep.
    for (const [id, { forgetAt }] of this.#ended) {
      if (forgetAt > now) break
      this.#ended.delete(id)
    }
    for (const [id, forgetAt] of this.#deleted) {
      if (forgetAt > now) break
      this.#deleted.delete(id)
    }
  }
}
