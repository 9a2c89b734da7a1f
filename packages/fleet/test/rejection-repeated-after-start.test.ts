import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

/**
 * A rejection is repeated to an owner that submits its job again, as proof that no task has started. Guards against
 * one that is older than a later submission of the job, which was admitted and started.
 */
describe('a rejection that was recorded before the job was admitted', () => {
  it('is not repeated after a task of the job has started', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const owner = new FakeOwnerConnection('owner', 1)
    dispatcher.addOwner(owner)
    const submission = { type: 'submit', job: createJob('5c0e7a21d94b36f8'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] } as const
    // Rejected, as no target is known yet.
    dispatcher.enqueueMessage(owner, { ...submission, submissionId: 1 })
    await clock.advance(10)
    dispatcher.updateTargets([target.info])
    await clock.advance(100)
    dispatcher.enqueueMessage(owner, { ...submission, submissionId: 2 })
    await clock.advance(50)
    assert.deepEqual(owner.received.map(message => message.type), ['welcome', 'rejected', 'started'])
    // The owner is lost for so long that the dispatcher drops the job, and its run ends.
    dispatcher.removeOwner(owner)
    await clock.advance(600)
    assert.equal(target.stops.length, 1)
    target.running = []
    await clock.advance(300)
    const reconnected = new FakeOwnerConnection('owner', 2)
    dispatcher.addOwner(reconnected)
    dispatcher.enqueueMessage(reconnected, { ...submission, resubmitted: true, submissionId: 3 })
    await clock.advance(100)
    dispatcher.stop()
    assert.ok(!reconnected.received.some(message => message.type === 'rejected'), 'the job is rejected as not started')
  })
})
