import { type TaskEnd } from '@sesamereel/protocol'
import { addResources, createTaskVector, type Demand, isWithin, type ResourceVector, subtractResources, zeroResources } from '@sesamereel/state'
import { computeEndTime, computeStopTime, decideEnd, isOverMemory, type RunningTask } from './running-task.js'

/** Timers of Node.js may fire up to a millisecond early; a larger gap means that the work was postponed. */
const timerToleranceMs = 2

/** What a task runner needs from the target that it belongs to. */
export interface TaskRunnerOptions {
  /** Reads the target's clock in milliseconds. */
  readonly readClock: () => number
  /** Receives each task that ends, and the wall-clock time of its end in milliseconds. */
  readonly onEnd: (task: RunningTask, end: TaskEnd, at: number) => void
}

/** Runs the simulated tasks of one target by timers and sums the resources that they use. */
export class TaskRunner {
  readonly #options: TaskRunnerOptions
  readonly #running = new Set<RunningTask>()
  #used: ResourceVector = zeroResources

  /**
   * @param options - clock and receiver of the ends
   */
  constructor (options: TaskRunnerOptions) { this.#options = options }

  /** Number of running tasks. */
  get size (): number { return this.#running.size }

  /** Running tasks in the order of their starts. */
  get tasks (): readonly RunningTask[] { return [...this.#running] }

  /**
   * Tells whether a task fits beside the running ones.
   *
   * @param demand - demand of the task
   * @param capacity - what the running tasks may use together
   */
  fits (demand: Demand, capacity: ResourceVector): boolean {
    return isWithin(addResources(this.#used, createTaskVector(demand)), capacity)
  }

  /**
   * Finds the running attempts with an id. There can be several, since a target starts an id as
   * often as it is asked to.
   *
   * @param id - id of the attempt
   */
  find (id: string): readonly RunningTask[] {
    return this.tasks.filter(task => task.id === id)
  }

  /**
   * Runs a task until it ends by itself or is finished.
   *
   * @param task - the task
   * @param now - monotonic time in milliseconds
   */
  run (task: RunningTask, now: number): void {
    this.#running.add(task)
    this.#used = addResources(this.#used, createTaskVector(task.demand))
    this.#schedule(task, now)
  }

  /**
   * Ends a running task; does nothing when it has ended already.
   *
   * @param task - the task
   * @param end - its outcome
   * @param at - wall-clock time of the end in milliseconds
   */
  finish (task: RunningTask, end: TaskEnd, at = Date.now()): void {
    if (!this.#running.delete(task)) return
    clearTimeout(task.timer)
    this.#used = subtractResources(this.#used, createTaskVector(task.demand))
    this.#options.onEnd(task, end, at)
    task.report(end)
  }

  /**
   * Stops the tasks whose lease ended during a freeze and postpones the work of the others by its
   * length. The stopped ones used nothing during the freeze, so their end is when it began.
   *
   * @param now - monotonic time in milliseconds
   * @param freezeMs - length of the freeze
   * @param frozenAt - wall-clock time in milliseconds at which the freeze began
   */
  resume (now: number, freezeMs: number, frozenAt: number): void {
    for (const task of this.tasks) {
      if (task.leaseEndsAt <= now) {
        this.finish(task, { outcome: 'timed-out', runMs: task.leaseEndsAt - task.startedAt }, frozenAt)
      } else {
        task.dueAt += freezeMs
        this.#schedule(task, now)
      }
    }
  }

  /** Drops the running tasks; their ends are not reported. */
  close (): void {
    for (const task of this.#running) clearTimeout(task.timer)
    this.#running.clear()
  }

  #schedule (task: RunningTask, now: number): void {
    clearTimeout(task.timer)
    const delayMs = computeStopTime(task) - now
    if (delayMs <= 0) this.finish(task, decideEnd(task))
    else task.timer = setTimeout(() => { this.#onTimer(task) }, delayMs)
  }

  #onTimer (task: RunningTask): void {
    const now = this.#options.readClock()
    if (!this.#running.has(task)) return
    const remainingMs = computeEndTime(task) - now
    if (remainingMs > timerToleranceMs && !isOverMemory(task)) this.#schedule(task, now)
    else this.finish(task, decideEnd(task))
  }
}
