import { type Clock } from '@sesamereel/coordination'

/** Runs one asynchronous action again and again, never twice at a time. */
export class PeriodicTask {
  readonly #clock: Clock
  readonly #intervalMs: number
  readonly #run: () => Promise<void>
  readonly #reportError: (error: unknown) => void
  #stopTimer: (() => void) | undefined
  #running: Promise<void> | undefined
  #stopped = true

  /**
   * @param intervalMs - time in milliseconds between the starts of two runs
   * @param run - the action
   * @param reportError - receives what the action throws; the task goes on
   */
  constructor (clock: Clock, intervalMs: number, run: () => Promise<void>, reportError: (error: unknown) => void) {
    this.#clock = clock
    this.#intervalMs = intervalMs
    this.#run = run
    this.#reportError = reportError
  }

  /**
   * Runs the action once and goes on in the background.
   */
  async start (): Promise<void> {
    this.#stopped = false
    await this.#step()
  }

  /**
   * Stops and waits for a run under way.
   */
  async stop (): Promise<void> {
    this.#stopped = true
    this.#stopTimer?.()
    await this.#running
  }

  async #step (): Promise<void> {
    const since = this.#clock.now()
    this.#running = this.#run().catch(this.#reportError)
    await this.#running
    if (this.#stopped) return
    const delay = Math.max(0, this.#intervalMs - (this.#clock.now() - since))
    this.#stopTimer = this.#clock.startTimer(delay, () => { this.#step().catch(this.#reportError) })
  }
}
