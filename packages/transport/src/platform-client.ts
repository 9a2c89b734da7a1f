import { randomUUID } from 'node:crypto'
import { isDeepStrictEqual } from 'node:util'
import { instanceListSchema, readRowsReplySchema, type Row, type RowKey, type Transact, transactReplySchema } from '@sesamereel/protocol'
import { type InstanceList } from '@sesamereel/state'
import { ConnectionPool } from './connection-pool.js'
import { type ExchangeObserver } from './exchange-observer.js'
import { type ExchangeResult, type HttpRequest } from './exchange.js'

/** Timeout in milliseconds of one platform request; a write that is synced to disk takes several milliseconds. */
export const platformTimeoutMs = 1_000

/** Maximum number of tries of one transaction. A retry after a lost reply is preceded by a read of the rows. */
const maxTransactTries = 3

/** Maximum number of connections from this instance to the platform. */
const maxConnections = 8

export type RowChecks = Transact['checks']
export type RowWrites = Transact['writes']

/** Result of a transaction. `failed` means that nothing was written; after `unknown` the rows may have been written. */
export type TransactResult =
  | { readonly kind: 'committed', readonly rows: readonly Row[] }
  | { readonly kind: 'conflict', readonly rows: readonly Row[] }
  | { readonly kind: 'failed', readonly message: string }
  | { readonly kind: 'unknown', readonly message: string }

/** Result of a read; the message of `unavailable` gives the reason. */
export type ReadResult<T> =
  | { readonly kind: 'found', readonly value: T }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unavailable', readonly message: string }

/** Client of the platform's table service, instance list and object store. */
export class PlatformClient {
  readonly #pool: ConnectionPool
  readonly #observer: ExchangeObserver
  readonly #instanceLists = new Map<string, { readonly etag: string | undefined, readonly list: InstanceList }>()

  constructor (address: string, observer: ExchangeObserver) {
    this.#pool = new ConnectionPool({ address, maxConnections, reservedConnections: 0 })
    this.#observer = observer
  }

  /**
   * Writes rows if all checks hold. After a lost reply the rows are read, and the transaction is
   * sent again only while the checks still hold, so it takes effect at most once.
   *
   * @param checks - versions that the rows must have; every written row must be checked
   * @param writes - values to write
   */
  async transact (checks: RowChecks, writes: RowWrites): Promise<TransactResult> {
    const body = JSON.stringify({ attemptId: randomUUID(), checks, writes } satisfies Transact)
    let mayHaveCommitted = false
    let message = ''
    for (let tries = 0; tries < maxTransactTries; tries++) {
      const result = await this.#send('transact', { method: 'POST', path: '/tables/transact', body })
      const reply = result.kind === 'replied' ? parseJson(transactReplySchema, result.text) : undefined
      if (reply?.committed === true) return { kind: 'committed', rows: reply.rows }
      if (reply !== undefined && !mayHaveCommitted) return { kind: 'conflict', rows: reply.rows }
      if (reply === undefined) message = describeFailure(result)
      // Status 503 means that the service did not handle the request.
      if (reply === undefined && result.kind !== 'not-sent' && !(result.kind === 'replied' && result.status === 503)) mayHaveCommitted = true
      if (!mayHaveCommitted) continue
      // Checks are made against the current rows, while a read may be stale, so the rows in a refusal are preferred.
      const rows = reply?.rows ?? await this.#readWrittenRows(writes)
      const outcome = rows === undefined ? undefined : classifyLostWrite(checks, writes, rows)
      if (outcome !== undefined) return outcome
    }
    return mayHaveCommitted ? { kind: 'unknown', message } : { kind: 'failed', message }
  }

  /**
   * Reads rows; a row that does not exist has version 0.
   *
   * @param rows - rows to read
   * @returns the rows in the same order
   */
  async readRows (rows: readonly RowKey[]): Promise<ReadResult<readonly Row[]>> {
    const result = await this.#send('read', { method: 'POST', path: '/tables/read', body: JSON.stringify({ rows }) })
    const reply = result.kind === 'replied' && result.status === 200 ? parseJson(readRowsReplySchema, result.text) : undefined
    if (reply === undefined || reply.rows.length !== rows.length) return { kind: 'unavailable', message: describeFailure(result) }
    return { kind: 'found', value: reply.rows }
  }

