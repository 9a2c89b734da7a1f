import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { defaultFleetLimits, type DispatcherConnection, JobOwner, type JobSpec, type LoadSummary, type OwnerMessage, NoopLog, NoopMetrics } from '../src/index.js'

const load: LoadSummary = { freeProcessors: 100_000, usableProcessors: 100_000, waitMs: 0, queuedJobs: 0, largestFree: 32_000 }

const spec: JobSpec = { id: '5c0e7a21d94b36f8', service: 's', payload: '', steps: [{ count: 1, demand: { processors: 1_000, memoryMb: 1, accelerators: 0 }, estimateMs: 3_000, after: [] }], priority: 0, maxAttempts: 1, objectiveMs: 5_000, usefulMs: 15_000 }

/** Implements the members of a connection that a job owner uses. */
class FakeConnection {
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
  reserveProcessors (): void {}
  send (message: OwnerMessage): void { this.sent.push(message) }

  asConnection (): DispatcherConnection { return this as unknown as DispatcherConnection }
}

function createOwner (clock: ManualClock, connections: readonly FakeConnection[]): JobOwner {
  const owner = new JobOwner({ homeDomain: 'a', clock, limits: defaultFleetLimits, log: new NoopLog(), metrics: new NoopMetrics() }, () => {})
  for (const connection of connections) owner.addConnection(connection.asConnection())
  return owner
}

describe('JobOwner', () => {
  it('answers "unknown", not "rejected", if a lost dispatcher may have started the job and all others have rejected it', async () => {
    const clock = new ManualClock()
    const [home, other] = [new FakeConnection('a'), new FakeConnection('b')]
    const owner = createOwner(clock, [home, other])
    const { answer } = owner.submit(spec, 20_000)
    owner.onDispatcherMessage(home.asConnection(), { type: 'rejected', jobId: spec.id, reason: 'overloaded', retryAfterMs: 100 })
    owner.onDispatcherMessage(other.asConnection(), { type: 'started', jobIds: [spec.id] })
    other.isConnected = false
    other.lostMs = 2_400
    owner.onDisconnected(other.asConnection())
    await clock.advance(60)
    assert.equal((await answer).kind, 'unknown')
    owner.close()
  })

  it('submits a job only once to a dispatcher that rejects it, even if the dispatcher reports the job as lingering', async () => {
    const clock = new ManualClock()
    const home = new FakeConnection('a')
    home.lingering = spec.id
    const other = new FakeConnection('b')
    const owner = createOwner(clock, [home, other])
    const { answer } = owner.submit(spec, 20_000)
    for (const connection of [home, other]) owner.onDispatcherMessage(connection.asConnection(), { type: 'rejected', jobId: spec.id, reason: 'overloaded', retryAfterMs: 100 })
    assert.deepEqual(await answer, { kind: 'rejected', reason: 'overloaded', retryAfterMs: 100 })
    assert.equal(home.sent.length + other.sent.length, 2)
    owner.close()
  })
})
