import { SliceWindow, type WindowSlice } from './slice-window.js'

/** Bounds of one observed ratio of run time to estimate; ratios beyond them count as the nearest bound. */
const minRatio = 0.1
const maxRatio = 12

/** Ratio of the upper to the lower end of a histogram bucket. Predictions are accurate to half a bucket. */
const bucketFactor = 1.08
const bucketCount = Math.ceil(Math.log(maxRatio / minRatio) / Math.log(bucketFactor))

/** Length in milliseconds of a slice of the sliding window. */
const sliceMs = 1_000

/** Slices of the window: long enough for a few dozen runs of tasks that take a second, short enough to follow a change of load. */
const sliceCount = 10

/** Observations of one target that count in one slice, so that a target that ends runs too fast does not dominate the window. */
const maxObservationsPerTarget = 8

/** Weight in observations of the prior, which is that runs take as long as estimated. */
const priorWeight = 20

/** Quantile that predictions use. Higher ones defer jobs that can still be on time, see docs/design/contention.md. */
const predictedQuantile = 0.5

/** Quantile that is reported beside the predicted one, to show stragglers. */
const upperQuantile = 0.95

/** Largest factor by which a target's slowness may exceed the usual one when ratios are corrected by it: one straggler raises it up to 12. */
const maxSlownessExcess = 3

/** Queues that are kept; the one without observations for longest is evicted. */
const maxQueues = 64

/** Ratios of one queue's run times to the callers' estimates, and the number of runs in the window that they were learned from. */
export interface LearnedRunTime {
  readonly queue: string
  readonly median: number
  readonly upper: number
  readonly runs: number
}

/** Observations of one queue in one slice of the window. */
interface Slice extends WindowSlice {
  readonly counts: Map<number, number>
  readonly countsByTarget: Map<string, number>
}

/** Histogram of one queue's ratios over the window. */
class RatioWindow {
  readonly #counts = new Float64Array(bucketCount)
  readonly #window = new SliceWindow<Slice>(sliceMs, sliceCount, index => ({ index, counts: new Map(), countsByTarget: new Map() }), slice => { this.#subtract(slice) })
  readonly #quantiles = new Map<number, number>()
  #total = 0

  constructor () {
    this.#counts[findBucket(1)] = priorWeight
  }

  /**
   * Adds an observation, unless the target has enough of them in the present slice.
   *
   * @param ratio - run time relative to the estimate, corrected by the slowness of the target
   */
  record (target: string, ratio: number, now: number): void {
    const slice = this.#window.findCurrent(now)
    const known = slice.countsByTarget.get(target) ?? 0
    if (known >= maxObservationsPerTarget) return
    slice.countsByTarget.set(target, known + 1)
    const bucket = findBucket(ratio)
    slice.counts.set(bucket, (slice.counts.get(bucket) ?? 0) + 1)
    this.#counts[bucket]!++
    this.#total++
    this.#quantiles.clear()
  }

  /** Drops the slices that have left the window. */
  expire (now: number): void {
    this.#window.expire(now)
  }

  #subtract ({ counts }: Slice): void {
    for (const [bucket, count] of counts) {
      this.#counts[bucket]! -= count
      this.#total -= count
    }
    this.#quantiles.clear()
  }

  /** Number of observations in the window, without the prior. */
  get total (): number { return this.#total }

  /** @returns the ratio that the given fraction of the runs stays below */
  getQuantile (quantile: number): number {
    const known = this.#quantiles.get(quantile)
    if (known !== undefined) return known
    let rest = quantile * (this.#total + priorWeight)
    let bucket = 0
    while (bucket < bucketCount - 1 && (rest -= this.#counts[bucket]!) > 0) bucket++
    const ratio = minRatio * bucketFactor ** (bucket + 0.5)
    // The prior alone must leave the caller's estimate unchanged, not rounded to a bucket.
    const value = bucket === findBucket(1) ? 1 : ratio
    this.#quantiles.set(quantile, value)
    return value
  }
}

/** @returns the index of the histogram bucket that contains the ratio */
function findBucket (ratio: number): number {
  return Math.min(bucketCount - 1, Math.max(0, Math.floor(Math.log(ratio / minRatio) / Math.log(bucketFactor))))
}

/**
 * Learns for each queue how long its runs take compared with the callers' estimates, from the start order until the
 * end is seen. Answers the load pattern of queues with short objectives that compete for too little capacity: the
 * latency of the path and wrong estimates decide which jobs can still be on time, and a queue that starts those that
 * can only just be on time by the estimate answers nearly all jobs a little late.
 *
 * Ratios are relative to the slowness of the run's target, so that they describe the queue and not where its tasks
 * happened to run. The windows and the queues are bounded in count and in time.
 */
export class RunTimeModel {
  readonly #windows = new Map<string, RatioWindow>()

  /**
   * Records a run that ended with `done`.
   *
   * @param queue - key of the job's queue
   * @param target - id of the target
   * @param ratio - time from the start order until the end was seen, relative to the estimate
   * @param slowness - slowness that was learned for the target before this run ended
   * @param usualSlowness - usual slowness of the targets of the service
   * @param now - monotonic time in milliseconds
   */
  record (queue: string, target: string, ratio: number, slowness: number, usualSlowness: number, now: number): void {
    const window = this.#windows.get(queue) ?? new RatioWindow()
    this.#windows.delete(queue)
    this.#windows.set(queue, window)
    if (this.#windows.size > maxQueues) this.#windows.delete(this.#windows.keys().next().value!)
    window.record(target, ratio / Math.min(slowness, usualSlowness * maxSlownessExcess), now)
  }

  /** Drops observations that have left the window, and queues without any. */
  expire (now: number): void {
    for (const [queue, window] of this.#windows) {
      window.expire(now)
      if (window.total === 0) this.#windows.delete(queue)
    }
  }

  /** @returns the median ratio of the queue's runs at a target of slowness 1; 1 while nothing is learned */
  getMedian (queue: string): number {
    return this.#windows.get(queue)?.getQuantile(predictedQuantile) ?? 1
  }

  /** @returns what was learned for a queue; undefined while nothing is */
  describe (queue: string): LearnedRunTime | undefined {
    const window = this.#windows.get(queue)
    return window === undefined ? undefined : { queue, median: window.getQuantile(predictedQuantile), upper: window.getQuantile(upperQuantile), runs: window.total }
  }

  /** @returns what was learned for each queue */
  listQueues (): readonly LearnedRunTime[] {
    return [...this.#windows.keys()].map(queue => this.describe(queue)!)
  }
}