  /**
   * Reads the instance list for a failure domain: all instances, and the targets of the domain.
   *
   * @param domain - name of the failure domain
   * @returns the list; the cached one if the platform reports that it has not changed
   */
  async readInstanceList (domain: string): Promise<ReadResult<InstanceList>> {
    const cached = this.#instanceLists.get(domain)
    const headers: Record<string, string> = cached?.etag === undefined ? {} : { 'if-none-match': cached.etag }
    const result = await this.#send('instances', { method: 'GET', path: `/instances?domain=${encodeURIComponent(domain)}`, headers })
    if (result.kind === 'replied' && result.status === 304 && cached !== undefined) return { kind: 'found', value: cached.list }
    const list = result.kind === 'replied' && result.status === 200 ? parseJson(instanceListSchema, result.text) : undefined
    if (list === undefined) return { kind: 'unavailable', message: describeFailure(result) }
    this.#instanceLists.set(domain, { etag: result.kind === 'replied' ? result.etag : undefined, list })
    return { kind: 'found', value: list }
  }

  /**
   * Stores an object under a name.
   *
   * @returns whether the store confirmed the write; storing the same object again is harmless
   */
  async storeObject (name: string, content: unknown): Promise<boolean> {
    const result = await this.#send('put-object', { method: 'PUT', path: `/objects/${encodeURIComponent(name)}`, body: JSON.stringify(content) })
    return result.kind === 'replied' && result.status >= 200 && result.status < 300
  }

  /**
   * Reads an object.
   *
   * @returns the parsed object, or `absent` if there is none
   */
  async readObject (name: string): Promise<ReadResult<unknown>> {
    const result = await this.#send('get-object', { method: 'GET', path: `/objects/${encodeURIComponent(name)}` })
    if (result.kind === 'replied' && result.status === 404) return { kind: 'absent' }
    if (result.kind !== 'replied' || result.status !== 200) return { kind: 'unavailable', message: describeFailure(result) }
    try {
      return { kind: 'found', value: JSON.parse(result.text) }
    } catch {
      return { kind: 'unavailable', message: `the object ${JSON.stringify(name)} is not valid JSON` }
    }
  }

  async close (): Promise<void> {
    await this.#pool.close()
  }

  async #readWrittenRows (writes: RowWrites): Promise<readonly Row[] | undefined> {
    if (writes.length === 0) return undefined
    const read = await this.readRows(writes.map(({ table, key }) => ({ table, key })))
    return read.kind === 'found' ? read.value : undefined
  }

  async #send (operation: string, request: HttpRequest): Promise<ExchangeResult> {
    const result = await this.#pool.send(request, { replyTimeoutMs: platformTimeoutMs }).result
    this.#observer.observeExchange('platform', operation, result.kind)
    return result
  }
}

/** Determines the result of a write whose reply was lost from the rows read since; undefined if it may be sent again. */
function classifyLostWrite (checks: RowChecks, writes: RowWrites, rows: readonly Row[]): TransactResult | undefined {
  const isNextVersion = (row: Row): boolean => checks.some(check => isSameRow(check, row) && row.version === check.version + 1)
  const hasWrittenValue = (row: Row): boolean => writes.some(write => isSameRow(write, row) && isDeepStrictEqual(row.value, write.value))
  if (rows.length === writes.length && rows.every(row => isNextVersion(row) && hasWrittenValue(row))) return { kind: 'committed', rows }
  // The version after the checked one holds a different value, so the checks can never hold again.
  if (rows.some(row => isNextVersion(row) && !hasWrittenValue(row))) return { kind: 'conflict', rows }
  if (rows.every(row => checks.some(check => isSameRow(check, row) && row.version <= check.version))) return undefined
  return { kind: 'unknown', message: 'the reply was lost and the rows have been written again since' }
}

function isSameRow (a: RowKey, b: RowKey): boolean {
  return a.table === b.table && a.key === b.key
}

function parseJson<T> (schema: { safeParse: (value: unknown) => { success: true, data: T } | { success: false } }, text: string): T | undefined {
  try {
    const parsed = schema.safeParse(JSON.parse(text))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}

function describeFailure (result: ExchangeResult): string {
  return result.kind === 'replied' ? `unexpected reply with status ${result.status}` : result.message
}
