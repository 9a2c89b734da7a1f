/** Shortest interval in milliseconds between polls of a target that may carry out an unanswered order when it starts again. */
const shortIntervalMs = 10

/** Time in milliseconds for each such target by which the interval grows, so that a domain that is down costs about 330 polls a second. */
const intervalPerTargetMs = 3

/**
 * Chooses the interval between polls of unresponsive targets while an order without an answer may still be carried out
 * there. The interval bounds the time in which a restarted target may carry out such an order unnoticed.
 * Load pattern: targets crash under orders; one of them restarts before the order arrives. Many targets may be down at once.
 */
export class PollPacer {
  readonly #waiting = new Set<object>()

  /** Number of targets that are polled at short intervals. */
  get count (): number { return this.#waiting.size }

  /**
   * Chooses the pause before the next poll of a target.
   *
   * @param poller - whose next pause this is
   * @param isNeeded - whether its target is unresponsive and may carry out an unanswered order
   * @param usualMs - the pause otherwise, in milliseconds
   * @returns the pause in milliseconds
   */
  choosePauseMs (poller: object, isNeeded: boolean, usualMs: number): number {
    if (!isNeeded) {
      this.#waiting.delete(poller)
      return usualMs
    }
    this.#waiting.add(poller)
    return Math.min(usualMs, Math.max(shortIntervalMs, this.#waiting.size * intervalPerTargetMs))
  }

  /** Forgets a poller that has ended. */
  remove (poller: object): void {
    this.#waiting.delete(poller)
  }
}
