/** Weights of a new measurement: a delay that grows counts soon, and one that shrinks is given up slowly. */
const riseWeight = 0.5
const fallWeight = 0.2

/**
 * Number of times that a job passes through the event loop of its dispatcher while it waits for it: until its tasks
 * are started, and until their ends are seen.
 */
const passesPerJob = 2

/**
 * Measures by how much this process is late in handling what has arrived, from the lateness of a periodic timer.
 * Answers the load pattern of a burst that is more than the dispatcher's processor can handle, while its targets are
 * free: all messages wait, and jobs that are admitted all the same are answered too late.
 */
export class ProcessingDelay {
  readonly #intervalMs: number
  #lastAt: number | undefined
  #delayMs = 0

  /** @param intervalMs - interval of the timer in milliseconds */
  constructor (intervalMs: number) {
    this.#intervalMs = intervalMs
  }

  /** @returns the time in milliseconds that this process adds to a job */
  get delayPerJobMs (): number { return this.#delayMs * passesPerJob }

  /** Records that the timer has fired. */
  recordTick (now: number): void {
    const last = this.#lastAt
    this.#lastAt = now
    if (last === undefined) return
    const lateMs = Math.max(0, now - last - this.#intervalMs)
    this.#delayMs += (lateMs - this.#delayMs) * (lateMs > this.#delayMs ? riseWeight : fallWeight)
  }
}
