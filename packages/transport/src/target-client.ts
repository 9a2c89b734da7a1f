import { type AttemptOrder, type AttemptResult, AttemptRunner, type Clock } from '@sesamereel/coordination'
import { type TargetReply } from '@sesamereel/protocol'
import { type TargetDescription } from '@sesamereel/state'
import { AttemptExecution } from './attempt-execution.js'
import { type ExchangeObserver } from './exchange-observer.js'
import { TargetHttpClient } from './target-http-client.js'

/** Time in milliseconds without a reply after which a target is polled. */
export const pollAfterSilenceMs = 10_000

/** Interval in milliseconds between checks for targets that must be polled. */
const pollCheckIntervalMs = 1_000

/** Maximum number of tries of one cancellation; if all fail, the tasks end when their lease expires at the latest. */
const maxCancelTries = 2

export interface TargetClientOptions {
  readonly clock: Clock
  readonly observer: ExchangeObserver
  /** Number of seats in this failure domain; each gets an equal share of a target's connections. */
  readonly domainSeatCount: number
  /** Called with the fields about the target that every reply has. */
  readonly onReply: (targetId: string, reply: TargetReply) => void
}

/** Runs attempts at the targets of this failure domain over HTTP. */
export class TargetClient extends AttemptRunner {
  readonly #options: TargetClientOptions
  readonly #clients = new Map<string, TargetHttpClient>()
  readonly #executions = new Map<string, AttemptExecution>()
  readonly #pollingIds = new Set<string>()
  /** Clients of removed or replaced targets, which attempts may still be using. */
  readonly #retiredClients = new Set<TargetHttpClient>()
  #stopPollTimer: (() => void) | undefined

  constructor (options: TargetClientOptions) {
    super()
    this.#options = options
  }

  /**
   * Starts polling targets that have sent no reply recently.
   */
  start (): void {
    if (this.#stopPollTimer !== undefined) return
    this.#stopPollTimer = this.#options.clock.startTimer(pollCheckIntervalMs, () => {
      this.#stopPollTimer = undefined
      this.#pollSilentTargets()
      this.start()
    })
  }

  /**
   * Stops polling and closes all connections.
   */
  async stop (): Promise<void> {
    this.#stopPollTimer?.()
    this.#stopPollTimer = undefined
    await Promise.allSettled([...this.#clients.values(), ...this.#retiredClients].map(async client => { await client.close() }))
    this.#clients.clear()
    this.#retiredClients.clear()
  }

  /**
   * Replaces the set of known targets. Attempts at a removed target continue to their end.
   *
   * @param targets - targets of this failure domain
   */
  applyTargets (targets: readonly TargetDescription[]): void {
    const listed = new Set(targets.map(target => target.id))
    for (const [id, client] of this.#clients) {
      if (listed.has(id)) continue
      this.#clients.delete(id)
      this.#retiredClients.add(client)
    }
    for (const target of targets) {
      const known = this.#clients.get(target.id)
      if (known !== undefined && known.target.address === target.address && known.target.connections === target.connections) continue
      if (known !== undefined) this.#retiredClients.add(known)
      this.#clients.set(target.id, this.#createClient(target))
      this.#poll(target.id)
    }
  }

  override startAttempt (order: AttemptOrder, onResult: (result: AttemptResult) => void): void {
    const client = this.#clients.get(order.targetId)
    if (client === undefined) {
      setImmediate(() => { onResult({ kind: 'not-started', reason: 'no-connection' }) })
      return
    }
    const execution = new AttemptExecution(order, client, this.#options.clock, result => {
      this.#executions.delete(order.taskId)
      setImmediate(() => { onResult(result) })
    })
    this.#executions.set(order.taskId, execution)
    execution.run().catch((error: unknown) => { process.emitWarning(error instanceof Error ? error : String(error)) })
  }

  override cancelAttempts (targetId: string, taskIds: readonly string[]): void {
    const client = this.#clients.get(targetId)
    for (const id of taskIds) this.#executions.get(id)?.markCancelled()
    if (client === undefined || taskIds.length === 0) return
    this.#cancel(client, taskIds).catch((error: unknown) => { process.emitWarning(error instanceof Error ? error : String(error)) })
  }

  async #cancel (client: TargetHttpClient, taskIds: readonly string[]): Promise<void> {
    for (let tries = 0; tries < maxCancelTries; tries++) {
      const ids = taskIds.filter(id => this.#executions.has(id))
      if (ids.length === 0) return
      const reply = await client.cancelTasks(ids)
      if (reply === undefined) continue
      for (const [index, task] of reply.tasks.entries()) this.#executions.get(ids[index]!)?.handleCancellationReply(reply.boot, task)
      return
    }
  }

  #createClient (target: TargetDescription): TargetHttpClient {
    const connectionShare = Math.ceil(target.connections / this.#options.domainSeatCount) - 1
    return new TargetHttpClient(target, {
      clock: this.#options.clock,
      observer: this.#options.observer,
      maxConnections: Math.max(1, connectionShare),
      onReply: this.#options.onReply
    })
  }

  #pollSilentTargets (): void {
    const now = this.#options.clock.now()
    for (const [id, client] of this.#clients) {
      if (client.clock.computeReadingAgeMs(now) >= pollAfterSilenceMs) this.#poll(id)
    }
    for (const client of this.#retiredClients) {
      if (this.#executions.size > 0 || !client.isIdle()) continue
      this.#retiredClients.delete(client)
      client.close().catch(() => {})
    }
  }

  #poll (id: string): void {
    const client = this.#clients.get(id)
    if (client === undefined || this.#pollingIds.has(id)) return
    this.#pollingIds.add(id)
    client.pollStatus().finally(() => { this.#pollingIds.delete(id) }).catch(() => {})
  }
}
