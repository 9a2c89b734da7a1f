import { SliceWindow, type WindowSlice } from './slice-window.js'

/** Length in milliseconds of the window over which arrivals are counted. */
const windowMs = 2_000

/** Length in milliseconds of a slice of the window. */
const sliceMs = 100

/** Number of slices of the window. */
const sliceCount = windowMs / sliceMs

/** Tasks that run longer than this multiple of the most urgent queue's are kept off the headroom. */
const longRunFactor = 3

/** Nothing is kept free while capacity becomes free within this fraction of the urgent objective. */
const quickEndFraction = 0.1

/** Part of the usable processors that tasks of half a target get when long ones fill the rest. */
const packingFraction = 0.85

/** Largest part of the usable processors that is kept free. */
const maxFraction = 0.5

/** A job of the most urgent queue that has arrived. */
export interface UrgentArrival {
  /** Processors of all its tasks that run in parallel, in thousandths of a core. */
  readonly processors: number
  /** Predicted run time of one task in milliseconds. */
  readonly runMs: number
  /** Time in milliseconds from acceptance within which its answer is on time. */
  readonly objectiveMs: number
}

/** State of the targets of a service. */
export interface HeadroomInputs {
  /** Processors of the usable targets, in thousandths of a core. */
  readonly usableProcessors: number
  /** Expected time in milliseconds until the next end of a task at any of them. */
  readonly nextEndMs: number
}

/** Sums over the arrivals in one slice; `work` in milliseconds times thousandths of a core. */
interface Slice extends WindowSlice {
  count: number
  work: number
  processors: number
  runMs: number
  objectiveMs: number
}

/**
 * Computes how much capacity of a service is kept free of long tasks. Answers the load pattern of long tasks that
 * hold most of the capacity, so that short tasks of a more urgent queue wait for the end of a long one.
 *
 * The headroom is the mean number of processors that the urgent queue uses, and one standard deviation of jobs that
 * arrive independently. It is zero while that queue is idle, or while capacity becomes free fast enough on its own.
 *
 * No dispatcher uses it yet; docs/design/contention.md has the reasons.
 */
export class UrgentHeadroom {
  readonly #window = new SliceWindow<Slice>(sliceMs, sliceCount, index => ({ index, count: 0, work: 0, processors: 0, runMs: 0, objectiveMs: 0 }))

  /**
   * Records the arrival of a job of the most urgent queue.
   *
   * @param now - monotonic time in milliseconds
   */
  record ({ processors, runMs, objectiveMs }: UrgentArrival, now: number): void {
    const slice = this.#window.findCurrent(now)
    slice.count++
    slice.work += processors * runMs
    slice.processors += processors
    slice.runMs += runMs
    slice.objectiveMs += objectiveMs
  }

  /**
   * @returns the run time in milliseconds above which a task is long, and the processors that all long tasks together may
   *   occupy; undefined when nothing is kept free
   */
  computeLimit ({ usableProcessors, nextEndMs }: HeadroomInputs, now: number): { readonly longMs: number, readonly maxLongProcessors: number } | undefined {
    this.#window.expire(now)
    let [count, work, processors, runMs, objectiveMs] = [0, 0, 0, 0, 0]
    for (const slice of this.#window.slices) {
      count += slice.count
      work += slice.work
      processors += slice.processors
      runMs += slice.runMs
      objectiveMs += slice.objectiveMs
    }
    if (count === 0 || nextEndMs < objectiveMs / count * quickEndFraction) return undefined
    const used = work / windowMs
    const headroom = Math.min(usableProcessors * maxFraction, used + Math.sqrt(used * processors / count))
    return { longMs: runMs / count * longRunFactor, maxLongProcessors: usableProcessors * packingFraction - headroom }
  }
}
