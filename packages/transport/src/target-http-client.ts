import { type Clock } from '@sesamereel/coordination'
import { cancellationsReplySchema, type StartTask, startTaskReplySchema, targetReplySchema, targetStatusSchema, type TargetReply, taskStateReplySchema, type TaskState, type TaskEnd, type RefusalReason } from '@sesamereel/protocol'
import { type TargetDescription } from '@sesamereel/state'
import { ConnectionPool, type SendOptions } from './connection-pool.js'
import { type ExchangeObserver } from './exchange-observer.js'
import { type Exchange, type ExchangeResult, type HttpRequest } from './exchange.js'
import { TargetClock } from './target-clock.js'

/** Time in milliseconds that a target has for a reply that needs no task to end. */
export const targetReplyTimeoutMs = 1_000

/** How a start ended as seen on its own connection. */
export type StartReply =
  | { readonly kind: 'ended', readonly end: TaskEnd }
  | { readonly kind: 'refused', readonly reason: RefusalReason }
  | { readonly kind: 'not-sent', readonly message: string }
  /** No usable reply, although the target may have received the start. */
  | { readonly kind: 'unclear', readonly message: string }

/** Answer to a query or deletion. */
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
  /** Connections that this instance may have to the target. */
  readonly maxConnections: number
  /** Receives what every reply says about the target. */
  readonly onReply: (targetId: string, reply: TargetReply) => void
}

/** The messages to one target. */
export class TargetHttpClient {
  readonly target: TargetDescription
  readonly clock = new TargetClock()
  readonly #options: TargetHttpClientOptions
  readonly #pool: ConnectionPool
  #poll: Promise<boolean> | undefined

  constructor (target: TargetDescription, options: TargetHttpClientOptions) {
    this.target = target
    this.#options = options
    const max = options.maxConnections
    this.#pool = new ConnectionPool({ address: target.address, maxConnections: max, reservedConnections: max >= 4 ? 2 : max >= 2 ? 1 : 0 })
  }

  /**
   * Sends the start of a task.
   *
   * @param taskId - id of the attempt
   * @param body - what to start
   * @param sendByMs - time in milliseconds from now after which the start is no longer sent
   * @param deadlineMs - time in milliseconds from now until the attempt has ended for certain
   * @returns the exchange
   */
  sendStart (taskId: string, body: StartTask, sendByMs: number, deadlineMs: number, traceparent?: string): StartExchange {
    const headers: Record<string, string> = traceparent === undefined ? {} : { traceparent }
    const exchange = this.#send('start', { method: 'POST', path: formatTaskPath(taskId), headers, body: JSON.stringify(body) }, { sendTimeoutMs: sendByMs, replyTimeoutMs: deadlineMs })
    return { result: exchange.result.then(result => this.#readStart(result)), abort: exchange.abort }
  }

  /**
   * Asks for the state of a task on a new connection.
   *
   * @returns the state, or that no answer came
   */
  async queryTask (taskId: string): Promise<TaskReply> {
    return await this.#askTask('query', { method: 'GET', path: formatTaskPath(taskId) })
  }

  /**
   * Makes sure that a task that the target has not seen is never started there.
   *
   * @returns the state after the deletion, or that no answer came
   */
  async deleteTask (taskId: string): Promise<TaskReply> {
    return await this.#askTask('delete', { method: 'DELETE', path: formatTaskPath(taskId) })
  }

  /**
   * Asks the target to stop tasks.
   *
   * @returns boot id and states in the order of the ids, or undefined without an answer
   */
  async cancelTasks (taskIds: readonly string[]): Promise<{ readonly boot: string, readonly tasks: readonly TaskState[] } | undefined> {
    const request: HttpRequest = { method: 'POST', path: '/cancellations', body: JSON.stringify({ ids: taskIds }) }
    const reply = this.#parse(cancellationsReplySchema, await this.#send('cancel', request, { replyTimeoutMs: targetReplyTimeoutMs, needsNewConnection: true }).result)
    return reply !== undefined && reply.tasks.length === taskIds.length ? reply : undefined
  }

  /**
   * Reads the status, which carries the boot id and a clock reading. Polls at the same time share one message.
   *
   * @returns whether the target answered
   */
  async pollStatus (): Promise<boolean> {
    this.#poll ??= this.#pullStatus().finally(() => { this.#poll = undefined })
    return await this.#poll
  }

  async #pullStatus (): Promise<boolean> {
    const exchange = this.#send('status', { method: 'GET', path: '/status' }, { replyTimeoutMs: targetReplyTimeoutMs, needsNewConnection: true })
    return this.#parse(targetStatusSchema, await exchange.result) !== undefined
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
   * Tells whether no request is under way.
   *
   * @returns true when the link can be closed without the loss of a reply
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

  async #askTask (operation: string, request: HttpRequest): Promise<TaskReply> {
    const result = await this.#send(operation, request, { replyTimeoutMs: targetReplyTimeoutMs, needsNewConnection: true }).result
    const reply = this.#parse(taskStateReplySchema, result)
    if (reply !== undefined) return { kind: 'state', boot: reply.boot, task: reply.task }
    return { kind: 'no-answer', message: describeResult(result) }
  }

  #readStart (result: ExchangeResult): StartReply {
    if (result.kind === 'not-sent') return result
    const reply = this.#parse(startTaskReplySchema, result)
    if (reply === undefined) return { kind: 'unclear', message: describeResult(result) }
    return 'end' in reply ? { kind: 'ended', end: reply.end } : { kind: 'refused', reason: reply.refused }
  }

  #parse<T extends TargetReply> (schema: { safeParse: (value: unknown) => { success: true, data: T } | { success: false } }, result: ExchangeResult): T | undefined {
    if (result.kind !== 'replied') return undefined
    let value: unknown
    try {
      value = JSON.parse(result.text)
    } catch {
      return undefined
    }
    const common = targetReplySchema.safeParse(value)
    if (!common.success) return undefined
    this.clock.recordReply(common.data, this.#options.clock.now())
    this.#options.onReply(this.target.id, common.data)
    const parsed = schema.safeParse(value)
    return parsed.success ? parsed.data : undefined
  }
}

function formatTaskPath (taskId: string): string {
  return `/tasks/${encodeURIComponent(taskId)}`
}

function describeResult (result: ExchangeResult): string {
  return result.kind === 'replied' ? `unexpected reply with status ${result.status}` : result.message
}
