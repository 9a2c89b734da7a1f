import { randomUUID } from 'node:crypto'
import { isDeepStrictEqual } from 'node:util'
import { instanceListSchema, readRowsReplySchema, type Row, type RowKey, type Transact, transactReplySchema } from '@sesamereel/protocol'
import { type InstanceList } from '@sesamereel/state'
import { ConnectionPool } from './connection-pool.js'
import { type ExchangeObserver } from './exchange-observer.js'
import { type ExchangeResult, type HttpRequest } from './exchange.js'

/** Time in milliseconds that the platform has for one reply; a synced write takes several. */
export const platformTimeoutMs = 1_000

/** Tries of one transaction; each but the first is preceded by a read of the rows. */
const transactTries = 3

/** Connections of one instance to the platform. */
const platformConnections = 8

export type RowChecks = Transact['checks']
export type RowWrites = Transact['writes']

/** Result of a transaction. `failed` proves that nothing was written. */
export type TransactResult =
  | { readonly kind: 'committed', readonly rows: readonly Row[] }
  | { readonly kind: 'conflict', readonly rows: readonly Row[] }
  | { readonly kind: 'failed', readonly message: string }
  | { readonly kind: 'unknown', readonly message: string }

/** Result of a read; the message says why there is none. */
export type ReadResult<T> =
  | { readonly kind: 'found', readonly value: T }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unavailable', readonly message: string }

/** The platform's table service, instance list and object store. */
export class PlatformClient {
  readonly #pool: ConnectionPool
  readonly #observer: ExchangeObserver
  readonly #lists = new Map<string, { readonly etag: string | undefined, readonly list: InstanceList }>()

  constructor (address: string, observer: ExchangeObserver) {
    this.#pool = new ConnectionPool({ address, maxConnections: platformConnections, reservedConnections: 0 })
    this.#observer = observer
  }

  /**
   * Writes rows when all checks hold. After a lost reply the rows are read back, and the
   * transaction is sent again only while the checks still hold, so it takes effect at most once.
   *
   * @param checks - versions that the rows must have; every written row must be checked
   * @param writes - values to write
   * @returns what became of the transaction
   */
  async transact (checks: RowChecks, writes: RowWrites): Promise<TransactResult> {
    const body = JSON.stringify({ attemptId: randomUUID(), checks, writes } satisfies Transact)
    let maybeSent = false
    let message = ''
    for (let tries = 0; tries < transactTries; tries++) {
      const result = await this.#send('transact', { method: 'POST', path: '/tables/transact', body })
      const reply = result.kind === 'replied' ? parseJson(transactReplySchema, result.text) : undefined
      if (reply?.committed === true) return { kind: 'committed', rows: reply.rows }
      if (reply !== undefined && !maybeSent) return { kind: 'conflict', rows: reply.rows }
      if (reply === undefined) message = describeFailure(result)
      // Status 503 says that the service did not handle the request.
      if (reply === undefined && result.kind !== 'not-sent' && !(result.kind === 'replied' && result.status === 503)) maybeSent = true
      if (!maybeSent) continue
      // Checks see the present rows, while a read may be stale, so the rows of a refusal come first.
      const rows = reply?.rows ?? await this.#readWritten(writes)
      const judged = rows === undefined ? undefined : judgeLostWrite(checks, writes, rows)
      if (judged !== undefined) return judged
    }
    return maybeSent ? { kind: 'unknown', message } : { kind: 'failed', message }
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
   * Reads the instance list as a failure domain sees it: all instances, and the domain's targets.
   *
   * @param domain - the own failure domain
   * @returns the list; the one read before when it is unchanged
   */
  async readInstanceList (domain: string): Promise<ReadResult<InstanceList>> {
    const known = this.#lists.get(domain)
    const headers: Record<string, string> = known?.etag === undefined ? {} : { 'if-none-match': known.etag }
    const result = await this.#send('instances', { method: 'GET', path: `/instances?domain=${encodeURIComponent(domain)}`, headers })
    if (result.kind === 'replied' && result.status === 304 && known !== undefined) return { kind: 'found', value: known.list }
    const list = result.kind === 'replied' && result.status === 200 ? parseJson(instanceListSchema, result.text) : undefined
    if (list === undefined) return { kind: 'unavailable', message: describeFailure(result) }
    this.#lists.set(domain, { etag: result.kind === 'replied' ? result.etag : undefined, list })
    return { kind: 'found', value: list }
  }

  /**
   * Stores an object under a name.
   *
   * @returns whether the store confirmed it; storing the same object again is harmless
   */
  async storeObject (name: string, content: unknown): Promise<boolean> {
    const result = await this.#send('put-object', { method: 'PUT', path: `/objects/${encodeURIComponent(name)}`, body: JSON.stringify(content) })
    return result.kind === 'replied' && result.status >= 200 && result.status < 300
  }

  /**
   * Reads an object.
   *
   * @returns the parsed object, absent when there is none
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

  async #readWritten (writes: RowWrites): Promise<readonly Row[] | undefined> {
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

/** Decides a write whose reply was lost; undefined while it may be sent again. */
function judgeLostWrite (checks: RowChecks, writes: RowWrites, rows: readonly Row[]): TransactResult | undefined {
  const isNext = (row: Row): boolean => checks.some(check => isSameRow(check, row) && row.version === check.version + 1)
  const isOurs = (row: Row): boolean => writes.some(write => isSameRow(write, row) && isDeepStrictEqual(row.value, write.value))
  if (rows.length === writes.length && rows.every(row => isNext(row) && isOurs(row))) return { kind: 'committed', rows }
  // The version after the checked one holds another value: the checks can never hold again.
  if (rows.some(row => isNext(row) && !isOurs(row))) return { kind: 'conflict', rows }
  if (rows.every(row => checks.some(check => isSameRow(check, row) && row.version <= check.version))) return undefined
  return { kind: 'unknown', message: 'the reply was lost and the rows were written again since' }
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
