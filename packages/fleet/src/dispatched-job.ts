import { estimateChainMs, formatTaskName, type JobSpec, type StepSpec } from './job-types.js'
import { type Submission } from './messages.js'
import { type QueuedJob } from './queue-order.js'

/**
 * `unlocated`: an earlier dispatcher may have started the task and it is not known where;
 * `running`: some target has, or may have, a run of it.
 */
export type TaskState = 'waiting' | 'unlocated' | 'running' | 'done'

/** One task of a job at its dispatcher. */
export interface TaskRecord {
  readonly name: string
  readonly step: number
  /** Index over all steps of the job. */
  readonly position: number
  state: TaskState
  failures: number
  /** Start orders of this dispatcher. */
  starts: number
}

/** A job at its dispatcher. */
export class DispatchedJob implements QueuedJob {
  readonly spec: JobSpec
  readonly acceptedAt: number
  readonly objectiveAt: number
  readonly usefulUntil: number
  readonly receivedAt: number
  /** When runs that an earlier dispatcher started have surely ended. */
  readonly earlierRunsEndAt: number
  readonly tasks: readonly TaskRecord[]
  ownerId: string
  /** Whether a start order was sent for the job, here or by an earlier dispatcher. */
  started: boolean
  /** Wait for the first start that the admission expected, in milliseconds; 0 for adopted jobs. */
  predictedWaitMs = 0
  readonly #undone: number[]
  /** Position of the first task of each step. */
  readonly #offsets: readonly number[]
  #left: number

  constructor (submission: Submission, ownerId: string, now: number) {
    const { job } = submission
    this.spec = job
    this.ownerId = ownerId
    this.receivedAt = now
    this.earlierRunsEndAt = now + submission.quietInMs
    this.acceptedAt = now - submission.ageMs
    this.objectiveAt = this.acceptedAt + job.objectiveMs
    this.usefulUntil = this.acceptedAt + job.usefulMs
    this.started = submission.resubmitted
    this.tasks = createTasks(job, submission)
    this.#offsets = job.steps.map((_, index) => job.steps.slice(0, index).reduce((sum, step) => sum + step.count, 0))
    this.#undone = job.steps.map((step, index) => this.tasks.filter(task => task.step === index && task.state !== 'done').length)
    this.#left = this.#undone.reduce((sum, count) => sum + count, 0)
  }

  get id (): string { return this.spec.id }
  get priority (): number { return this.spec.priority }

  /** @returns whether all tasks have ended `done` */
  get isComplete (): boolean { return this.#left === 0 }

  /** @returns time that the rest of the job needs at least, in milliseconds */
  get remainingMs (): number {
    const { steps } = this.spec
    if (steps.length === 1) return steps[0]!.estimateMs
    return estimateChainMs(steps.map((step, index) => this.#undone[index] === 0 ? { ...step, estimateMs: 0 } : step))
  }

  get waitingFraction (): number {
    return this.tasks.reduce((count, task) => task.state === 'waiting' ? count + 1 : count, 0) / this.tasks.length
  }

  findTask (step: number, index: number): TaskRecord | undefined {
    const spec = this.spec.steps[step]
    return spec === undefined || index >= spec.count ? undefined : this.tasks[this.#offsets[step]! + index]
  }

  getStep (task: TaskRecord): StepSpec {
    return this.spec.steps[task.step]!
  }

  markDone (task: TaskRecord): void {
    if (task.state === 'done') return
    task.state = 'done'
    this.#undone[task.step]!--
    this.#left--
  }

  /** @returns whether the steps that the task's step depends on are done */
  isStepReady (step: number): boolean {
    return this.spec.steps[step]!.after.every(earlier => this.#undone[earlier] === 0)
  }

  hasStartableTask (): boolean {
    return this.tasks.some(task => task.state === 'waiting' && this.isStepReady(task.step))
  }

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
      tasks.push({ name: formatTaskName(job.id, stepIndex, index), step: stepIndex, position, state, failures: 0, starts: 0 })
    }
  })
  return tasks
}
