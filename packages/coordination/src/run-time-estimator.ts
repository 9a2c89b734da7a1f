/** Weight of a new sample in the moving averages; the first samples count more, each as 1 / count. */
const minSampleWeight = 0.1

/** Minimum run time in milliseconds in ratios, which zero would make meaningless. */
const minRunMs = 0.1

/** Bounds of a sample of a slowdown factor, so that a few outliers cannot penalise or favour a target for long. */
const minSlowdown = 0.05
const maxSlowdown = 20

/** Maximum number of kinds that are remembered; callers choose the names of kinds, so the number has to be bounded. */
const maxKinds = 10_000

interface MovingAverage {
  value: number
  count: number
}

function updateAverage (average: MovingAverage, sample: number): void {
  average.count++
  average.value += (sample - average.value) * Math.max(minSampleWeight, 1 / average.count)
}

/**
 * Learns run times: a moving average for each kind of task, and a slowdown factor for each target
 * (1 is average, higher is slower). A declared run time is used only until the kind has been observed.
 */
export class RunTimeEstimator {
  private readonly averageRunByKind = new Map<string, MovingAverage>()
  private readonly slowdownByTarget = new Map<string, MovingAverage>()

  /**
   * Records the run time of a task that succeeded.
   *
   * @param runMs - run time in milliseconds, as measured by the target
   */
  observeRun (kind: string, targetId: string, runMs: number): void {
    const run = Math.max(runMs, minRunMs)
    let average = this.averageRunByKind.get(kind)
    if (average === undefined) {
      if (this.averageRunByKind.size >= maxKinds) this.averageRunByKind.delete(this.averageRunByKind.keys().next().value!)
      average = { value: 0, count: 0 }
      this.averageRunByKind.set(kind, average)
    }
    let factor = this.slowdownByTarget.get(targetId)
    if (factor === undefined) {
      // The initial factor counts as one sample, so that the first run does not determine it alone.
      factor = { value: 1, count: 1 }
      this.slowdownByTarget.set(targetId, factor)
    }
    const expected = average.count === 0 ? run / factor.value : average.value
    updateAverage(average, run / factor.value)
    updateAverage(factor, Math.min(maxSlowdown, Math.max(minSlowdown, run / expected)))
  }

  /**
   * Estimates the run time of a kind of task at a target of average speed.
   *
   * @param declaredMs - declared run time in milliseconds, used until the kind has been observed
   * @returns the estimate in milliseconds
   */
  estimateRun (kind: string, declaredMs: number): number {
    return this.averageRunByKind.get(kind)?.value ?? Math.max(declaredMs, minRunMs)
  }

  /** @returns the slowdown factor of a target: 1 is average and the value until it has been observed, higher is slower */
  getSlowdownFactor (targetId: string): number {
    return this.slowdownByTarget.get(targetId)?.value ?? 1
  }

  removeTarget (targetId: string): void {
    this.slowdownByTarget.delete(targetId)
  }
}
