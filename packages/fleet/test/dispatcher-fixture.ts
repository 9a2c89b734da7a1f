import { ManualClock } from '@sesamereel/coordination'
import { defaultFleetLimits, Dispatcher, type DispatcherMessage, type DispatcherOptions, type EndedEntry, type JobSpec, NoopLog, NoopMetrics, type PollReply, type PollRequest, type RunningEntry, type StartOrder, type StartReply, type StopOrder, type StopReply, TargetConnection, TargetConnector, type TargetInfo } from '../src/index.js'
import { OwnerConnection } from '../src/owner-registry.js'

const noAnswer = { kind: 'no-answer', message: 'no reply' } as const

/** Round-trip time in milliseconds to a fake target. */
const roundTripMs = 1

/** A target of which the test sets what it answers; it records the orders that reach it, and its runs progress by 1 % a poll. */
export class FakeTarget {
  readonly info: TargetInfo
  readonly starts: StartOrder[] = []
  readonly stops: StopOrder[] = []
  /** Latest end of a lease that an order or a poll has requested, on the target's clock. */
  leaseEndsAt = 0
  running: RunningEntry[] = []
  ended: EndedEntry[] = []
  pollCount = 0
  bornMs = 1
  isReachable = true
  answersStarts = true
  /** Time in milliseconds after which the target carries a start order out and answers it. */
  answerDelayMs = roundTripMs
  answersStops = true
  /** Clock of the test at which the target's clock was 0. */
  startedAt = 0

  constructor (id: string, address = id) {
    this.info = { id, address, service: 's', domain: 'a', draining: false, capacity: { processors: 32_000, memoryMb: 1_024, accelerators: 0 }, labels: [], revision: 1 }
  }
}

/** Ends all runs at a target with `done`. */
export function endRuns (target: FakeTarget): void {
  for (const { task, attempt } of target.running) target.ended.push({ number: target.ended.length + 1, task, attempt, how: 'done' })
  target.running = []
}

class FakeTargetConnection extends TargetConnection {
  readonly #target: FakeTarget
  readonly #clock: ManualClock

  constructor (target: FakeTarget, clock: ManualClock) {
    super()
    this.#target = target
    this.#clock = clock
  }

  override async start (order: StartOrder, timeoutMs: number, onLateReply: (reply: StartReply) => void = () => {}): Promise<StartReply> {
    this.#target.starts.push(order)
    if (this.#target.answerDelayMs <= timeoutMs) return await this.#execute(order, timeoutMs)
    this.#clock.startTimer(this.#target.answerDelayMs, () => { this.#execute(order, timeoutMs).then(onLateReply, () => {}) })
    return await this.#resolveAfter(timeoutMs, noAnswer)
  }

  async #execute (order: StartOrder, timeoutMs: number): Promise<StartReply> {
    this.#target.leaseEndsAt = Math.max(this.#target.leaseEndsAt, order.deadlineMs)
    if (!this.#target.isReachable || !this.#target.answersStarts) return await this.#resolveAfter(timeoutMs, noAnswer)
    if (this.#target.ended.some(end => end.task === order.task && end.attempt >= order.attempt)) return await this.#resolveAfter(roundTripMs, { kind: 'rejected', reason: 'old' })
    this.#target.running.push({ task: order.task, attempt: order.attempt, percent: 1 })
    return await this.#resolveAfter(roundTripMs, { kind: 'accepted' })
  }

  override async stop (order: StopOrder, timeoutMs: number): Promise<StopReply> {
    if (!this.#target.isReachable || !this.#target.answersStops) return await this.#resolveAfter(timeoutMs, noAnswer)
    this.#target.stops.push(order)
    return await this.#resolveAfter(roundTripMs, { kind: 'accepted' })
  }

  override async poll (request: PollRequest, timeoutMs: number): Promise<PollReply> {
    if (!this.#target.isReachable) return await this.#resolveAfter(timeoutMs, noAnswer)
    this.#target.leaseEndsAt = Math.max(this.#target.leaseEndsAt, request.leaseUntil ?? 0)
    this.#target.pollCount++
    await this.#resolveAfter(Math.max(request.waitMs, roundTripMs), undefined)
    const { startedAt, bornMs } = this.#target
    const running = this.#target.running.map(entry => ({ ...entry, percent: Math.min(99, entry.percent + 1) }))
    this.#target.running = running
    return { kind: 'view', view: { clockMs: Math.floor(this.#clock.now() - startedAt), bornMs, running: [...running], ended: this.#target.ended.filter(end => end.number > request.lastSeenEnd) } }
  }

  override close (): void {}

  async #resolveAfter<T> (ms: number, value: T): Promise<T> {
    return await new Promise(resolve => { this.#clock.startTimer(ms, () => { resolve(value) }) })
  }
}

class FakeConnector extends TargetConnector {
  readonly #targets: readonly FakeTarget[]
  readonly #clock: ManualClock

  constructor (targets: readonly FakeTarget[], clock: ManualClock) {
    super()
    this.#targets = targets
    this.#clock = clock
  }

  override connect (info: TargetInfo): TargetConnection {
    return new FakeTargetConnection(this.#targets.find(target => target.info.address === info.address)!, this.#clock)
  }
}

/** An owner's connection that records the messages to it. */
export class FakeOwnerConnection extends OwnerConnection {
  override readonly ownerId: string
  override readonly sequence: number
  readonly received: DispatcherMessage[] = []

  constructor (ownerId: string, sequence = 0) {
    super()
    this.ownerId = ownerId
    this.sequence = sequence
  }

  override send (message: DispatcherMessage): void { this.received.push(message) }
}

/** A dispatcher with a complete list of targets, on a manual clock. */
export function createDispatcher (clock: ManualClock, targets: readonly FakeTarget[], measureListAgeMs = (): number => 0, options: Partial<DispatcherOptions> = {}): Dispatcher {
  return new Dispatcher({
    domain: 'a',
    token: 16,
    clock,
    limits: defaultFleetLimits,
    connector: new FakeConnector(targets, clock),
    log: new NoopLog(),
    metrics: new NoopMetrics(),
    remoteFactor: 1,
    isListComplete: () => true,
    measureListAgeMs,
    onSuperseded: () => {},
    ...options
  })
}

/** @returns a job of one task */
export function createJob (id: string): JobSpec {
  return { id, service: 's', payload: '', steps: [{ count: 1, demand: { processors: 1_000, memoryMb: 1, accelerators: 0 }, estimateMs: 3_000, after: [] }], priority: 0, maxAttempts: 3, objectiveMs: 5_000, usefulMs: 15_000 }
}
