/** First suspension of a target in milliseconds: a few task lengths. */
const firstSuspensionMs = 300

/** Longest suspension in milliseconds; a target that recovered should not stay unused for longer. */
const longestSuspensionMs = 2_400

/** Failures in a row, of different jobs, that suspend a target. One failure is often the task's own fault. */
const failuresToSuspend = 2

/** Weight of the newest run in the learned slowness. */
const slownessWeight = 0.2

/** Bounds of one observation, so that a single odd run cannot hide a target. */
const lowestRatio = 0.1
const highestRatio = 12

/**
 * Health of one target, judged by real work: it answers the load patterns of targets that fail
 * all that they start (which would attract work because they are always free), that hang, that
 * reject starts and that are slow.
 */
export class TargetHealth {
  #failures = 0
  #lastFailedJob: string | undefined
  #suspensionMs = firstSuspensionMs
  #suspendedUntil = -Infinity
  #onProbation = false
  #slowness = 1

  /** @returns run time relative to the estimate, as a moving average; 1 is as estimated */
  get slowness (): number {
    return this.#slowness
  }

  /** @returns whether the target is suspended or allowed single runs only */
  get onProbation (): boolean {
    return this.#onProbation
  }

  /**
   * Decides whether a run may start here.
   *
   * @param now - monotonic time in milliseconds
   * @param running - runs that the target holds now
   */
  isStartAllowed (now: number, running: number): boolean {
    if (now < this.#suspendedUntil) return false
    return !this.#onProbation || running === 0
  }

  /** Records a run that ended `done`, with its time relative to the estimate. */
  recordSuccess (ratio: number): void {
    this.#failures = 0
    this.#lastFailedJob = undefined
    this.#onProbation = false
    this.#suspensionMs = firstSuspensionMs
    const bounded = Math.min(highestRatio, Math.max(lowestRatio, ratio))
    this.#slowness += (bounded - this.#slowness) * slownessWeight
  }

  /** Records a run that failed; failures of one job count once, as the job itself may be at fault. */
  recordFailure (now: number, jobId: string): void {
    if (jobId !== this.#lastFailedJob) this.#failures++
    this.#lastFailedJob = jobId
    if (this.#failures >= failuresToSuspend || this.#onProbation) this.suspend(now)
  }

  /** Records a run that takes longer than expected, so that placement prefers other targets at once. */
  recordSlowRun (ratio: number): void {
    this.#slowness = Math.max(this.#slowness, Math.min(highestRatio, ratio))
  }

  /** Keeps new work away for a while; each suspension without a success between is twice as long. */
  suspend (now: number): void {
    if (now < this.#suspendedUntil) return
    this.#suspendedUntil = now + this.#suspensionMs
    this.#suspensionMs = Math.min(longestSuspensionMs, this.#suspensionMs * 2)
    this.#onProbation = true
  }
}
