import { type Clock } from '@sesamereel/coordination'

/** Time in milliseconds beyond the requested wait after which an answer is overdue; a round trip takes a few. */
export const overdueMarginMs = 60

/** Pause in milliseconds between polls of a target that does not answer, doubled after each failed poll up to the maximum. */
const initialRetryMs = 50
const maxRetryMs = 400

/**
 * Time in milliseconds below which a poll has failed fast: the host has ended the connection, and no process answers there. Below
 * the time-out of a poll; 50 ms is too short for a busy process.
 */
const fastFailureMs = 200

/**
 * Pause in milliseconds between polls of a target that has not answered any within the given time: its entry may name no
 * live target, and there may be thousands of such entries.
 */
const unknownTargetRetryMs = 2_000
const unknownTargetAfterMs = 10_000

/**
 * Polls one target continuously with long polls. When the answer to a poll is lost, no ended run is
 * seen until the next poll, and free capacity stays unused, so a second poll is sent when an answer
 * is overdue.
 */
export class PollLoop {
  readonly #clock: Clock
  readonly #chooseWait: () => number
  readonly #poll: (waitMs: number) => Promise<boolean>
  readonly #onError: (error: unknown) => void
  readonly #choosePause: (usualMs: number, hasFailedFast: boolean) => number
  /** Whether the last poll has thrown; a series of errors is reported once. */
  #hasThrown = false
  #hasEverAnswered = false
  #retryMs = initialRetryMs
  #closed = false
  #cancelPause: (() => void) | undefined

  /**
   * @param chooseWait - returns how long the target may wait for the end of a run before it answers, in milliseconds
   * @param poll - polls once and tells whether the target answered
   * @param onError - receives the first of a series of unexpected errors, which count as polls without an answer
   * @param choosePause - chooses the pause in milliseconds after a poll without an answer, by the usual one and by whether the
   *   connection ended before the time-out; called with 0 after an answer
   */
  constructor (clock: Clock, chooseWait: () => number, poll: (waitMs: number) => Promise<boolean>, onError: (error: unknown) => void, choosePause: (usualMs: number, hasFailedFast: boolean) => number = usualMs => usualMs) {
    this.#clock = clock
    this.#chooseWait = chooseWait
    this.#poll = poll
    this.#onError = onError
    this.#choosePause = choosePause
  }

  /** Polls until the loop is closed. */
  async run (): Promise<void> {
    const startedAt = this.#clock.now()
    while (!this.#closed) {
      const polledAt = this.#clock.now()
      if (await this.#tryPoll()) {
        this.#hasEverAnswered = true
        this.#retryMs = initialRetryMs
        this.#choosePause(0, false)
        continue
      }
      if (this.#closed) return
      const isUnknown = !this.#hasEverAnswered && this.#clock.now() - startedAt >= unknownTargetAfterMs
      await this.#pause(this.#choosePause(isUnknown ? unknownTargetRetryMs : this.#retryMs, this.#clock.now() - polledAt < fastFailureMs))
      this.#retryMs = Math.min(maxRetryMs, this.#retryMs * 2)
    }
  }

  /** Ends the loop and any pause of it. */
  close (): void {
    this.#closed = true
    this.#cancelPause?.()
  }

  /** @returns whether the target answered; false after an unexpected error */
  async #tryPoll (): Promise<boolean> {
    try {
      const hasAnswered = await this.#pollHedged(this.#chooseWait())
      this.#hasThrown = false
      return hasAnswered
    } catch (error) {
      if (!this.#hasThrown) this.#onError(error)
      this.#hasThrown = true
      return false
    }
  }

  /**
   * Polls once, and a second time without a wait when the answer is overdue.
   *
   * @returns whether the target answered
   */
  async #pollHedged (waitMs: number): Promise<boolean> {
    const first = this.#poll(waitMs)
    const isOverdue = await this.#isPending(first, waitMs + overdueMarginMs)
    if (isOverdue && !this.#closed && await this.#poll(0)) return true
    return await first
  }

  async #isPending (answer: Promise<boolean>, ms: number): Promise<boolean> {
    return await new Promise<boolean>((resolve, reject) => {
      const cancel = this.#clock.startTimer(ms, () => { resolve(true) })
      answer.then(() => { cancel(); resolve(false) }, reject)
    })
  }

  async #pause (ms: number): Promise<void> {
    await new Promise<void>(resolve => {
      const cancel = this.#clock.startTimer(ms, resolve)
      this.#cancelPause = () => { cancel(); resolve() }
    })
  }
}
