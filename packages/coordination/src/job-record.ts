import { type JobAnswer, type JobSpec, type JobState } from '@sesamereel/state'

/** A task of a job that waits or runs. */
export interface TaskRef {
  readonly job: JobRecord
  readonly index: number
}

/** An accepted job and the progress of its tasks; owned by the dispatcher. */
export class JobRecord {
  readonly results: unknown[]
  /** Expected run time of each task in milliseconds at a target of average speed. */
  readonly expectedMs: Float64Array
  /** Number of orders sent for each task; makes task ids unique. */
  readonly sends: Uint16Array
  /** Number of attempts of each task that may have started. */
  readonly starts: Uint8Array
  /** Target where the latest attempt of a task failed. */
  readonly avoid = new Map<number, string>()
  /** Running attempts: task id to target id. */
  readonly running = new Map<string, string>()
  readonly waiters = new Set<(answer: JobAnswer) => void>()
  /** Expected run time in milliseconds of all queued tasks. */
  queuedMs = 0
  done = 0
  answer: JobAnswer | undefined
  /** Time since which a queued task fits no listed target. */
  unfitSince: number | undefined

  constructor (
    readonly spec: JobSpec,
    readonly submittedAt: number,
    readonly traceparent: string | undefined,
    estimateRun: (kind: string, declaredMs: number) => number
  ) {
    const count = spec.tasks.length
    this.results = new Array<unknown>(count).fill(undefined)
    this.expectedMs = new Float64Array(count)
    this.sends = new Uint16Array(count)
    this.starts = new Uint8Array(count)
    for (let i = 0; i < count; i++) this.expectedMs[i] = estimateRun(spec.tasks[i]!.kind, spec.tasks[i]!.expectedMs)
  }

  describeState (): JobState {
    return this.answer ?? { state: 'running', key: this.spec.key, done: this.done, total: this.spec.tasks.length }
  }
}
