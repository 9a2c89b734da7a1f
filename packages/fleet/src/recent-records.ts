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

  /** @param retentionMs - time in milliseconds for which a value is kept */
  constructor (retentionMs: number) {
    this.#retentionMs = retentionMs
  }

  /** Records a value in place of an earlier one of the key. */
  record (key: string, value: V, now: number): void {
    this.#records.delete(key)
    this.#records.set(key, { value, recordedAt: now })
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
