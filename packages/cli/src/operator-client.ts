import { randomUUID } from 'node:crypto'
import { configurationSchema, type ListName, nameSchema, resourceVectorSchema } from '@sesamereel/protocol'
import { type Configuration, type ResultError } from '@sesamereel/state'
import { z } from 'zod'
import { computeBackoffMs, sleep } from './backoff.js'
import { HttpClient, type HttpRequest, type HttpResult } from './http-client.js'
import { compareLists, describeChange, type ListChange, type ListContent } from './list-diff.js'
import { readResultError } from './reply-schemas.js'
import { ServerSelector } from './server-selector.js'

/** Why there is no reply to use. */
export type OperatorFailure =
  | { readonly kind: 'refused', readonly error: ResultError }
  | { readonly kind: 'unreachable', readonly message: string }

/** One edit of a list. */
export interface ListEdit {
  readonly list: ListName
  /** Version that the edit was made from. */
  readonly baseVersion: number
  readonly content: ListContent
  /** Checks the edit without making it. */
  readonly dryRun?: boolean
}

/** What became of an edit. */
export type EditOutcome =
  | { readonly kind: 'applied', readonly version: number, readonly editId: string }
  | { readonly kind: 'checked', readonly baseVersion: number }
  /** Another edit came first. */
  | {
    readonly kind: 'conflict'
    readonly error: ResultError
    readonly current: Configuration | undefined
    /** What changed since the base version, as far as the server still knows it. */
    readonly since: readonly ReportedListChange[]
    /** What this edit would change in the current list. */
    readonly changes: readonly ListChange[]
  }
  | OperatorFailure
  /** The edit may have been made. */
  | { readonly kind: 'unknown', readonly editId: string, readonly message: string }

export interface OperatorClientOptions {
  readonly servers: readonly string[]
  readonly token: string
  /** Time in milliseconds that a reply may take. */
  readonly replyTimeoutMs?: number
  /** Time in milliseconds after which the client gives up. */
  readonly timeoutMs?: number
}

const listEntrySchema = z.union([nameSchema, resourceVectorSchema])

/** Errors that another server may not have; nothing was written. */
const passing = new Set(['NotReady', 'Leaving', 'NotSent'])

/** A change of either list, as a server describes it. */
export interface ReportedListChange extends ListChange {
  readonly list: string
}

type Conclusion = EditOutcome | { readonly kind: 'again', readonly message: string }

/** Gets and edits the two lists and reads the status. */
export class OperatorClient {
  readonly #caller = new HttpClient()
  readonly #servers: ServerSelector
  readonly #token: string
  readonly #replyMs: number
  readonly #timeoutMs: number

  constructor (options: OperatorClientOptions) {
    this.#servers = new ServerSelector(options.servers)
    this.#token = options.token
    this.#replyMs = options.replyTimeoutMs ?? 5_000
    this.#timeoutMs = options.timeoutMs ?? 20_000
  }

