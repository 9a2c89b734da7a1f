import { type ManualClock } from '@sesamereel/coordination'
import { defaultFleetLimits, type DispatcherConnection, type DomainDrains, JobOwner, type JobSpec, type LoadSummary, type OwnerMessage, NoopLog, NoopMetrics } from '../src/index.js'

const load: LoadSummary = { freeProcessors: 100_000, usableProcessors: 100_000, waitMs: 0, queuedJobs: 0, largestFree: 32_000 }

export const spec: JobSpec = { id: '5c0e7a21d94b36f8', service: 's', payload: '', steps: [{ count: 1, demand: { processors: 1_000, memoryMb: 1, accelerators: 0 }, estimateMs: 3_000, after: [] }], priority: 0, maxAttempts: 1, objectiveMs: 5_000, usefulMs: 15_000 }

/** Implements the members of a connection that a job owner uses. */
export class FakeConnection {
  isConnected = true
  lostMs = 0
  lingering = ''
  readonly sent: OwnerMessage[] = []
  readonly token = 16
  readonly load = load
  readonly domain: string

  constructor (domain: string) {
    this.domain = domain
  }

  isLingering (jobId: string): boolean { return jobId === this.lingering }
  measureLostMs (): number { return this.lostMs }
  measureQuietMs (): number { return 0 }
  measureListAgeMs (): number { return 0 }
  reserveProcessors (): void {}
  send (message: OwnerMessage): void { this.sent.push(message) }

  asConnection (): DispatcherConnection { return this as unknown as DispatcherConnection }
}

/** Creates an owner whose home domain is `a`. */
export function createOwner (clock: ManualClock, connections: readonly FakeConnection[], drains?: DomainDrains): JobOwner {
  const owner = new JobOwner({ homeDomain: 'a', clock, limits: defaultFleetLimits, log: new NoopLog(), metrics: new NoopMetrics(), ...(drains === undefined ? {} : { drains }) }, () => {})
  for (const connection of connections) owner.addConnection(connection.asConnection())
  return owner
}
