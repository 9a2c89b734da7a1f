import { type AttemptOrder, type AttemptResult, type Clock } from '@sesamereel/coordination'
import { type TaskEnd, type TaskState } from '@sesamereel/protocol'
import { type StartExchange, type StartReply, type TargetHttpClient } from './target-http-client.js'

/** Initial and longest interval in milliseconds between two queries for one attempt; it doubles after each query. */
const queryIntervalMs = { initial: 250, longest: 1_000 }

/**
 * Time in milliseconds added to the latest possible end of an attempt before its result is reported
 * as unknown. It covers the drift between two clocks (1.4%) over the start window and the longest lease.
 */
export const attemptEndMarginMs = 200

/**
 * Runs one attempt at a target until its result is certain (docs/design.md, section 4.1). It sends the
 * start request, queries the task on a new connection when the reply is late or the connection breaks,
 * and deletes a task that the target has not seen, so that a delayed start request can't start it.
 */
export class AttemptExecution {
  readonly #order: AttemptOrder
  readonly #targetClient: TargetHttpClient
  readonly #clock: Clock
  readonly #onResult: (result: AttemptResult) => void
  readonly #latestEndAt: number
  readonly #pendingTimers = new Set<() => void>()
  #bootId = ''
  #startExchange: StartExchange | undefined
  #isResolving = false
  #isSettled = false
  #isCancelled = false

  constructor (order: AttemptOrder, targetClient: TargetHttpClient, clock: Clock, onResult: (result: AttemptResult) => void) {
    this.#order = order
    this.#targetClient = targetClient
    this.#clock = clock
    this.#onResult = onResult
    this.#latestEndAt = order.startDeadline + order.task.timeoutMs + attemptEndMarginMs
  }

