/** Advance in milliseconds of the time of day over the monotonic clock, between two readings, that does not count as a suspension. */
const toleranceMs = 30

/**
 * Infers for how long the machine may have been suspended. The monotonic clock stands still meanwhile and the
 * time of day does not. A time of day that is set forward looks the same and counts as well.
 */
export class SuspensionDetector {
  /** Time of day less the monotonic time, in milliseconds, at the last reading. */
  #offsetMs: number | undefined
  #suspendedMs = 0

  /**
   * Records a reading of both clocks.
   *
   * @param monotonicMs - monotonic time in milliseconds
   * @param timeOfDayMs - Unix time in milliseconds
   * @returns milliseconds for which the machine may have been suspended since the first reading
   */
  record (monotonicMs: number, timeOfDayMs: number): number {
    const offsetMs = timeOfDayMs - monotonicMs
    const advanceMs = offsetMs - (this.#offsetMs ?? offsetMs)
    this.#offsetMs = offsetMs
    if (advanceMs > toleranceMs) this.#suspendedMs += advanceMs
    return this.#suspendedMs
  }
}
