import { type JobAnswer, type JobSpec, type JobState, type ResourceVector, zeroResources } from '@sesamereel/state'

/** Reference to a queued or running task of a job. */
export interface TaskRef {
  readonly job: JobRecord
  readonly index: number
}

/** An accepted job and the progress of its tasks; owned by the dispatcher. */
export class JobRecord {
  readonly results: unknown[]
  /** Expected run time of each task, in milliseconds at a target of average speed. */
  readonly expectedMs: Float64Array
  /** For each resource dimension, the largest demand of any task. */
  readonly peakDemand: ResourceVector
  /** Number of start orders sent for each task, whether or not they started; makes attempt ids unique. */
  readonly ordersSent: Uint32Array
  /** Number of attempts of each task that may have started. */
  readonly possibleStarts: Uint8Array
  /** By task index, the id of the target to avoid: the latest failed attempt may have failed because of it. */
  readonly avoidedTargets = new Map<number, string>()
  /** Ids of the targets of running attempts, by attempt id. */
  readonly running = new Map<string, string>()
  readonly waiters = new Set<() => void>()
  /** Sum of the expected run times of all queued tasks, in milliseconds. */
  queuedWorkMs = 0
  done = 0
  answer: JobAnswer | undefined
  /** Time since which a queued task has fitted no listed target, undefined when all fit. */
  noFittingTargetSince: number | undefined

  constructor (
    readonly spec: JobSpec,
    readonly submittedAt: number,
    readonly traceparent: string | undefined,
    estimateRun: (kind: string, declaredMs: number) => number
  ) {
    const count = spec.tasks.length
    this.results = new Array<unknown>(count).fill(undefined)
    this.expectedMs = new Float64Array(count)
    this.ordersSent = new Uint32Array(count)
    this.possibleStarts = new Uint8Array(count)
    const peak = { ...zeroResources, parallel: 1 }
    for (let i = 0; i < count; i++) {
      const { kind, expectedMs, demand } = spec.tasks[i]!
      this.expectedMs[i] = estimateRun(kind, expectedMs)
      peak.processors = Math.max(peak.processors, demand.processors)
      peak.memoryMb = Math.max(peak.memoryMb, demand.memoryMb)
      peak.accelerators = Math.max(peak.accelerators, demand.accelerators)
    }
    this.peakDemand = peak
  }

  describeState (): JobState {
    return this.answer ?? { state: 'running', key: this.spec.key, done: this.done, total: this.spec.tasks.length }
  }
}
