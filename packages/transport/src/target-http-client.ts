import { type Clock } from '@sesamereel/coordination'
import { cancellationsReplySchema, type StartTask, startTaskReplySchema, targetReplySchema, targetStatusSchema, type TargetReply, taskStateReplySchema, type TaskState, type TaskEnd, type RefusalReason } from '@sesamereel/protocol'
import { type TargetDescription } from '@sesamereel/state'
import { ConnectionPool, type SendOptions } from './connection-pool.js'
import { type ExchangeObserver } from './exchange-observer.js'
import { type Exchange, type ExchangeResult, type HttpRequest } from './exchange.js'
import { TargetClock } from './target-clock.js'

/** Timeout in milliseconds of requests whose reply does not wait for a task to end. */
export const targetReplyTimeoutMs = 1_000

/** Outcome of a start request on its own connection. */
export type StartReply =
  | { readonly kind: 'ended', readonly end: TaskEnd }
  | { readonly kind: 'refused', readonly reason: RefusalReason }
  | { readonly kind: 'not-sent', readonly message: string }
  /** No valid reply was received, but the target may have received the start request. */
  | { readonly kind: 'unclear', readonly message: string }

/** Outcome of a query or deletion of a task. */
export type TaskReply =
  | { readonly kind: 'state', readonly boot: string, readonly task: TaskState }
  | { readonly kind: 'no-answer', readonly message: string }

export interface StartExchange {
  readonly result: Promise<StartReply>
  readonly abort: (message: string) => void
}

export interface TargetHttpClientOptions {
  readonly clock: Clock
  readonly observer: ExchangeObserver
  /** Maximum number of connections from this instance to the target. */
  readonly maxConnections: number
  /** Called with the fields about the target that every reply has. */
  readonly onReply: (targetId: string, reply: TargetReply) => void
}

/** HTTP client of one target. */
export class TargetHttpClient {
  readonly target: TargetDescription
  readonly clock = new TargetClock()
  readonly #options: TargetHttpClientOptions
  readonly #pool: ConnectionPool
  #pendingPoll: Promise<boolean> | undefined

  constructor (target: TargetDescription, options: TargetHttpClientOptions) {
    this.target = target
    this.#options = options
    const maxConnections = options.maxConnections
    this.#pool = new ConnectionPool({ address: target.address, maxConnections, reservedConnections: maxConnections >= 4 ? 2 : maxConnections >= 2 ? 1 : 0 })
  }

