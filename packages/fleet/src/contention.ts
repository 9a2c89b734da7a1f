import { type DispatchedJob, type TaskRecord } from './dispatched-job.js'
import { type LogFields } from './event-log.js'
import { computeUsualSlowness } from './load-estimates.js'
import { FairQueueFloor, NoQueueFloor, type QueueFloor } from './queue-floor.js'
import { formatQueueKey } from './queue-key.js'
import { compareInOverload, compareJobs, sortQueue } from './queue-order.js'
import { type LearnedRunTime, RunTimeModel } from './run-time-model.js'
import { type TargetSession } from './target-session.js'

/**
 * What one dispatcher has learned about queues that compete for the targets of a service. For a service whose queues
 * have one priority only, it answers as if nothing were learned, so that all decisions stay as they are without it.
 */
export class Contention {
  readonly #isContended: (service: string) => boolean
  readonly #runTimes = new RunTimeModel()
  /** Floor under the share of each queue of a contended service. */
  readonly floor: QueueFloor
  #usualSlowness: ReadonlyMap<string, number> = new Map()

  /**
   * @param isContended - whether the operator's configuration has queues of at least two priorities for a service
   * @param floorFraction - fraction for the floor of each queue of such a service; no floor if absent
   */
  constructor (isContended: (service: string) => boolean, floorFraction?: number) {
    this.#isContended = isContended
    this.floor = floorFraction === undefined ? new NoQueueFloor() : new FairQueueFloor(floorFraction, isContended)
  }

  /** @returns whether queues of several priorities compete for the targets of the service */
  isActive (service: string): boolean {
    return this.#isContended(service)
  }

  /** Drops what is outdated and notes how slow the targets are; called at regular intervals. */
  update (sessions: Iterable<TargetSession>, now: number): void {
    this.#runTimes.expire(now)
    const slownessByService = new Map<string, number[]>()
    for (const { info, health } of sessions) {
      if (!this.#isContended(info.service)) continue
      const list = slownessByService.get(info.service) ?? []
      list.push(health.slowness)
      slownessByService.set(info.service, list)
    }
    this.#usualSlowness = new Map([...slownessByService].map(([service, slowness]) => [service, computeUsualSlowness(slowness)]))
  }

  /**
   * Learns from a run that ended with `done`; called before the target's slowness counts it.
   *
   * @param tookMs - time in milliseconds from the start order until the end was seen
   * @param now - monotonic time in milliseconds
   */
  recordRun (job: DispatchedJob, task: TaskRecord, session: TargetSession, tookMs: number, now: number): void {
    const { service } = job.spec
    const { estimateMs } = job.getStep(task)
    // The start of a run that an earlier dispatcher ordered is not known.
    if (estimateMs <= 0 || task.starts === 0 || !this.#isContended(service)) return
    this.#runTimes.record(formatQueueKey(job), session.info.id, tookMs / estimateMs, session.health.slowness, this.#getUsualSlowness(service), now)
  }

  /** Predicts the run time of a job's unfinished steps in milliseconds. */
  readonly predictRemainingMs = (job: DispatchedJob): number => {
    return job.remainingMs * this.getRatio(job)
  }

  /** @returns a new list of jobs in the order in which they start */
  sortQueue (jobs: readonly DispatchedJob[], now: number): DispatchedJob[] {
    return this.floor.apply(sortQueue(jobs, now, this.predictRemainingMs), now, this.predictRemainingMs)
  }

  /** @returns the ratio of the predicted run time of a job to its estimate; 1 where nothing is learned */
  getRatio (job: DispatchedJob): number {
    if (!this.#isContended(job.spec.service)) return 1
    return this.#runTimes.getMedian(formatQueueKey(job)) * this.#getUsualSlowness(job.spec.service)
  }

  /** @returns the ratio of the predicted run time of a job's tasks at a target of slowness 1 to their estimate; 1 where nothing is learned */
  getRunTimeRatio (job: DispatchedJob): number {
    return this.#isContended(job.spec.service) ? this.#runTimes.getMedian(formatQueueKey(job)) : 1
  }

  /** @returns a function that orders queued jobs of a service by when they start, to predict waits */
  createComparison (service: string, now: number): (a: DispatchedJob, b: DispatchedJob) => number {
    return this.#isContended(service) ? (a, b) => compareInOverload(a, b, now, this.predictRemainingMs) : compareJobs
  }

  /** @returns the inputs of decisions about a job, for the log; none where nothing is learned */
  describeInputs (job: DispatchedJob): LogFields {
    const learned = this.#isContended(job.spec.service) ? this.#runTimes.describe(formatQueueKey(job)) : undefined
    const floor: LogFields = this.floor.isBelow(job) ? { belowFloor: true } : {}
    if (learned === undefined) return floor
    const usualSlowness = this.#getUsualSlowness(job.spec.service)
    return { ...floor, runTimeRatio: roundToHundredths(learned.median), runTimeUpper: roundToHundredths(learned.upper), runTimeRuns: learned.runs, usualSlowness: roundToHundredths(usualSlowness) }
  }

  /** @returns what was learned for each queue, for metrics */
  listRunTimes (): readonly LearnedRunTime[] {
    return this.#runTimes.listQueues()
  }

  #getUsualSlowness (service: string): number {
    return this.#usualSlowness.get(service) ?? 1
  }
}

function roundToHundredths (ratio: number): number {
  return Math.round(ratio * 100) / 100
}
