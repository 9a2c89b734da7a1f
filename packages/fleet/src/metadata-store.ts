/** A row of the platform's metadata store. */
export interface StoreRow {
  readonly key: string
  /** Undefined when the row is not text. */
  readonly value: string | undefined
  /** Revision of the last transaction that changed the row. */
  readonly revision: number
}

export interface RowChange extends StoreRow {
  readonly deleted: boolean
}

/** `unavailable` says nothing about whether the store did something. */
export type Unavailable = { readonly kind: 'unavailable', readonly message: string }

export type RowsReply =
  | { readonly kind: 'rows', readonly rows: readonly StoreRow[], readonly revision: number }
  | Unavailable

export type WatchReply =
  | { readonly kind: 'changes', readonly changes: readonly RowChange[], readonly revision: number }
  /** The store no longer has the history since the revision. */
  | { readonly kind: 'expired' }
  | Unavailable

export type WriteReply =
  | { readonly kind: 'committed', readonly revision: number }
  | { readonly kind: 'conflict' }
  /** Nothing was written. */
  | { readonly kind: 'refused', readonly message: string }
  /** The row may have been written, or may still be written while its condition holds. */
  | { readonly kind: 'unknown', readonly message: string }

/** A write of one row under the condition that its revision is as expected; 0 means that it does not exist. */
export interface ConditionalWrite {
  readonly table: string
  readonly key: string
  readonly expectedRevision?: number
  /** Removes the row when absent. */
  readonly value?: string
}

/** The store in which what must last is kept. */
export abstract class MetadataStore {
  abstract list (table: string): Promise<RowsReply>
  abstract read (table: string, key: string): Promise<RowsReply>
  abstract watch (table: string, after: number, waitMs: number): Promise<WatchReply>
  abstract write (write: ConditionalWrite): Promise<WriteReply>
}
