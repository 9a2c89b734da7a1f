import { type Clock } from '@sesamereel/coordination'

/** Runs an asynchronous action periodically; runs never overlap. */
export class PeriodicTask {
  readonly #clock: Clock
  readonly #intervalMs: number
  readonly #run: () => Promise<void>
  readonly #reportError: (error: unknown) => void
  #stopTimer: (() => void) | undefined
  #currentRun: Promise<void> | undefined
  #stopped = true

  /**
   * @param intervalMs - time in milliseconds between the starts of two runs; a longer run delays the next one
   * @param run - the action
   * @param reportError - receives errors of the action; the task continues
   */
  constructor (clock: Clock, intervalMs: number, run: () => Promise<void>, reportError: (error: unknown) => void) {
    this.#clock = clock
    this.#intervalMs = intervalMs
    this.#run = run
    this.#reportError = reportError
  }

  /**
   * Runs the action once, then continues in the background.
   */
  async start (): Promise<void> {
    this.#stopped = false
    await this.#runAndReschedule()
  }

  /**
   * Stops the task and waits for an ongoing run to finish.
   */
  async stop (): Promise<void> {
    this.#stopped = true
    this.#stopTimer?.()
    await this.#currentRun
  }

  async #runAndReschedule (): Promise<void> {
    const startedAt = this.#clock.now()
    this.#currentRun = this.#run().catch(this.#reportError)
    await this.#currentRun
    if (this.#stopped) return
    const delayMs = Math.max(0, this.#intervalMs - (this.#clock.now() - startedAt))
    this.#stopTimer = this.#clock.startTimer(delayMs, () => { this.#runAndReschedule().catch(this.#reportError) })
  }
}
