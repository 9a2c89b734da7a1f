import { SuspensionDetector } from './suspension-detector.js'

/** Source of time and timers; tests replace it to control time. */
export abstract class Clock {
  /**
   * Reads a monotonic clock.
   *
   * @returns milliseconds since an arbitrary point in time
   */
  abstract now (): number

  /**
   * Reads the monotonic clock plus all time for which the machine may have been suspended, which the monotonic
   * clock does not count.
   *
   * @returns milliseconds, to be compared only with other readings of this method
   */
  readElapsed (): number {
    return this.now()
  }

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
  readonly #suspension = new SuspensionDetector()

  override now (): number {
    return performance.now()
  }

  override readElapsed (): number {
    const now = performance.now()
    return now + this.#suspension.record(now, Date.now())
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
