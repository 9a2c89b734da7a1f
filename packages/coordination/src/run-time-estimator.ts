/** Weight of the newest observation in the moving averages, once enough have been seen. */
const averageWeight = 0.1

/** Shortest run time in milliseconds that is used in ratios; zero would make factors meaningless. */
const shortestRunMs = 0.1

/** Bounds of a speed factor, so that a few odd observations cannot hide or favour a target for long. */
const lowestFactor = 0.05
const highestFactor = 20

/** Callers choose the names of kinds, so their number must be bounded. */
const mostKinds = 10_000

interface MovingAverage {
  value: number
  count: number
}

function updateAverage (average: MovingAverage, sample: number): void {
  average.count++
  average.value += (sample - average.value) * Math.max(averageWeight, 1 / average.count)
}

/**
 * Learns run times: a moving average for each kind of task, and a speed factor for each target
 * (1 is average, above 1 is slower). Declared run times are used only until a kind was observed.
 */
export class RunTimeEstimator {
  private readonly kinds = new Map<string, MovingAverage>()
  private readonly factors = new Map<string, MovingAverage>()

  /**
   * Records the run time of a task that succeeded.
   *
   * @param runMs - run time in milliseconds as the target measured it
   */
  observeRun (kind: string, targetId: string, runMs: number): void {
    const run = Math.max(runMs, shortestRunMs)
    let average = this.kinds.get(kind)
    if (average === undefined) {
      if (this.kinds.size >= mostKinds) this.kinds.delete(this.kinds.keys().next().value!)
      average = { value: 0, count: 0 }
      this.kinds.set(kind, average)
    }
    let factor = this.factors.get(targetId)
    if (factor === undefined) {
      // The factor counts as one earlier observation, so that a single run does not decide it.
      factor = { value: 1, count: 1 }
      this.factors.set(targetId, factor)
    }
    const expected = average.count === 0 ? run / factor.value : average.value
    updateAverage(average, run / factor.value)
    updateAverage(factor, Math.min(highestFactor, Math.max(lowestFactor, run / expected)))
  }

  /**
   * Estimates the run time of a kind at a target of average speed.
   *
   * @param declaredMs - declared run time in milliseconds, used while the kind was not observed
   * @returns milliseconds
   */
  estimateRun (kind: string, declaredMs: number): number {
    return this.kinds.get(kind)?.value ?? Math.max(declaredMs, shortestRunMs)
  }

  /** @returns the speed factor of a target, 1 while it was not observed */
  getSlowdownFactor (targetId: string): number {
    return this.factors.get(targetId)?.value ?? 1
  }

  removeTarget (targetId: string): void {
    this.factors.delete(targetId)
  }
}