  /**
   * Gets both lists with their version.
   *
   * @returns the lists, or why there are none
   */
  async getLists (): Promise<{ readonly kind: 'lists', readonly lists: Configuration } | OperatorFailure> {
    return await this.#read('/v1/lists', body => {
      const parsed = configurationSchema.safeParse(body)
      return parsed.success ? { kind: 'lists' as const, lists: parsed.data } : undefined
    })
  }

  /**
   * Reads the status as one server sees it.
   *
   * @returns the body of the reply, or why there is none
   */
  async getStatus (): Promise<{ readonly kind: 'status', readonly status: unknown, readonly server: string } | OperatorFailure> {
    return await this.#read('/v1/status', (body, server) => typeof body === 'object' && body !== null ? { kind: 'status' as const, status: body, server } : undefined)
  }

  /**
   * Reads the spans of a trace that any of the servers still holds.
   *
   * @param traceId - 32 hexadecimal digits
   * @returns the spans with the server that holds them; servers that do not reply are left out
   */
  async getTrace (traceId: string): Promise<ReadonlyArray<Readonly<Record<string, unknown>>>> {
    const results = await Promise.all(this.#servers.addresses.map(async server => await this.#caller.send(server, {
      method: 'GET', path: `/v1/traces/${traceId}`, token: this.#token, timeoutMs: this.#replyMs
    })))
    return results.flatMap(result => {
      const parsed = traceSchema.safeParse(result.kind === 'reply' ? result.body : undefined)
      return parsed.success ? parsed.data.spans.map(span => ({ ...span, server: result.server })) : []
    })
  }

  /**
   * Edits a list by compare-and-set on its version. When a reply is lost, the edit id in the
   * current lists tells whether the edit was made; if the version is still the base version the
   * same edit is sent again, which can take effect only once.
   *
   * @param edit - the edit
   * @param editId - identifies the edit; the same id must be used to continue an edit of unknown outcome
   * @returns the outcome
   */
  async editList (edit: ListEdit, editId: string = randomUUID()): Promise<EditOutcome> {
    const endsAt = performance.now() + this.#timeoutMs
    const body = JSON.stringify({ baseVersion: edit.baseVersion, editId, content: edit.content, dryRun: edit.dryRun ?? false })
    let mayBeMade = false
    for (let tries = 1; ; tries++) {
      const result = await this.#call({ method: 'PUT', path: `/v1/lists/${edit.list}`, body, timeoutMs: this.#replyMs })
      mayBeMade ||= edit.dryRun !== true && isLost(result)
      const conclusion = await this.#concludeEdit(edit, editId, result, mayBeMade)
      if (conclusion.kind !== 'again') return conclusion
      const pause = computeBackoffMs(tries, Math.random())
      if (performance.now() + pause > endsAt) {
        return mayBeMade ? { kind: 'unknown', editId, message: conclusion.message } : { kind: 'unreachable', message: conclusion.message }
      }
      await sleep(pause)
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.#caller.close()
  }

  async #concludeEdit (edit: ListEdit, editId: string, result: HttpResult, mayBeMade: boolean): Promise<Conclusion> {
    const error = result.kind === 'reply' ? readResultError(result.body) : undefined
    if (result.kind === 'reply' && error === undefined && result.status === 200) {
      return edit.dryRun === true
        ? { kind: 'checked', baseVersion: edit.baseVersion }
        : { kind: 'applied', version: readVersion(result.body) ?? edit.baseVersion + 1, editId }
    }
    if (error !== undefined && passing.has(error.name)) {
      this.#servers.recordFailure(result.server)
      return { kind: 'again', message: `${result.server}: ${error.message}` }
    }
    if (error !== undefined && error.name !== 'ListConflict' && !isLost(result)) {
      return mayBeMade ? await this.#resolveEdit(edit, editId, error.message) : { kind: 'refused', error }
    }
    const message = result.kind === 'lost' ? result.message : error?.message ?? `${result.server}: unexpected reply with status ${result.status}`
    if (error?.name === 'ListConflict') return await this.#explainConflict(edit, editId, error, readServerChanges(result), mayBeMade)
    this.#servers.recordFailure(result.server)
    return mayBeMade ? await this.#resolveEdit(edit, editId, message) : { kind: 'again', message }
  }

  /** A conflict after a lost reply may be one with this very edit. */
  async #explainConflict (edit: ListEdit, editId: string, error: ResultError, since: readonly ReportedListChange[], mayBeMade: boolean): Promise<Conclusion> {
    const read = await this.getLists()
    if (read.kind !== 'lists') {
      return mayBeMade ? { kind: 'unknown', editId, message: error.message } : { kind: 'conflict', error, current: undefined, since, changes: [] }
    }
    const current = read.lists
    if (mayBeMade) {
      if (current.editId === editId) return { kind: 'applied', version: current.version, editId }
      // The instance that was read may lag behind the store.
      if (current.version <= edit.baseVersion) return { kind: 'again', message: error.message }
      if (current.version > edit.baseVersion + 1) return describeOvertaken(edit, editId, current)
    }
    return { kind: 'conflict', error, current, since, changes: compareLists(current[edit.list], edit.content) }
  }

  async #resolveEdit (edit: ListEdit, editId: string, message: string): Promise<Conclusion> {
    const read = await this.getLists()
    if (read.kind !== 'lists') return { kind: 'unknown', editId, message }
    const current = read.lists
    if (current.editId === editId) return { kind: 'applied', version: current.version, editId }
    // An instance may lag behind the store, so a version at or below the base proves nothing:
    // the compare-and-set of the next try decides.
    if (current.version <= edit.baseVersion + 1) return { kind: 'again', message }
    return describeOvertaken(edit, editId, current)
  }

  async #read<T> (path: string, accept: (body: unknown, server: string) => T | undefined): Promise<T | OperatorFailure> {
    const endsAt = performance.now() + this.#timeoutMs
    for (let tries = 1; ; tries++) {
      const result = await this.#call({ method: 'GET', path, timeoutMs: this.#replyMs })
      const error = result.kind === 'reply' ? readResultError(result.body) : undefined
      if (result.kind === 'reply' && error === undefined) {
        const accepted = result.status === 200 ? accept(result.body, result.server) : undefined
        if (accepted !== undefined) return accepted
      }
      if (error !== undefined && !passing.has(error.name) && error.name !== 'InternalError') return { kind: 'refused', error }
      this.#servers.recordFailure(result.server)
      const message = result.kind === 'lost' ? result.message : `${result.server}: ${error?.message ?? `unexpected reply with status ${result.status}`}`
      const pause = tries < this.#servers.size ? 0 : computeBackoffMs(tries - this.#servers.size + 1, Math.random())
      if (performance.now() + pause > endsAt) return { kind: 'unreachable', message }
      await sleep(pause)
    }
  }

  async #call (request: HttpRequest): Promise<HttpResult> {
    return await this.#caller.send(this.#servers.pick(), { ...request, token: this.#token })
  }
}

/** The version moved on by more than one, so the edit may be one of the versions between. */
function describeOvertaken (edit: ListEdit, editId: string, current: Configuration): EditOutcome {
  const message = `the lists moved from version ${edit.baseVersion} to ${current.version} by edit ${current.editId} before this edit was confirmed`
  return { kind: 'unknown', editId, message }
}

function isLost (result: HttpResult): boolean {
  if (result.kind === 'lost') return result.sent
  const error = readResultError(result.body)
  return error === undefined ? result.status !== 200 : error.name === 'EditOutcomeUnknown' || error.name === 'InternalError'
}

const traceSchema = z.object({ spans: z.array(z.record(z.string(), z.unknown())) })

const serverChangesSchema = z.object({
  changes: z.array(z.object({ list: z.string(), name: z.string(), before: listEntrySchema.optional(), after: listEntrySchema.optional() }))
})

function readServerChanges (result: HttpResult): readonly ReportedListChange[] {
  const parsed = serverChangesSchema.safeParse(result.kind === 'reply' ? result.body : undefined)
  if (!parsed.success) return []
  return parsed.data.changes.map(({ list, name, before, after }) => ({ list, ...describeChange(name, before, after) }))
}

function readVersion (body: unknown): number | undefined {
  const version = (body as { version?: unknown } | null)?.version
  return typeof version === 'number' ? version : undefined
}
