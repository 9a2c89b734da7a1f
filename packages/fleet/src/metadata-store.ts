/** A row of the platform's metadata store. */
export interface StoreRow {
  readonly key: string
  /** Text of the row; undefined if it is not text, or longer than any entry of its table. */
  readonly value: string | undefined
  /** Store revision of the last transaction that changed the row. */
  readonly revision: number
}

/** A row that was written or deleted. */
export interface RowChange extends StoreRow {
  readonly deleted: boolean
}

/** The call failed; the store may have carried it out or not. */
export type Unavailable = { readonly kind: 'unavailable', readonly message: string }

export type RowsReply =
  /** `nowMs` is the store's steady clock in milliseconds, if it tells it. */
  | { readonly kind: 'rows', readonly rows: readonly StoreRow[], readonly revision: number, readonly nowMs?: number }
  | Unavailable

export type WatchReply =
  | { readonly kind: 'changes', readonly changes: readonly RowChange[], readonly revision: number }
  /** The store no longer keeps the changes since the given revision. */
  | { readonly kind: 'expired' }
  | Unavailable

export type WriteReply =
  | { readonly kind: 'committed', readonly revision: number }
  | { readonly kind: 'conflict' }
  /** The store has written nothing. */
  | { readonly kind: 'refused', readonly message: string }
  /** The outcome is unknown: the row may have been written, or may still be written as long as the condition holds. */
  | { readonly kind: 'unknown', readonly message: string }

/** A write or deletion of one row. */
export interface ConditionalWrite {
  readonly table: string
  readonly key: string
  /** Revision that the row must have, 0 if it must not exist; without it the write is unconditional. */
  readonly expectedRevision?: number
  /** New text of the row; without it the row is deleted. */
  readonly value?: string
}

/** An unconditional write of one row of a table, or its deletion. */
export interface RowUpdate {
  readonly key: string
  /** New text of the row; without it the row is deleted. */
  readonly value?: string
}

/** Client of the platform's metadata store, which keeps all durable state. */
export abstract class MetadataStore {
  abstract list (table: string): Promise<RowsReply>
  abstract read (table: string, key: string): Promise<RowsReply>
  /**
   * Waits up to `waitMs` milliseconds for changes after a revision.
   *
   * @returns the changes; none if the time has elapsed
   */
  abstract watch (table: string, after: number, waitMs: number): Promise<WatchReply>
  abstract write (write: ConditionalWrite): Promise<WriteReply>

  /**
   * Writes and deletes rows of one table, all in one call where the store's client can.
   *
   * @returns the reply to the last call, or the first one that is no commit
   */
  async writeAll (table: string, updates: readonly RowUpdate[]): Promise<WriteReply> {
    let reply: WriteReply = { kind: 'refused', message: 'nothing to write' }
    for (const update of updates) {
      reply = await this.write({ table, ...update })
      if (reply.kind !== 'committed') return reply
    }
    return reply
  }
}
