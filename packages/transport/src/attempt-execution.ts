import { type AttemptOrder, type AttemptResult, type Clock } from '@sesamereel/coordination'
import { type TaskEnd, type TaskState } from '@sesamereel/protocol'
import { type StartExchange, type StartReply, type TargetHttpClient } from './target-http-client.js'

/** Shortest and longest pause in milliseconds between two queries for one attempt. */
const queryPauseMs = { first: 250, most: 1_000 }

/**
 * Added to the latest end of an attempt before it is reported as unknown: covers the drift of
 * two clocks (1.4%) over the start window and the longest lease.
 */
export const attemptEndMarginMs = 200

/**
 * Follows one attempt until its result is proven (docs/design.md, section 4.1): sends the start,
 * queries on a new connection when the reply is late or the connection broke, and deletes a task
 * that the target has not seen.
 */
export class AttemptExecution {
  readonly #order: AttemptOrder
  readonly #link: TargetHttpClient
  readonly #clock: Clock
  readonly #report: (result: AttemptResult) => void
  readonly #latestEnd: number
  readonly #timers = new Set<() => void>()
  #boot = ''
  #start: StartExchange | undefined
  #resolving = false
  #settled = false
  #cancelled = false

  constructor (order: AttemptOrder, link: TargetHttpClient, clock: Clock, report: (result: AttemptResult) => void) {
    this.#order = order
    this.#link = link
    this.#clock = clock
    this.#report = report
    this.#latestEnd = order.startDeadline + order.task.timeoutMs + attemptEndMarginMs
  }

  /**
   * Sends the start and follows it; returns when the start is on its way or can't be sent.
   */
  async run (): Promise<void> {
    const { task, startDeadline, taskId } = this.#order
    let now = this.#clock.now()
    if (this.#link.clock.convertDeadline(startDeadline, now) === undefined) {
      await this.#link.pollStatus()
      now = this.#clock.now()
    }
    const converted = this.#link.clock.convertDeadline(startDeadline, now)
    if (this.#cancelled) return this.#settle({ kind: 'not-started', reason: 'deleted' })
    if (now >= startDeadline) return this.#settle({ kind: 'not-started', reason: 'late' })
    if (converted === undefined) return this.#settle({ kind: 'not-started', reason: 'no-connection' })
    this.#boot = converted.boot
    const body = { customer: this.#order.customer, kind: task.kind, payload: task.payload, demand: task.demand, boot: converted.boot, startBy: converted.startBy, leaseMs: task.timeoutMs }
    const start = this.#link.sendStart(taskId, body, startDeadline - now, this.#latestEnd - now, this.#order.traceparent)
    this.#start = start
    this.#schedule(this.#order.lateAfterMs, () => { this.#beginResolve(false) })
    this.#handleStartReply(await start.result)
  }

  /**
   * Ends a start that is still waiting for a connection; nothing happens to one that was sent.
   */
  markCancelled (): void {
    this.#cancelled = true
  }

  /**
   * Takes the state that the target gave in reply to a cancellation.
   *
   * @param boot - boot id in the reply
   * @param task - state after the cancellation
   */
  acceptCancellation (boot: string, task: TaskState): void {
    // A restarted target knows nothing of tasks that it started before; the query settles those.
    if (this.#boot !== '' && boot !== this.#boot) this.#beginResolve(false)
    else if (task.state === 'not-seen') this.#settle({ kind: 'not-started', reason: 'deleted' })
    else if (task.state === 'ended') this.#settle(convertTaskEnd(task.end))
  }

  #handleStartReply (reply: StartReply): void {
    if (this.#settled) return
    if (reply.kind === 'ended') this.#settle(this.#judgeEnd(reply.end))
    else if (reply.kind === 'refused') this.#settle({ kind: 'not-started', reason: reply.reason })
    else if (reply.kind === 'not-sent') this.#settle({ kind: 'not-started', reason: this.#cancelled ? 'deleted' : 'no-connection' })
    else this.#beginResolve(true)
  }

  #beginResolve (connectionBroken: boolean): void {
    if (this.#settled) return
    // Without a free connection the query would wait for this very start.
    if (!connectionBroken && this.#link.hasAllConnectionsBusy()) this.#start?.abort('closed to query the task on a new connection')
    if (this.#resolving) return
    this.#resolving = true
    this.#resolve().catch((error: unknown) => {
      this.#settleAtEnd(error instanceof Error ? error.message : String(error))
    })
  }

  async #resolve (): Promise<void> {
    let pauseMs = queryPauseMs.first
    let message = 'no answer about the task'
    while (!this.#settled) {
      if (this.#clock.now() >= this.#latestEnd) return this.#settle({ kind: 'unknown', message })
      let reply = await this.#link.queryTask(this.#order.taskId)
      if (this.#settled) return
      if (reply.kind === 'state' && reply.boot === this.#boot && reply.task.state === 'not-seen') {
        this.#start?.abort('the target has not seen the task')
        reply = await this.#link.deleteTask(this.#order.taskId)
        if (this.#settled) return
      }
      if (reply.kind === 'no-answer') {
        message = reply.message
      } else if (reply.boot !== this.#boot) {
        return this.#settle({ kind: 'unknown', message: `the target restarted, boot id ${reply.boot} instead of ${this.#boot}` })
      } else if (reply.task.state === 'not-seen') {
        return this.#settle({ kind: 'not-started', reason: 'not-seen' })
      } else if (reply.task.state === 'ended') {
        return this.#settle(this.#judgeEnd(reply.task.end))
      }
      await this.#wait(Math.min(pauseMs, Math.max(0, this.#latestEnd - this.#clock.now())))
      pauseMs = Math.min(pauseMs * 2, queryPauseMs.most)
    }
  }

  /** A task that ended as cancelled although nobody cancelled its job was stopped by the deletion. */
  #judgeEnd (end: TaskEnd): AttemptResult {
    if (end.outcome === 'cancelled' && !this.#cancelled) return { kind: 'unknown', message: 'the target stopped the task before its end' }
    return convertTaskEnd(end)
  }

  #settleAtEnd (message: string): void {
    this.#schedule(Math.max(0, this.#latestEnd - this.#clock.now()), () => { this.#settle({ kind: 'unknown', message }) })
  }

  #settle (result: AttemptResult): void {
    if (this.#settled) return
    this.#settled = true
    for (const stop of this.#timers) stop()
    this.#timers.clear()
    // Has no effect on an exchange that has ended.
    this.#start?.abort('the attempt has ended')
    this.#report(result)
  }

  #schedule (delayMs: number, callback: () => void): void {
    const stop = this.#clock.startTimer(delayMs, () => {
      this.#timers.delete(stop)
      callback()
    })
    this.#timers.add(stop)
  }

  async #wait (delayMs: number): Promise<void> {
    await new Promise<void>(resolve => { this.#clock.startTimer(delayMs, resolve) })
  }
}

/**
 * Converts how a task ended to the result of its attempt.
 *
 * @returns the result
 */
export function convertTaskEnd (end: TaskEnd): AttemptResult {
  switch (end.outcome) {
    case 'succeeded': return { kind: 'succeeded', result: end.result, runMs: end.runMs }
    case 'failed': return { kind: 'failed', message: end.message, runMs: end.runMs }
    default: return { kind: end.outcome, runMs: end.runMs }
  }
}
