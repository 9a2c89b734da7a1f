import { type Clock } from '@sesamereel/coordination'

/** Time in milliseconds beyond the asked wait after which an answer is overdue; a round trip takes a few. */
const overdueMs = 60

/** Pause in milliseconds between looks at a target that doesn't answer, doubled up to the longest. */
const firstRetryMs = 50
const longestRetryMs = 400

/**
 * Looks at one target again and again. It answers the load pattern in which a few looks get no
 * answer: until the next one no end is seen, and room that is free is not used, so a second look
 * goes out when an answer is overdue.
 */
export class PollLoop {
  readonly #clock: Clock
  readonly #chooseWait: () => number
  readonly #look: (waitMs: number) => Promise<boolean>
  #retryMs = firstRetryMs
  #closed = false
  #cancelPause: (() => void) | undefined

  /**
   * @param chooseWait - returns how long the target may wait for an end before it answers, in milliseconds
   * @param look - looks once and tells whether the target answered
   */
  constructor (clock: Clock, chooseWait: () => number, look: (waitMs: number) => Promise<boolean>) {
    this.#clock = clock
    this.#chooseWait = chooseWait
    this.#look = look
  }

  /** Looks until the loop is closed. */
  async run (): Promise<void> {
    while (!this.#closed) {
      if (await this.#lookHedged(this.#chooseWait())) {
        this.#retryMs = firstRetryMs
        continue
      }
      if (this.#closed) return
      await this.#pause(this.#retryMs)
      this.#retryMs = Math.min(longestRetryMs, this.#retryMs * 2)
    }
  }

  close (): void {
    this.#closed = true
    this.#cancelPause?.()
  }

  /** @returns whether the target answered */
  async #lookHedged (waitMs: number): Promise<boolean> {
    const first = this.#look(waitMs)
    const isOverdue = await this.#isPending(first, waitMs + overdueMs)
    if (isOverdue && !this.#closed && await this.#look(0)) return true
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
