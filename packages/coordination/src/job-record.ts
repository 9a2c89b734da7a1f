import { type JobAnswer, type JobSpec, type JobState, type ResourceVector, zeroResources } from '@sesamereel/state'

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
  /** Largest demand of any task in each dimension. */
  readonly peakDemand: ResourceVector
  /** Number of orders sent for each task; makes task ids unique. */
  readonly ordersSent: Uint32Array
  /** Number of attempts of each task that may have started. */
  readonly possibleStarts: Uint8Array
  /** Target where the latest attempt of a task failed. */
  readonly avoidedTargets = new Map<number, string>()
  /** Running attempts: task id to target id. */
  readonly running = new Map<string, string>()
  readonly waiters = new Set<() => void>()
  /** Expected run time in milliseconds of all queued tasks. */
  queuedWorkMs = 0
  done = 0
  answer: JobAnswer | undefined
  /** Time since which a queued task fits no listed target. */
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
