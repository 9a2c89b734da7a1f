import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { type AttemptOrder, type AttemptResult, AttemptRunner, createPlacement, Dispatcher, LoanChannel, type LoanGrant, type LoanRequest, SystemClock } from '@sesamereel/coordination'
import { type Configuration, type ResourceVector, type TargetDescription } from '@sesamereel/state'

setFlagsFromString('--expose_gc')
const collectGarbage = runInNewContext('gc') as () => void

/**
 * Measures the memory in use after garbage collection.
 *
 * @returns bytes of live heap objects and external memory such as buffers
 */
export function measureHeapBytes (): number {
  collectGarbage()
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/**
 * Measures the processor time that a synchronous function uses.
 *
 * @returns microseconds of user and system time
 */
export function measureCpuMicros (work: () => void): number {
  const before = process.cpuUsage()
  work()
  const { user, system } = process.cpuUsage(before)
  return user + system
}

/** Attempt runner that only ends attempts when `finishAll` is called. */
export class ManualAttemptRunner extends AttemptRunner {
  private readonly pendingReports: Array<(result: AttemptResult) => void> = []

  override startAttempt (_order: AttemptOrder, report: (result: AttemptResult) => void): void {
    this.pendingReports.push(report)
  }

  override cancelAttempts (): void {}

  /** Reports success for all open attempts. */
  finishAll (): void {
    for (const report of this.pendingReports.splice(0)) report({ kind: 'succeeded', result: null, runMs: 1 })
  }
}

/** Loan channel that grants every request an amount of zero. */
class EmptyLoanChannel extends LoanChannel {
  override async borrow (_peer: string, requests: readonly LoanRequest[]): Promise<readonly LoanGrant[]> {
    return requests.map(({ loanId }) => ({ loanId, amount: { processors: 0, memoryMb: 0, accelerators: 0, parallel: 0 }, termMs: 1 }))
  }

  override returnLoans (): void {}
}

/** A dispatcher without a network, and the runner that ends its attempts. */
export interface DispatcherFixture {
  readonly dispatcher: Dispatcher
  readonly runner: ManualAttemptRunner
}

/**
 * Creates a dispatcher that holds seat 0 of the only domain.
 *
 * @param seats - number of seats that the domain has in the topology
 */
export function createDispatcherFixture (seats = 1): DispatcherFixture {
  const runner = new ManualAttemptRunner()
  const dispatcher = new Dispatcher({
    identity: { domain: 'gent-1', seat: 0, incarnation: 'capacity0' },
    topology: { domains: [{ name: 'gent-1', seats }] },
    clock: new SystemClock(),
    runner,
    loans: new EmptyLoanChannel(),
    placement: createPlacement('default', () => 0.5),
    random: () => 0.5,
    isShareUsable: () => true
  })
  return { dispatcher, runner }
}

const limit: ResourceVector = { processors: 1e8, memoryMb: 1e8, accelerators: 1_000, parallel: 1e6 }

/**
 * Creates a configuration with a separate plan for each customer.
 *
 * @param customers - number of customers
 * @param version - configuration version; changes the limits too
 */
export function createConfiguration (customers: number, version: number): Configuration {
  const names = Array.from({ length: customers }, (_, i) => `team-${i}`)
  return {
    version,
    editId: `edit-${version}`,
    plans: Object.fromEntries(names.map(name => [name, `plan-${name}`])),
    limits: Object.fromEntries(names.map(name => [`plan-${name}`, { ...limit, parallel: limit.parallel + version }]))
  }
}

/**
 * Creates descriptions of live targets, like those of the records register.
 *
 * @param count - number of targets
 */
export function createTargets (count: number): readonly TargetDescription[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `target-${i}`, address: `127.0.0.1:${10_000 + i}`, domain: 'gent-1', state: 'live', slots: 8, connections: 60, capacity: { processors: 30_000, memoryMb: 130_000, accelerators: 2 }
  }))
}

/**
 * Submits jobs of customer `team-0`. Their attempts stay open until the runner finishes them.
 *
 * @param jobs - number of jobs
 * @param tasksPerJob - tasks in each job
 * @throws Error when the dispatcher refuses the keys or a job
 */
export function submitJobs (dispatcher: Dispatcher, jobs: number, tasksPerJob: number): void {
  for (let i = 0; i < jobs; i++) {
    const issued = dispatcher.issueKeys('team-0', 1)
    if (issued.kind === 'refused') throw new Error(issued.error.message)
    const tasks = Array.from({ length: tasksPerJob }, (_, index) => ({ kind: 'lookup', payload: { record: index }, demand: { processors: 1_000, memoryMb: 100, accelerators: 0 }, expectedMs: 100, timeoutMs: 10_000 }))
    const reply = dispatcher.submit({ key: issued.keys[0]!, customer: 'team-0', repeatable: false, tasks }, 'a'.repeat(64))
    if (reply.kind !== 'accepted') throw new Error(JSON.stringify(reply))
  }
}
