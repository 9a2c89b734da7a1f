import { estimateCriticalPathMs, formatTaskName, type JobSpec, type StepSpec } from './job-types.js'
import { type Submission } from './messages.js'
import { type OwnerConnection } from './owner-registry.js'
import { type QueuedJob } from './queue-order.js'

/**
 * State of a task. `unlocated`: an earlier dispatcher may have started the task at an unknown
 * target; `running`: a target has, or may have, a run of it.
 */
export type TaskState = 'waiting' | 'unlocated' | 'running' | 'done'

/** One task of a job at its dispatcher. */
export interface TaskRecord {
  readonly name: string
  readonly stepIndex: number
  /** Index of the task over all steps of the job. */
  readonly position: number
  state: TaskState
  /** Runs that ended with `failed`. */
  failures: number
  /** Number of start orders that this dispatcher has sent for the task. */
  starts: number
}

/** A job at its dispatcher. Times are monotonic, in milliseconds. */
export class DispatchedJob implements QueuedJob {
  readonly spec: JobSpec
  readonly acceptedAt: number
  /** Time at which its first owner accepted the job, by the clock that counts suspensions. */
  readonly acceptedElapsed: number
  /** Latest time at which its present owner, which is another one after a repeat, can have accepted the job. */
  ownerAcceptedAt: number
  readonly objectiveAt: number
  readonly usefulUntil: number
  readonly receivedAt: number
  /** Time at which all runs that an earlier dispatcher started must have ended. */
  earlierRunsEndAt: number
  readonly tasks: readonly TaskRecord[]
  /** Connection over which the owner submitted the job last; replies go over it and name that submission. */
  connection: OwnerConnection
  submissionId: number | undefined
  /** Whether a start order was sent for the job, or may have been sent by an earlier dispatcher. */
  started: boolean
  /** Wait for the first start that was predicted at admission, in milliseconds; 0 for adopted jobs. */
  predictedWaitMs = 0
  /** Processors of the smallest task, in thousandths of a core. */
  readonly smallestDemand: number
  /** Number of tasks of each step that are not done. */
  readonly #remainingByStep: number[]
  /** Position of each step's first task. */
  readonly #stepOffsets: readonly number[]
  #remainingTasks: number

  /** @param elapsed - time at which it was received, by the clock that counts suspensions */
  constructor (submission: Submission, connection: OwnerConnection, now: number, elapsed = now) {
    const { job } = submission
    this.spec = job
    this.connection = connection
    this.submissionId = submission.submissionId
    this.receivedAt = now
    this.earlierRunsEndAt = now + submission.quietInMs
    this.acceptedAt = now - submission.ageMs
    this.acceptedElapsed = elapsed - submission.ageMs
    this.ownerAcceptedAt = this.acceptedAt
    this.objectiveAt = this.acceptedAt + job.objectiveMs
    this.usefulUntil = this.acceptedAt + job.usefulMs
    this.started = submission.resubmitted
    this.tasks = createTasks(job, submission)
    this.smallestDemand = Math.min(...job.steps.map(step => step.demand.processors))
    this.#stepOffsets = job.steps.map((_, index) => job.steps.slice(0, index).reduce((sum, step) => sum + step.count, 0))
    this.#remainingByStep = job.steps.map((step, index) => this.tasks.filter(task => task.stepIndex === index && task.state !== 'done').length)
    this.#remainingTasks = this.#remainingByStep.reduce((sum, count) => sum + count, 0)
  }

  get id (): string { return this.spec.id }
  get ownerId (): string { return this.connection.ownerId }
  get priority (): number { return this.spec.priority }

  /** @returns whether all tasks have ended with `done` */
  get isComplete (): boolean { return this.#remainingTasks === 0 }

  /** @returns the estimated time for the longest chain of unfinished steps, in milliseconds */
  get remainingMs (): number {
    const { steps } = this.spec
    if (steps.length === 1) return steps[0]!.estimateMs
    return estimateCriticalPathMs(steps.map((step, index) => this.#remainingByStep[index] === 0 ? { ...step, estimateMs: 0 } : step))
  }

  /** @returns the fraction of the tasks that wait for a start, from 0 to 1 */
  get waitingFraction (): number {
    return this.tasks.reduce((count, task) => task.state === 'waiting' ? count + 1 : count, 0) / this.tasks.length
  }

  findTask (stepIndex: number, index: number): TaskRecord | undefined {
    const spec = this.spec.steps[stepIndex]
    return spec === undefined || index >= spec.count ? undefined : this.tasks[this.#stepOffsets[stepIndex]! + index]
  }

  getStep (task: TaskRecord): StepSpec {
    return this.spec.steps[task.stepIndex]!
  }

  markDone (task: TaskRecord): void {
    if (task.state === 'done') return
    task.state = 'done'
    this.#remainingByStep[task.stepIndex]!--
    this.#remainingTasks--
  }

  /**
   * Records that an earlier dispatcher may have started tasks of the job: those that wait may run at an unknown target.
   *
   * @param runsEndAt - time at which its runs must have ended
   */
  markUnlocated (runsEndAt: number): void {
    this.earlierRunsEndAt = Math.max(this.earlierRunsEndAt, runsEndAt)
    for (const task of this.tasks) if (task.state === 'waiting') task.state = 'unlocated'
  }

  /** @returns whether all steps that the step depends on are done */
  isStepReady (stepIndex: number): boolean {
    return this.spec.steps[stepIndex]!.after.every(earlier => this.#remainingByStep[earlier] === 0)
  }

  /** @returns whether a waiting task belongs to a step that is ready */
  hasStartableTask (): boolean {
    return this.tasks.some(task => task.state === 'waiting' && this.isStepReady(task.stepIndex))
  }

  /** @returns positions of the tasks that have ended with `done` */
  listDone (): number[] {
    return this.tasks.filter(task => task.state === 'done').map(task => task.position)
  }
}

function createTasks (job: JobSpec, submission: Submission): TaskRecord[] {
  const done = new Set(submission.done)
  const tasks: TaskRecord[] = []
  job.steps.forEach((step, stepIndex) => {
    for (let index = 0; index < step.count; index++) {
      const position = tasks.length
      const state = done.has(position) ? 'done' : submission.resubmitted ? 'unlocated' : 'waiting'
      tasks.push({ name: formatTaskName(job.id, stepIndex, index), stepIndex, position, state, failures: 0, starts: 0 })
    }
  })
  return tasks
}
