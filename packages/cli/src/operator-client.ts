import { randomUUID } from 'node:crypto'
import { configurationSchema, type ListName, nameSchema, resourceVectorSchema } from '@sesamereel/protocol'
import { type Configuration, type ResultError } from '@sesamereel/state'
import { z } from 'zod'
import { computeBackoffMs, sleep } from './backoff.js'
import { HttpClient, type HttpRequest, type HttpResult } from './http-client.js'
import { compareLists, describeChange, type ListChange, type ListContent } from './list-diff.js'
import { readResultError } from './reply-schemas.js'
import { ServerSelector } from './server-selector.js'

/** Why an operator's request got no usable reply. */
export type OperatorFailure =
  | { readonly kind: 'refused', readonly error: ResultError }
  | { readonly kind: 'unreachable', readonly message: string }

/** One edit of a list. */
export interface ListEdit {
  readonly list: ListName
  /** Version of the lists that the edit is based on. */
  readonly baseVersion: number
  readonly content: ListContent
  /** Has the server check the edit without applying it. */
  readonly dryRun?: boolean
}

/** Outcome of an edit. */
export type EditOutcome =
  | { readonly kind: 'applied', readonly version: number, readonly editId: string }
  | { readonly kind: 'checked', readonly baseVersion: number }
  /** Another edit was applied since the base version. */
  | {
    readonly kind: 'conflict'
    readonly error: ResultError
    readonly current: Configuration | undefined
    /** Changes since the base version, as far as the server still has them. */
    readonly since: readonly ReportedListChange[]
    /** Changes that this edit would make to the current list. */
    readonly changes: readonly ListChange[]
  }
  | OperatorFailure
  /** The edit may have been applied. */
  | { readonly kind: 'unknown', readonly editId: string, readonly message: string }

export interface OperatorClientOptions {
  readonly servers: readonly string[]
  readonly token: string
  /** Time limit in milliseconds for one request. */
  readonly replyTimeoutMs?: number
  /** Time in milliseconds after which the client stops retrying. */
  readonly timeoutMs?: number
}

const listEntrySchema = z.union([nameSchema, resourceVectorSchema])

/** Errors after which the request is retried, since another server may not have them; nothing was written. */
const transientErrorNames = new Set(['NotReady', 'Leaving', 'NotSent'])

/** A change of one of the two lists, as reported by a server. */
export interface ReportedListChange extends ListChange {
  readonly list: string
}

type Conclusion = EditOutcome | { readonly kind: 'again', readonly message: string }

/** Gets and edits the two lists and reads the status. */
export class OperatorClient {
  readonly #httpClient = new HttpClient()
  readonly #servers: ServerSelector
  readonly #token: string
  readonly #replyTimeoutMs: number
  readonly #timeoutMs: number

  constructor (options: OperatorClientOptions) {
    this.#servers = new ServerSelector(options.servers)
    this.#token = options.token
    this.#replyTimeoutMs = options.replyTimeoutMs ?? 5_000
    this.#timeoutMs = options.timeoutMs ?? 20_000
  }

