import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { flushMicrotasks, ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'
import { createOwner, FakeConnection, spec } from './owner-fixture.js'

const jobId = '5c0e7a21d94b36f8'

/** Guards against a job that moves to another domain although a task of it has started where it was. */
describe('a withdrawal that crosses the start of a task', () => {
  it('is not confirmed by the dispatcher, whichever owner sends it', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const [first, second] = [new FakeOwnerConnection('first', 1), new FakeOwnerConnection('second', 1)]
    for (const owner of [first, second]) dispatcher.addOwner(owner)
    dispatcher.updateTargets([target.info])
    await clock.advance(20)
    const submission = { type: 'submit', job: createJob(jobId), ageMs: 0, resubmitted: false, quietInMs: 0, done: [], submissionId: 1 } as const
    dispatcher.enqueueMessage(first, submission)
    await flushMicrotasks()
    dispatcher.enqueueMessage(first, { type: 'withdraw', jobId, submissionId: 1 })
    dispatcher.enqueueMessage(second, submission)
    dispatcher.enqueueMessage(second, { type: 'withdraw', jobId, submissionId: 1 })
    await clock.advance(100)
    dispatcher.stop()
    assert.equal(target.starts.length, 1)
    assert.deepEqual([...first.received, ...second.received].filter(message => message.type === 'withdrawn'), [])
  })

  it('leaves the job where it is until the dispatcher ends it, also after a reconnection', async () => {
    const clock = new ManualClock()
    const [home, other] = [new FakeConnection('a'), new FakeConnection('b')]
    const owner = createOwner(clock, [home, other])
    const { answer } = owner.submit(spec, 20_000)
    await clock.advance(20)
    owner.onLoadChanged(other.asConnection())
    assert.deepEqual(home.sent.map(message => message.type), ['submit', 'withdraw'])
    owner.onDispatcherMessage(home.asConnection(), { type: 'started', jobIds: [jobId] })
    owner.onDisconnected(home.asConnection())
    owner.onConnected(home.asConnection())
    // The confirmation of the withdrawal of the first submission comes too late.
    owner.onDispatcherMessage(home.asConnection(), { type: 'withdrawn', jobId, submissionId: 1 })
    assert.deepEqual(other.sent, [])
    owner.onDispatcherMessage(home.asConnection(), { type: 'ended', jobId, outcome: { kind: 'completed' }, submissionId: 2 })
    assert.equal((await answer).kind, 'completed')
    owner.close()
  })
})
