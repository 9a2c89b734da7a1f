import { type Configuration, type JobSpec, type ResourceVector, type TargetDescription, type TaskSpec, type Topology } from '@sesamereel/state'
import { type AttemptOrder, type AttemptResult, AttemptRunner, createPlacement, Dispatcher, type DispatcherOptions, LoanChannel, type LoanGrant, type LoanRequest, ManualClock as FakeClock, type PlacementName, flushMicrotasks } from '../src/index.js'

export { FakeClock, flushMicrotasks }

/** Result that a fake target reports for a start, and the delay in milliseconds after which it does. */
export interface ScriptedResult {
  readonly delayMs: number
  readonly result: AttemptResult
}

export const succeed: ScriptedResult = { delayMs: 100, result: { kind: 'succeeded', result: 'ok', runMs: 100 } }

/** Runner that records all orders and reports the results that `decide` returns; without one, the attempt keeps running. */
export class FakeRunner extends AttemptRunner {
  readonly orders: AttemptOrder[] = []
  readonly running = new Map<string, AttemptOrder>()
  readonly cancellations: Array<{ targetId: string, taskIds: readonly string[] }> = []
  private readonly reports = new Map<string, (result: AttemptResult) => void>()

  constructor (private readonly clock: FakeClock, public decide: (order: AttemptOrder) => ScriptedResult | undefined = () => succeed) {
    super()
  }

  override startAttempt (order: AttemptOrder, report: (result: AttemptResult) => void): void {
    this.orders.push(order)
    this.running.set(order.taskId, order)
    this.reports.set(order.taskId, report)
    const behaviour = this.decide(order)
    if (behaviour !== undefined) this.clock.startTimer(behaviour.delayMs, () => { this.finish(order.taskId, behaviour.result) })
  }

  override cancelAttempts (targetId: string, taskIds: readonly string[]): void {
    this.cancellations.push({ targetId, taskIds })
  }

  /** Reports the result of a running attempt; does nothing when it has already ended. */
  finish (taskId: string, result: AttemptResult): void {
    if (!this.running.delete(taskId)) return
    this.reports.get(taskId)!(result)
  }
}

/** Connects dispatchers in memory, without latency; messages over a cut link fail. */
export class FakeNetwork {
  readonly dispatchers = new Map<string, Dispatcher>()
  isCut: (from: string, to: string) => boolean = () => false

  createChannel (self: string): LoanChannel {
    return new FakeChannel(this, self)
  }
}

class FakeChannel extends LoanChannel {
  constructor (private readonly network: FakeNetwork, private readonly self: string) {
    super()
  }

  override async borrow (peer: string, requests: readonly LoanRequest[]): Promise<readonly LoanGrant[]> {
    await Promise.resolve()
    if (this.network.isCut(this.self, peer)) throw new Error(`no connection to ${peer}`)
    const grants = this.network.dispatchers.get(peer)!.handleBorrow(this.self, requests)
    await Promise.resolve()
    if (this.network.isCut(peer, this.self)) throw new Error(`reply of ${peer} lost`)
    return grants
  }

  override returnLoans (peer: string, loanIds: readonly string[]): void {
    if (!this.network.isCut(this.self, peer)) this.network.dispatchers.get(peer)?.handleReturn(this.self, loanIds)
  }
}

export function createTask (changes: Partial<TaskSpec> = {}): TaskSpec {
  return { kind: 'lookup', payload: null, demand: { processors: 1000, memoryMb: 100, accelerators: 0 }, expectedMs: 100, timeoutMs: 10_000, ...changes }
}

export function createTarget (id: string, changes: Partial<TargetDescription> = {}): TargetDescription {
  return { id, address: '127.0.0.1:1', domain: 'gent-1', state: 'live', slots: 8, connections: 60, capacity: { processors: 30_000, memoryMb: 130_000, accelerators: 1 }, ...changes }
}

export const wideLimit: ResourceVector = { processors: 100_000, memoryMb: 100_000, accelerators: 10, parallel: 100 }

export function createConfiguration (version: number, limits: Readonly<Record<string, ResourceVector>>): Configuration {
  return { version, editId: `edit-${version}`, plans: Object.fromEntries(Object.keys(limits).map(name => [name, name])), limits }
}

/** A dispatcher with fake dependencies, and helpers for common steps. */
export class DispatcherFixture {
  readonly runner: FakeRunner
  readonly dispatcher: Dispatcher
  isShareUsable = true
  /** Time before which the share is not usable, as for the successor of a seat in its quarantine. */
  usableFrom = 0

  constructor (readonly clock = new FakeClock(), network = new FakeNetwork(), seat = 0, seats = 1, placement: PlacementName = 'default', changes: Partial<DispatcherOptions> = {}) {
    const topology: Topology = { domains: [{ name: 'gent-1', seats }] }
    this.runner = new FakeRunner(clock)
    const random = createRandom(seat + 1)
    this.dispatcher = new Dispatcher({
      identity: { domain: 'gent-1', seat, incarnation: `k3j9x2a${seat}` },
      topology,
      clock,
      runner: this.runner,
      loans: network.createChannel(`gent-1.${seat}`),
      placement: createPlacement(placement, random),
      random,
      isShareUsable: () => this.isShareUsable && clock.time >= this.usableFrom,
      ...changes
    })
    network.dispatchers.set(`gent-1.${seat}`, this.dispatcher)
    this.dispatcher.applyConfiguration(createConfiguration(1, { kalibra: wideLimit }))
    this.dispatcher.applyTargets([createTarget('t1'), createTarget('t2')])
  }

  createJob (tasks: readonly TaskSpec[], changes: Partial<JobSpec> = {}): JobSpec {
    const customer = changes.customer ?? 'kalibra'
    const issued = this.dispatcher.issueKeys(customer, 1)
    if (issued.kind === 'refused') throw new Error(issued.error.message)
    return { key: issued.keys[0]!, customer, repeatable: false, tasks, ...changes }
  }

  /**
   * Submits a new job.
   *
   * @returns its key
   */
  submit (tasks: readonly TaskSpec[], changes: Partial<JobSpec> = {}): string {
    const spec = this.createJob(tasks, changes)
    const reply = this.dispatcher.submit(spec, 'hash')
    if (reply.kind !== 'accepted') throw new Error(JSON.stringify(reply))
    return spec.key
  }

  /** @returns the state of a job, the code of its failure, or the name of the error that a fetch returns */
  describeJob (key: string, customer = 'kalibra'): string | number {
    const reply = this.dispatcher.fetch(key, customer)
    if (reply.kind === 'refused') return reply.error.name
    return reply.state.state === 'failed' ? reply.state.failure.code : reply.state.state
  }
}

/** Creates a seeded source of pseudo-random numbers from 0 (inclusive) to 1 (exclusive). */
export function createRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return state / 2 ** 32
  }
}
