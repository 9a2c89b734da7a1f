/** Fraction of the processors that tasks use when their demands do not divide a target's capacity evenly. */
const packingEfficiency = 0.85

/** Length in milliseconds of one measurement: several runs of short tasks. */
const windowMs = 200

/** Weight of the newest measurement in the moving average. */
const measurementWeight = 0.3

/** Weight with which the average returns to its initial value in a window without saturation. */
const recoveryWeight = 0.05

/** Bounds of one measurement, so that a window with long tasks that end before or after it counts little. */
const minEfficiency = 0.2
const maxEfficiency = 1

/** Fraction of the processors that may be free while the targets count as saturated. */
const saturatedFreeFraction = 0.25

/** State of the usable targets and the queue at one moment; processors in thousandths of a core. */
export interface SaturationSample {
  readonly queuedJobs: number
  readonly freeProcessors: number
  readonly usableProcessors: number
  /** Work per millisecond of the targets if all their processors were in use all the time. */
  readonly nominalThroughput: number
}

/**
 * Measures which part of the targets' processors gets used while jobs wait for them. A target is idle
 * from the end of a run until the end was seen and the next order has arrived; over a busy dispatcher or
 * a full link that takes as long as a short task. Answers the load pattern of a lasting overload: waits
 * that are predicted from the nominal throughput are too short then, and jobs are admitted that wait in vain.
 */
export class DispatchEfficiency {
  #efficiency = packingEfficiency
  #finishedWork = 0
  #windowStart: number | undefined
  #wasSaturated = true

  /** @returns fraction of the nominal throughput, from 0 to 1 */
  get efficiency (): number { return this.#efficiency }

  /** @param work - estimated run time of a task that has ended, in milliseconds times thousandths of a core */
  recordFinished (work: number): void {
    this.#finishedWork += work
  }

  /** Takes a sample; called at regular intervals that are shorter than the window. */
  update (now: number, sample: SaturationSample): void {
    this.#windowStart ??= now
    const isSaturated = sample.queuedJobs > 0 && sample.freeProcessors <= sample.usableProcessors * saturatedFreeFraction
    this.#wasSaturated &&= isSaturated
    const lengthMs = now - this.#windowStart
    if (lengthMs < windowMs) return
    this.#endWindow(lengthMs, sample.nominalThroughput)
    this.#windowStart = now
    this.#finishedWork = 0
    this.#wasSaturated = isSaturated
  }

  #endWindow (lengthMs: number, nominalThroughput: number): void {
    if (!this.#wasSaturated || nominalThroughput <= 0) {
      this.#efficiency += (packingEfficiency - this.#efficiency) * recoveryWeight
      return
    }
    const measured = this.#finishedWork / (nominalThroughput * lengthMs)
    const bounded = Math.min(maxEfficiency, Math.max(minEfficiency, measured))
    this.#efficiency += (bounded - this.#efficiency) * measurementWeight
  }
}
