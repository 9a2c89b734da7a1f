import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createOwner, FakeConnection, spec } from './owner-fixture.js'

describe('JobOwner', () => {
  it('reports a found job to each of two callers that cancel it at the same time', async () => {
    const clock = new ManualClock()
    const home = new FakeConnection('a')
    const owner = createOwner(clock, [home])
    const replies = Promise.all([owner.cancel(spec.id, 1_000), owner.cancel(spec.id, 1_000)])
    owner.onDispatcherMessage(home.asConnection(), { type: 'cancelled-any', jobId: spec.id, found: true })
    owner.onDispatcherMessage(home.asConnection(), { type: 'cancelled-any', jobId: spec.id, found: false })
    await clock.advance(1_100)
    assert.deepEqual(await replies, ['cancelled', 'cancelled'])
    owner.close()
  })

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
