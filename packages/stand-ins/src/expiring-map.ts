/** Map whose entries can be removed once their retention time has passed. */
export class ExpiringMap<V> {
  readonly #retentionMs: number
  readonly #entries = new Map<string, { readonly value: V, readonly expiresAt: number }>()

  /**
   * @param retentionMs - time in milliseconds for which an entry is kept
   */
  constructor (retentionMs: number) { this.#retentionMs = retentionMs }

  /**
   * Stores a value and restarts its retention time.
   *
   * @param now - monotonic time in milliseconds
   */
  set (key: string, value: V, now: number): void {
    this.#entries.set(key, { value, expiresAt: now + this.#retentionMs })
  }

  /**
   * Finds a value that has not been removed.
   *
   * @returns the value, or undefined when there is none
   */
  find (key: string): V | undefined { return this.#entries.get(key)?.value }

  /** Tells whether the map holds a value for the key. */
  has (key: string): boolean { return this.#entries.has(key) }

  /**
   * Removes expired entries.
   *
   * @param now - monotonic time in milliseconds
   */
  sweep (now: number): void {
    // Entries are in the order of their expiry, so the first one to keep ends the sweep.
    for (const [key, { expiresAt }] of this.#entries) {
      if (expiresAt > now) break
      this.#entries.delete(key)
    }
  }
}
