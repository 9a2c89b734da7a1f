/** Interval in milliseconds between reads of the list while the entry of an incarnation is awaited. */
const earlyIntervalMs = 250

/** The same from `earlyMs` on. It is below the age at which the list counts as not current. */
const lateIntervalMs = 800

/** Time in milliseconds within which a restarted target has usually written its entry. */
const earlyMs = 3_000

/**
 * Decides when the list of targets is read for the entries of restarted targets. Also the later interval is below the age
 * at which the list counts as not current, so that a target that never writes its entry isn't taken for an unavailable store.
 * Load pattern: many targets restart in turn, and some can't write to the store.
 */
export class EntryRequests {
  #requestedAt = -Infinity

  /**
   * Decides whether to read the list, and counts the read if so.
   *
   * @param now - monotonic time in milliseconds
   * @param awaitedSince - time at which the newest of the awaited entries became needed; undefined if there is none
   * @returns whether the list is to be read now
   */
  shouldRead (now: number, awaitedSince: number | undefined): boolean {
    if (awaitedSince === undefined) return false
    const intervalMs = now - awaitedSince < earlyMs ? earlyIntervalMs : lateIntervalMs
    if (now - this.#requestedAt < intervalMs) return false
    this.#requestedAt = now
    return true
  }
}
