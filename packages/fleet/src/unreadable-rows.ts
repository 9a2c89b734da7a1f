import { type StoreRow } from './metadata-store.js'

/**
 * The keys of a table's unreadable rows, each of which is logged once: another writer may write such a row again
 * with every heartbeat.
 */
export class UnreadableRows {
  readonly #keys = new Set<string>()

  /** @returns whether the row of this key is recorded for the first time since it exists */
  record (key: string): boolean {
    if (this.#keys.has(key)) return false
    this.#keys.add(key)
    return true
  }

  /** Forgets the rows that no longer exist. */
  expire (rows: ReadonlyMap<string, StoreRow>): void {
    for (const key of this.#keys) if (!rows.has(key)) this.#keys.delete(key)
  }
}
