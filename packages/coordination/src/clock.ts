/** Source of time and timers, so that decisions can be tested with plain values. */
export abstract class Clock {
  /**
   * Reads a monotonic clock.
   *
   * @returns milliseconds since an arbitrary start
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

/** The monotonic clock and the timers of the process. */
export class SystemClock extends Clock {
  override now (): number {
    return performance.now()
  }

  override startTimer (delayMs: number, callback: () => void): () => void {
    const timer = setTimeout(callback, delayMs)
    return () => { clearTimeout(timer) }
  }
}