  /**
   * Sends a request to start a task; the target replies when the task ends.
   *
   * @param taskId - id of the attempt
   * @param body - the task and the conditions of its start
   * @param sendTimeoutMs - time in milliseconds after which the request is no longer sent
   * @param replyTimeoutMs - time in milliseconds after which the attempt has certainly ended
   * @param traceparent - W3C trace context to forward
   */
  sendStart (taskId: string, body: StartTask, sendTimeoutMs: number, replyTimeoutMs: number, traceparent?: string): StartExchange {
    const headers: Record<string, string> = traceparent === undefined ? {} : { traceparent }
    const exchange = this.#send('start', { method: 'POST', path: formatTaskPath(taskId), headers, body: JSON.stringify(body) }, { sendTimeoutMs, replyTimeoutMs })
    return { result: exchange.result.then(result => this.#parseStartReply(result)), abort: exchange.abort }
  }

  /**
   * Queries the state of a task on a new connection.
   *
   * @returns the state, or `no-answer` with the reason
   */
  async queryTask (taskId: string): Promise<TaskReply> {
    return await this.#requestTask('query', { method: 'GET', path: formatTaskPath(taskId) })
  }

  /**
   * Deletes a task: the target never starts it if it has not seen it yet, and stops it if it is running.
   *
   * @returns the state after the deletion, or `no-answer` with the reason
   */
  async deleteTask (taskId: string): Promise<TaskReply> {
    return await this.#requestTask('delete', { method: 'DELETE', path: formatTaskPath(taskId) })
  }

  /**
   * Asks the target to stop tasks.
   *
   * @returns the boot id and the states in the order of the ids, or undefined without a valid reply
   */
  async cancelTasks (taskIds: readonly string[]): Promise<{ readonly boot: string, readonly tasks: readonly TaskState[] } | undefined> {
    const request: HttpRequest = { method: 'POST', path: '/cancellations', body: JSON.stringify({ ids: taskIds }) }
    const reply = this.#parseReply(cancellationsReplySchema, await this.#send('cancel', request, { replyTimeoutMs: targetReplyTimeoutMs, needsNewConnection: true }).result)
    return reply !== undefined && reply.tasks.length === taskIds.length ? reply : undefined
  }

  /**
   * Fetches the status, which contains the boot id and a clock reading. Concurrent calls share one request.
   *
   * @returns whether the target sent a valid reply
   */
  async pollStatus (): Promise<boolean> {
    this.#pendingPoll ??= this.#fetchStatus().finally(() => { this.#pendingPoll = undefined })
    return await this.#pendingPoll
  }

  async #fetchStatus (): Promise<boolean> {
    const exchange = this.#send('status', { method: 'GET', path: '/status' }, { replyTimeoutMs: targetReplyTimeoutMs, needsNewConnection: true })
    return this.#parseReply(targetStatusSchema, await exchange.result) !== undefined
  }

  /**
   * Tells whether a query would have to wait for a connection.
   *
   * @returns true when all connections are in use
   */
  hasAllConnectionsBusy (): boolean {
    return this.#pool.hasAllConnectionsBusy()
  }

  /**
   * Tells whether no request is in progress or queued.
   *
   * @returns true when the client can be closed without losing a reply
   */
  isIdle (): boolean {
    return this.#pool.isIdle()
  }

  async close (): Promise<void> {
    await this.#pool.close()
  }

  #send (operation: string, request: HttpRequest, options: SendOptions): Exchange {
    const exchange = this.#pool.send(request, options)
    const result = exchange.result.then(result => {
      this.#options.observer.observeExchange('target', operation, result.kind)
      return result
    })
    return { result, abort: exchange.abort }
  }

  async #requestTask (operation: string, request: HttpRequest): Promise<TaskReply> {
    const result = await this.#send(operation, request, { replyTimeoutMs: targetReplyTimeoutMs, needsNewConnection: true }).result
    const reply = this.#parseReply(taskStateReplySchema, result)
    if (reply !== undefined) return { kind: 'state', boot: reply.boot, task: reply.task }
    return { kind: 'no-answer', message: describeFailure(result) }
  }

  #parseStartReply (result: ExchangeResult): StartReply {
    if (result.kind === 'not-sent') return result
    const reply = this.#parseReply(startTaskReplySchema, result)
    if (reply === undefined) return { kind: 'unclear', message: describeFailure(result) }
    return 'end' in reply ? { kind: 'ended', end: reply.end } : { kind: 'refused', reason: reply.refused }
  }

  #parseReply<T extends TargetReply> (schema: { safeParse: (value: unknown) => { success: true, data: T } | { success: false } }, result: ExchangeResult): T | undefined {
    if (result.kind !== 'replied') return undefined
    let value: unknown
    try {
      value = JSON.parse(result.text)
    } catch {
      return undefined
    }
    const replyFields = targetReplySchema.safeParse(value)
    if (!replyFields.success) return undefined
    this.clock.recordReply(replyFields.data, this.#options.clock.now())
    this.#options.onReply(this.target.id, replyFields.data)
    const parsed = schema.safeParse(value)
    return parsed.success ? parsed.data : undefined
  }
}

function formatTaskPath (taskId: string): string {
  return `/tasks/${encodeURIComponent(taskId)}`
}

function describeFailure (result: ExchangeResult): string {
  return result.kind === 'replied' ? `unexpected reply with status ${result.status}` : result.message
}
