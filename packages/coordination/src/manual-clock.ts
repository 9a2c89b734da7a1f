import { Clock } from './clock.js'

interface ManualTimer {
  readonly dueAt: number
  readonly callback: () => void
}

/** Clock whose time changes only through `advance`, for tests and emulations. */
export class ManualClock extends Clock {
  time = 1_000
  #timers: ManualTimer[] = []

  override now (): number {
    return this.time
  }

  override startTimer (delayMs: number, callback: () => void): () => void {
    const timer = { dueAt: this.time + delayMs, callback }
    this.#timers.push(timer)
    return () => { this.#timers = this.#timers.filter(other => other !== timer) }
  }

  /**
   * Advances the time. Runs all timers that become due, in order of their due time, and all
   * pending microtasks before the first and after each timer.
   *
   * @param ms - milliseconds to advance by
   */
  async advance (ms: number): Promise<void> {
    const end = this.time + ms
    await flushMicrotasks()
    for (;;) {
      const next = this.#timers.reduce<ManualTimer | undefined>((first, timer) => first === undefined || timer.dueAt < first.dueAt ? timer : first, undefined)
      if (next === undefined || next.dueAt > end) break
      this.time = Math.max(this.time, next.dueAt)
      this.#timers = this.#timers.filter(timer => timer !== next)
      next.callback()
      await flushMicrotasks()
    }
    this.time = end
  }
}

/** Resolves after all pending microtasks have run. */
export async function flushMicrotasks (): Promise<void> {
  await new Promise(resolve => { setImmediate(resolve) })
}
