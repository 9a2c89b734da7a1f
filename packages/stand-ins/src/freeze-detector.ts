/** Gap in milliseconds between two clock readings above which the process counts as frozen. */
const freezeGapMs = 300

/** Detects from gaps between clock readings that the process was frozen. */
export class FreezeDetector {
  #lastReadingAt = performance.now()

  /**
   * Notes a clock reading.
   *
   * @param now - monotonic time in milliseconds
   * @returns the length of the freeze that has just ended in milliseconds, or 0 when there was none
   */
  note (now: number): number {
    const gapMs = now - this.#lastReadingAt
    this.#lastReadingAt = now
    return gapMs > freezeGapMs ? gapMs : 0
  }
}