  /**
   * Gets both lists with their version.
   *
   * @returns the lists, or the reason why there are none
   */
  async getLists (): Promise<{ readonly kind: 'lists', readonly lists: Configuration } | OperatorFailure> {
    return await this.#read('/v1/lists', body => {
      const parsed = configurationSchema.safeParse(body)
      return parsed.success ? { kind: 'lists' as const, lists: parsed.data } : undefined
    })
  }

  /**
   * Reads the status from one server.
   *
   * @returns the body of the reply, or the reason why there is none
   */
  async getStatus (): Promise<{ readonly kind: 'status', readonly status: unknown, readonly server: string } | OperatorFailure> {
    return await this.#read('/v1/status', (body, server) => typeof body === 'object' && body !== null ? { kind: 'status' as const, status: body, server } : undefined)
  }

  /**
   * Reads the spans of a trace from all servers.
   *
   * @param traceId - 32 hexadecimal digits
   * @returns the spans, each with the server that holds it; servers without a valid reply are left out
   */
  async getTrace (traceId: string): Promise<ReadonlyArray<Readonly<Record<string, unknown>>>> {
    const results = await Promise.all(this.#servers.addresses.map(async server => await this.#httpClient.send(server, {
      method: 'GET', path: `/v1/traces/${traceId}`, token: this.#token, timeoutMs: this.#replyTimeoutMs
    })))
    return results.flatMap(result => {
      const parsed = traceSchema.safeParse(result.kind === 'reply' ? result.body : undefined)
      return parsed.success ? parsed.data.spans.map(span => ({ ...span, server: result.server })) : []
    })
  }

  /**
   * Edits a list by compare-and-set on its version. When a reply is lost, the edit id in the
   * current lists shows whether the edit was applied. Until they show it, the same edit is
   * sent again, which can take effect only once; the outcome is unknown when the version has
   * advanced by more than one meanwhile, or the lists cannot be read.
   *
   * @param edit - the edit
   * @param editId - identifies the edit; to retry an edit of unknown outcome, pass the same id
   * @returns the outcome
   */
  async editList (edit: ListEdit, editId: string = randomUUID()): Promise<EditOutcome> {
    const endsAt = performance.now() + this.#timeoutMs
    const body = JSON.stringify({ baseVersion: edit.baseVersion, editId, content: edit.content, dryRun: edit.dryRun ?? false })
    let mayBeMade = false
    for (let tries = 1; ; tries++) {
      const result = await this.#call({ method: 'PUT', path: `/v1/lists/${edit.list}`, body, timeoutMs: this.#replyTimeoutMs })
      mayBeMade ||= edit.dryRun !== true && mayBeApplied(result)
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
    await this.#httpClient.close()
  }

  async #concludeEdit (edit: ListEdit, editId: string, result: HttpResult, mayBeMade: boolean): Promise<Conclusion> {
    const error = result.kind === 'reply' ? readResultError(result.body) : undefined
    if (result.kind === 'reply' && error === undefined && result.status === 200) {
      return edit.dryRun === true
        ? { kind: 'checked', baseVersion: edit.baseVersion }
        : { kind: 'applied', version: readVersion(result.body) ?? edit.baseVersion + 1, editId }
    }
    if (error !== undefined && transientErrorNames.has(error.name)) {
      this.#servers.recordFailure(result.server)
      return { kind: 'again', message: `${result.server}: ${error.message}` }
    }
    if (error !== undefined && error.name !== 'ListConflict' && !mayBeApplied(result)) {
      return mayBeMade ? await this.#resolveEdit(edit, editId, error.message) : { kind: 'refused', error }
    }
    const message = result.kind === 'lost' ? result.message : error?.message ?? `${result.server}: unexpected reply with status ${result.status}`
    if (error?.name === 'ListConflict') return await this.#explainConflict(edit, editId, error, readReportedChanges(result), mayBeMade)
    this.#servers.recordFailure(result.server)
    return mayBeMade ? await this.#resolveEdit(edit, editId, message) : { kind: 'again', message }
  }

  /** Resolves a conflict. After a lost reply the conflicting edit may be this edit itself. */
  async #explainConflict (edit: ListEdit, editId: string, error: ResultError, since: readonly ReportedListChange[], mayBeMade: boolean): Promise<Conclusion> {
    const read = await this.getLists()
    if (read.kind !== 'lists') {
      return mayBeMade ? { kind: 'unknown', editId, message: error.message } : { kind: 'conflict', error, current: undefined, since, changes: [] }
    }
    const current = read.lists
    if (mayBeMade) {
      if (current.editId === editId) return { kind: 'applied', version: current.version, editId }
      // The instance that replied may lag behind the store.
      if (current.version <= edit.baseVersion) return { kind: 'again', message: error.message }
      if (current.version > edit.baseVersion + 1) return createOvertakenOutcome(edit, editId, current)
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
    return createOvertakenOutcome(edit, editId, current)
  }

  async #read<T> (path: string, accept: (body: unknown, server: string) => T | undefined): Promise<T | OperatorFailure> {
    const endsAt = performance.now() + this.#timeoutMs
    for (let tries = 1; ; tries++) {
      const result = await this.#call({ method: 'GET', path, timeoutMs: this.#replyTimeoutMs })
      const error = result.kind === 'reply' ? readResultError(result.body) : undefined
      if (result.kind === 'reply' && error === undefined) {
        const accepted = result.status === 200 ? accept(result.body, result.server) : undefined
        if (accepted !== undefined) return accepted
      }
      if (error !== undefined && !transientErrorNames.has(error.name) && error.name !== 'InternalError') return { kind: 'refused', error }
      this.#servers.recordFailure(result.server)
      const message = result.kind === 'lost' ? result.message : `${result.server}: ${error?.message ?? `unexpected reply with status ${result.status}`}`
      const pause = tries < this.#servers.size ? 0 : computeBackoffMs(tries - this.#servers.size + 1, Math.random())
      if (performance.now() + pause > endsAt) return { kind: 'unreachable', message }
      await sleep(pause)
    }
  }

  async #call (request: HttpRequest): Promise<HttpResult> {
    return await this.#httpClient.send(this.#servers.pick(), { ...request, token: this.#token })
  }
}

/** Creates the outcome for lists that advanced by more than one version: the edit may be one of those in between. */
function createOvertakenOutcome (edit: ListEdit, editId: string, current: Configuration): EditOutcome {
  const message = `the lists moved from version ${edit.baseVersion} to ${current.version} by edit ${current.editId} before this edit was confirmed`
  return { kind: 'unknown', editId, message }
}

function mayBeApplied (result: HttpResult): boolean {
  if (result.kind === 'lost') return result.sent
  const error = readResultError(result.body)
  return error === undefined ? result.status !== 200 : error.name === 'EditOutcomeUnknown' || error.name === 'InternalError'
}

const traceSchema = z.object({ spans: z.array(z.record(z.string(), z.unknown())) })

const serverChangesSchema = z.object({
  changes: z.array(z.object({ list: z.string(), name: z.string(), before: listEntrySchema.optional(), after: listEntrySchema.optional() }))
})

function readReportedChanges (result: HttpResult): readonly ReportedListChange[] {
  const parsed = serverChangesSchema.safeParse(result.kind === 'reply' ? result.body : undefined)
  if (!parsed.success) return []
  return parsed.data.changes.map(({ list, name, before, after }) => ({ list, ...describeChange(name, before, after) }))
}

function readVersion (body: unknown): number | undefined {
  const version = (body as { version?: unknown } | null)?.version
  return typeof version === 'number' ? version : undefined
}
