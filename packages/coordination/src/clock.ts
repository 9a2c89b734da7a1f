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

/**
 * Clock that uses the monotonic clock and the timers of the process. Callbacks run after the event loop
 * has read all sockets, so that a process that was busy doesn't take messages that it has not read yet
 * for missing ones.
 */
export class SystemClock extends Clock {
  override now (): number {
    return performance.now()
  }

  override startTimer (delayMs: number, callback: () => void): () => void {
    let immediate: NodeJS.Immediate | undefined
    const timer = setTimeout(() => { immediate = setImmediate(callback) }, delayMs)
    return () => {
      clearTimeout(timer)
      clearImmediate(immediate)
    }
  }
}
