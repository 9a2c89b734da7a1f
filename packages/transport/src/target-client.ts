import { type AttemptOrder, type AttemptResult, AttemptRunner, type Clock } from '@sesamereel/coordination'
import { type TargetReply } from '@sesamereel/protocol'
import { type TargetDescription } from '@sesamereel/state'
import { AttemptExecution } from './attempt-execution.js'
import { type ExchangeObserver } from './exchange-observer.js'
import { TargetHttpClient } from './target-http-client.js'

/** A target that sent no reply for this time in milliseconds is polled. */
export const pollAfterSilenceMs = 10_000

/** Pause in milliseconds between looks for targets that must be polled. */
const pollCheckMs = 1_000

/** Tries of one cancellation; after the last one the tasks end by their lease at the latest. */
const cancelTries = 2

export interface TargetClientOptions {
  readonly clock: Clock
  readonly observer: ExchangeObserver
  /** Seats of the own failure domain; each gets an equal part of a target's connections. */
  readonly domainSeatCount: number
  /** Receives what every reply says about its target. */
  readonly onReply: (targetId: string, reply: TargetReply) => void
}

/** Carries attempts to the targets of the own failure domain. */
export class TargetClient extends AttemptRunner {
  readonly #options: TargetClientOptions
  readonly #links = new Map<string, TargetHttpClient>()
  readonly #runs = new Map<string, AttemptExecution>()
  readonly #polling = new Set<string>()
  /** Links to dropped targets, through which attempts may still be followed. */
  readonly #retired = new Set<TargetHttpClient>()
  #stopTimer: (() => void) | undefined

  constructor (options: TargetClientOptions) {
    super()
    this.#options = options
  }

  /**
   * Begins to poll targets that send no replies.
   */
  start (): void {
    if (this.#stopTimer !== undefined) return
    this.#stopTimer = this.#options.clock.startTimer(pollCheckMs, () => {
      this.#stopTimer = undefined
      this.#pollSilent()
      this.start()
    })
  }

  /**
   * Stops polling and closes all connections.
   */
  async stop (): Promise<void> {
    this.#stopTimer?.()
    this.#stopTimer = undefined
    await Promise.allSettled([...this.#links.values(), ...this.#retired].map(async link => { await link.close() }))
    this.#links.clear()
    this.#retired.clear()
  }

  /**
   * Replaces the set of known targets. Attempts at a target that was dropped are followed to their end.
   *
   * @param targets - targets of the own failure domain
   */
  applyTargets (targets: readonly TargetDescription[]): void {
    const listed = new Set(targets.map(target => target.id))
    for (const [id, link] of this.#links) {
      if (listed.has(id)) continue
      this.#links.delete(id)
      this.#retired.add(link)
    }
    for (const target of targets) {
      const known = this.#links.get(target.id)
      if (known !== undefined && known.target.address === target.address && known.target.connections === target.connections) continue
      if (known !== undefined) this.#retired.add(known)
      this.#links.set(target.id, this.#createLink(target))
      this.#poll(target.id)
    }
  }

  override startAttempt (order: AttemptOrder, report: (result: AttemptResult) => void): void {
    const link = this.#links.get(order.targetId)
    if (link === undefined) {
      setImmediate(() => { report({ kind: 'not-started', reason: 'no-connection' }) })
      return
    }
    const run = new AttemptExecution(order, link, this.#options.clock, result => {
      this.#runs.delete(order.taskId)
      setImmediate(() => { report(result) })
    })
    this.#runs.set(order.taskId, run)
    run.run().catch((error: unknown) => { process.emitWarning(error instanceof Error ? error : String(error)) })
  }

  override cancelAttempts (targetId: string, taskIds: readonly string[]): void {
    const link = this.#links.get(targetId)
    for (const id of taskIds) this.#runs.get(id)?.markCancelled()
    if (link === undefined || taskIds.length === 0) return
    this.#cancel(link, taskIds).catch((error: unknown) => { process.emitWarning(error instanceof Error ? error : String(error)) })
  }

  async #cancel (link: TargetHttpClient, taskIds: readonly string[]): Promise<void> {
    for (let tries = 0; tries < cancelTries; tries++) {
      const ids = taskIds.filter(id => this.#runs.has(id))
      if (ids.length === 0) return
      const reply = await link.cancelTasks(ids)
      if (reply === undefined) continue
      for (const [index, task] of reply.tasks.entries()) this.#runs.get(ids[index]!)?.acceptCancellation(reply.boot, task)
      return
    }
  }

  #createLink (target: TargetDescription): TargetHttpClient {
    const share = Math.ceil(target.connections / this.#options.domainSeatCount) - 1
    return new TargetHttpClient(target, {
      clock: this.#options.clock,
      observer: this.#options.observer,
      maxConnections: Math.max(1, share),
      onReply: this.#options.onReply
    })
  }

  #pollSilent (): void {
    const now = this.#options.clock.now()
    for (const [id, link] of this.#links) {
      if (link.clock.computeReadingAgeMs(now) >= pollAfterSilenceMs) this.#poll(id)
    }
    for (const link of this.#retired) {
      if (this.#runs.size > 0 || !link.isIdle()) continue
      this.#retired.delete(link)
      link.close().catch(() => {})
    }
  }

  #poll (id: string): void {
    const link = this.#links.get(id)
    if (link === undefined || this.#polling.has(id)) return
    this.#polling.add(id)
    link.pollStatus().finally(() => { this.#polling.delete(id) }).catch(() => {})
  }
}