  /**
   * Sends the start request and handles its reply. Resolves once the start request has been answered,
   * has failed or can't be sent; the result of the attempt may be reported later.
   */
  async run (): Promise<void> {
    const { task, startDeadline, taskId } = this.#order
    let now = this.#clock.now()
    if (this.#targetClient.clock.convertDeadline(startDeadline, now) === undefined) {
      await this.#targetClient.pollStatus()
      now = this.#clock.now()
    }
    const targetDeadline = this.#targetClient.clock.convertDeadline(startDeadline, now)
    if (this.#isCancelled) return this.#settle({ kind: 'not-started', reason: 'deleted' })
    if (now >= startDeadline) return this.#settle({ kind: 'not-started', reason: 'late' })
    if (targetDeadline === undefined) return this.#settle({ kind: 'not-started', reason: 'no-connection' })
    this.#bootId = targetDeadline.boot
    const body = { customer: this.#order.customer, kind: task.kind, payload: task.payload, demand: task.demand, boot: targetDeadline.boot, startBy: targetDeadline.startBy, leaseMs: task.timeoutMs }
    const start = this.#targetClient.sendStart(taskId, body, startDeadline - now, this.#latestEndAt - now, this.#order.traceparent)
    this.#startExchange = start
    this.#startTimer(this.#order.lateAfterMs, () => { this.#startResolving(false) })
    this.#handleStartReply(await start.result)
  }

  /**
   * Marks the attempt as cancelled, so that `run` doesn't create a start request any more.
   * A start request that is queued for a connection or was sent is not affected.
   */
  markCancelled (): void {
    this.#isCancelled = true
  }

  /**
   * Handles the state of the task that the target reports in its reply to a cancellation.
   *
   * @param boot - boot id of the target in the reply
   * @param task - state of the task after the cancellation
   */
  handleCancellationReply (boot: string, task: TaskState): void {
    // A restarted target has no record of tasks started before the restart; a query settles those.
    if (this.#bootId !== '' && boot !== this.#bootId) this.#startResolving(false)
    else if (task.state === 'not-seen') this.#settle({ kind: 'not-started', reason: 'deleted' })
    else if (task.state === 'ended') this.#settle(convertTaskEnd(task.end))
  }

  #handleStartReply (reply: StartReply): void {
    if (this.#isSettled) return
    if (reply.kind === 'ended') this.#settle(this.#classifyEnd(reply.end))
    else if (reply.kind === 'refused') this.#settle({ kind: 'not-started', reason: reply.reason })
    else if (reply.kind === 'not-sent') this.#settle({ kind: 'not-started', reason: this.#isCancelled ? 'deleted' : 'no-connection' })
    else this.#startResolving(true)
  }

  #startResolving (connectionBroken: boolean): void {
    if (this.#isSettled) return
    // When all connections are busy, the query would wait for the connection of this start request.
    if (!connectionBroken && this.#targetClient.hasAllConnectionsBusy()) this.#startExchange?.abort('closed to query the task on a new connection')
    if (this.#isResolving) return
    this.#isResolving = true
    this.#queryUntilResolved().catch((error: unknown) => {
      this.#settleUnknownAtLatestEnd(error instanceof Error ? error.message : String(error))
    })
  }

  async #queryUntilResolved (): Promise<void> {
    let intervalMs = queryIntervalMs.initial
    let message = 'the target did not answer a query for the task'
    while (!this.#isSettled) {
      if (this.#clock.now() >= this.#latestEndAt) return this.#settle({ kind: 'unknown', message })
      let reply = await this.#targetClient.queryTask(this.#order.taskId)
      if (this.#isSettled) return
      if (reply.kind === 'state' && reply.boot === this.#bootId && reply.task.state === 'not-seen') {
        this.#startExchange?.abort('the target has not seen the task')
        reply = await this.#targetClient.deleteTask(this.#order.taskId)
        if (this.#isSettled) return
      }
      if (reply.kind === 'no-answer') {
        message = reply.message
      } else if (reply.boot !== this.#bootId) {
        return this.#settle({ kind: 'unknown', message: `the target restarted, boot id ${reply.boot} instead of ${this.#bootId}` })
      } else if (reply.task.state === 'not-seen') {
        return this.#settle({ kind: 'not-started', reason: 'not-seen' })
      } else if (reply.task.state === 'ended') {
        return this.#settle(this.#classifyEnd(reply.task.end))
      }
      await this.#sleep(Math.min(intervalMs, Math.max(0, this.#latestEndAt - this.#clock.now())))
      intervalMs = Math.min(intervalMs * 2, queryIntervalMs.longest)
    }
  }

  /** Converts the end of the task. A task that ended as cancelled without a cancellation of its job was stopped by the deletion. */
  #classifyEnd (end: TaskEnd): AttemptResult {
    if (end.outcome === 'cancelled' && !this.#isCancelled) return { kind: 'unknown', message: 'the target stopped the task before it finished' }
    return convertTaskEnd(end)
  }

  #settleUnknownAtLatestEnd (message: string): void {
    this.#startTimer(Math.max(0, this.#latestEndAt - this.#clock.now()), () => { this.#settle({ kind: 'unknown', message }) })
  }

  #settle (result: AttemptResult): void {
    if (this.#isSettled) return
    this.#isSettled = true
    for (const stopTimer of this.#pendingTimers) stopTimer()
    this.#pendingTimers.clear()
    // Does nothing if the exchange has already ended.
    this.#startExchange?.abort('the attempt has ended')
    this.#onResult(result)
  }

  #startTimer (delayMs: number, callback: () => void): void {
    const stopTimer = this.#clock.startTimer(delayMs, () => {
      this.#pendingTimers.delete(stopTimer)
      callback()
    })
    this.#pendingTimers.add(stopTimer)
  }

  async #sleep (delayMs: number): Promise<void> {
    await new Promise<void>(resolve => { this.#clock.startTimer(delayMs, resolve) })
  }
}

/**
 * Converts the end of a task to the result of its attempt.
 */
export function convertTaskEnd (end: TaskEnd): AttemptResult {
  switch (end.outcome) {
    case 'succeeded': return { kind: 'succeeded', result: end.result, runMs: end.runMs }
    case 'failed': return { kind: 'failed', message: end.message, runMs: end.runMs }
    default: return { kind: end.outcome, runMs: end.runMs }
  }
}
