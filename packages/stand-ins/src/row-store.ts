import { type Row, type RowKey, type Transact } from '@sesamereel/protocol'

/** Committed transactions whose replies are kept, so that a retry gets the same reply. */
const maxKeptReplies = 10_000

/** Reply to a transaction: the written rows, or the present rows of the checks that failed. */
export type TransactReply = { readonly committed: boolean, readonly rows: readonly Row[] }

interface RowVersion {
  readonly writtenAt: number
  readonly row: Row
}

/** Rows with versions and atomic transactions. Keeps old versions for stale reads. */
export class RowStore {
  readonly #rows = new Map<string, RowVersion[]>()
  readonly #replies = new Map<string, TransactReply>()

  /**
   * Applies a transaction if all its checks hold. A retry of a committed transaction gets the
   * first reply again.
   *
   * @param request - checks and writes
   * @param now - time of the write in milliseconds
   * @returns the written rows, or the present rows of the checks that failed
   */
  transact (request: Transact, now: number): TransactReply {
    const earlier = this.#replies.get(request.attemptId)
    if (earlier !== undefined) return earlier
    const failed = request.checks.map(check => ({ check, row: this.read(check) })).filter(({ check, row }) => row.version !== check.version)
    if (failed.length > 0) return { committed: false, rows: failed.map(({ row }) => row) }
    const rows = request.writes.map(write => {
      const row: Row = { table: write.table, key: write.key, version: this.read(write).version + 1, value: write.value }
      const versions = this.#rows.get(describeRow(write)) ?? []
      versions.push({ writtenAt: now, row })
      this.#rows.set(describeRow(write), versions)
      return row
    })
    const reply = { committed: true, rows }
    this.#replies.set(request.attemptId, reply)
    if (this.#replies.size > maxKeptReplies) this.#replies.delete(this.#replies.keys().next().value!)
    return reply
  }

  /**
   * Reads a row as of now or of an earlier time.
   *
   * @param key - table and key of the row
   * @param asOf - time in milliseconds; the newest version when absent
   * @returns the row; version 0 and value null when it does not exist
   */
  read (key: RowKey, asOf = Infinity): Row {
    const version = this.#rows.get(describeRow(key))?.findLast(({ writtenAt }) => writtenAt <= asOf)
    return version?.row ?? { table: key.table, key: key.key, version: 0, value: null }
  }
}

function describeRow (key: RowKey): string {
  return `${key.table}/${key.key}`
}
