interface RecentRecord<V> {
  readonly value: V
  /** Monotonic time in milliseconds. */
  readonly recordedAt: number
}

/** Values by key that are kept for a limited time. */
export class RecentRecords<V> {
  /** Records in the order in which they were made. */
  readonly #records = new Map<string, RecentRecord<V>>()
  readonly #retentionMs: number
  readonly #maxCount: number

  /**
   * @param retentionMs - time in milliseconds for which a value is kept
   * @param maxCount - largest number of values that are kept; the oldest are removed first
   */
  constructor (retentionMs: number, maxCount = Infinity) {
    this.#retentionMs = retentionMs
    this.#maxCount = maxCount
  }

  /** Records a value in place of an earlier one of the key. */
  record (key: string, value: V, now: number): void {
    this.#records.delete(key)
    this.#records.set(key, { value, recordedAt: now })
    if (this.#records.size > this.#maxCount) this.#records.delete(this.#records.keys().next().value!)
  }

  find (key: string): V | undefined {
    return this.#records.get(key)?.value
  }

  forget (key: string): void {
    this.#records.delete(key)
  }

  /** Removes the values that have been kept for the retention time. */
  expire (now: number): void {
    for (const [key, { recordedAt }] of this.#records) {
      if (now - recordedAt < this.#retentionMs) break
      this.#records.delete(key)
    }
  }
}
