import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

const jobId = '5c0e7a21d94b36f8'

const submission = { type: 'submit', job: createJob(jobId), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] } as const

/**
 * A caller whose job was rejected sends it again, and it runs. Guards against telling its owner after a reconnection
 * that no task of it has started, because the earlier rejection is still on record.
 */
describe('a job that was rejected once and has run since', () => {
  it('is not rejected as one that never ran when its owner submits it again', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const first = new FakeOwnerConnection('owner', 1)
    dispatcher.addOwner(first)
    await clock.advance(100)
    // No target is listed yet.
    dispatcher.enqueueMessage(first, { ...submission, submissionId: 1 })
    await clock.advance(10)
    assert.equal(first.received.some(message => message.type === 'rejected'), true)
    dispatcher.updateTargets([target.info])
    await clock.advance(50)
    dispatcher.enqueueMessage(first, { type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: clock.now() })
    dispatcher.enqueueMessage(first, { ...submission, submissionId: 2 })
    await clock.advance(50)
    assert.equal(target.starts.length, 1)
    // The owner is away for longer than its grace time; its run ends meanwhile.
    dispatcher.removeOwner(first)
    await clock.advance(600)
    target.running = []
    await clock.advance(1_000)
    const second = new FakeOwnerConnection('owner', 2)
    dispatcher.addOwner(second)
    dispatcher.enqueueMessage(second, { ...submission, submissionId: 3, resubmitted: true, ageMs: 1_700 })
    await clock.advance(50)
    dispatcher.stop()
    assert.deepEqual(second.received.filter(message => message.type === 'rejected'), [])
  })
})
