import { Clock } from './clock.js'

interface ManualTimer {
  readonly at: number
  readonly callback: () => void
}

/** Clock whose time moves only by `advance`, for tests and emulations. */
export class ManualClock extends Clock {
  time = 1_000
  #timers: ManualTimer[] = []

  override now (): number {
    return this.time
  }

  override startTimer (delayMs: number, callback: () => void): () => void {
    const timer = { at: this.time + delayMs, callback }
    this.#timers.push(timer)
    return () => { this.#timers = this.#timers.filter(other => other !== timer) }
  }

  /**
   * Runs all timers that fall due, in order, and all messages between them.
   *
   * @param ms - milliseconds to move on
   */
  async advance (ms: number): Promise<void> {
    const end = this.time + ms
    await flushMicrotasks()
    for (;;) {
      const next = this.#timers.reduce<ManualTimer | undefined>((first, timer) => first === undefined || timer.at < first.at ? timer : first, undefined)
      if (next === undefined || next.at > end) break
      this.time = Math.max(this.time, next.at)
      this.#timers = this.#timers.filter(timer => timer !== next)
      next.callback()
      await flushMicrotasks()
    }
    this.time = end
  }
}

/**
 * Lets all pending microtasks run.
 */
export async function flushMicrotasks (): Promise<void> {
  await new Promise(resolve => { setImmediate(resolve) })
}
