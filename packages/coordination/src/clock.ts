/** Source of time and timers; tests replace it to control time. */
export abstract class Clock {
  /**
   * Reads a monotonic clock.
   *
   * @returns milliseconds since an arbitrary point in time
   */
  abstract now (): number

  /**
   * Runs a callback once after a delay.
   *
   * @param delayMs - delay in milliseconds
   * @returns a function that cancels the timer
   */
  abstract startTimer (delayMs: number, callback: () => void): () => void
}

/** Clock that uses the monotonic clock and the timers of the process. */
export class SystemClock extends Clock {
  override now (): number {
    return performance.now()
  }

  override startTimer (delayMs: number, callback: () => void): () => void {
    const timer = setTimeout(callback, delayMs)
    return () => { clearTimeout(timer) }
  }
}
