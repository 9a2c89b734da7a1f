/** First suspension of a target in milliseconds: a few times the run time of a task. */
const initialSuspensionMs = 300

/** Longest suspension in milliseconds; a recovered target should not stay unused for longer. */
const maxSuspensionMs = 2_400

/**
 * Number of consecutive failures of different jobs that suspend a target. A single failure is often
 * the task's own fault.
 */
const failuresToSuspend = 2

/** Weight of the newest run in the moving average of the slowness. */
const slownessWeight = 0.2

/** Bounds of one observation, so that a single outlier cannot exclude a target from placement. */
const minRatio = 0.1
const maxRatio = 12

/**
 * Health of one target, judged by the results of runs. It keeps work away from targets that fail all
 * runs (which would attract work because they always have free capacity), that hang, that reject
 * starts or that are slow.
 */
export class TargetHealth {
  #failures = 0
  #lastFailedJob: string | undefined
  #suspensionMs = initialSuspensionMs
  #suspendedUntil = -Infinity
  #onProbation = false
  #slowness = 1

  /** @returns run time relative to the estimate, as a moving average that slow runs may raise; 1 is as estimated */
  get slowness (): number {
    return this.#slowness
  }

  /** @returns whether the target is suspended or limited to one run at a time */
  get isOnProbation (): boolean {
    return this.#onProbation
  }

  /**
   * Decides whether a run may start here.
   *
   * @param now - monotonic time in milliseconds
   * @param running - number of runs that the target holds now
   */
  isStartAllowed (now: number, running: number): boolean {
    if (now < this.#suspendedUntil) return false
    return !this.#onProbation || running === 0
  }

  /** Records a run that ended with `done`, and its run time relative to the estimate. Ends the probation. */
  recordSuccess (ratio: number): void {
    this.#failures = 0
    this.#lastFailedJob = undefined
    this.#onProbation = false
    this.#suspensionMs = initialSuspensionMs
    const bounded = Math.min(maxRatio, Math.max(minRatio, ratio))
    this.#slowness += (bounded - this.#slowness) * slownessWeight
  }

  /** Records a run that failed. Consecutive failures of one job count once, because the job itself may be at fault. */
  recordFailure (now: number, jobId: string): void {
    if (jobId !== this.#lastFailedJob) this.#failures++
    this.#lastFailedJob = jobId
    if (this.#failures >= failuresToSuspend || this.#onProbation) this.suspend(now)
  }

  /** Records that a run takes longer than estimated, so that placement prefers other targets immediately. */
  recordSlowRun (ratio: number): void {
    this.#slowness = Math.max(this.#slowness, Math.min(maxRatio, ratio))
  }

  /**
   * Suspends the target unless it is suspended already. Each suspension without a success in
   * between is twice as long as the last, up to the maximum.
   */
  suspend (now: number): void {
    if (now < this.#suspendedUntil) return
    this.#suspendedUntil = now + this.#suspensionMs
    this.#suspensionMs = Math.min(maxSuspensionMs, this.#suspensionMs * 2)
    this.#onProbation = true
  }
}
