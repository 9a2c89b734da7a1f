import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

const jobId = '5c0e7a21d94b36f8'

const submission = { type: 'submit', job: createJob(jobId), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] } as const

/**
 * A caller may cancel a job through any instance, and is told that it was found. Guards against starting the job again
 * for its owner, who isn't told and submits it again on its next connection.
 */
describe('a job that was cancelled through another instance', () => {
  it('does not start again when its owner reconnects', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const [owner, other] = [new FakeOwnerConnection('owner', 1), new FakeOwnerConnection('other', 1)]
    dispatcher.addOwner(owner)
    dispatcher.addOwner(other)
    dispatcher.updateTargets([target.info])
    await clock.advance(100)
    dispatcher.enqueueMessage(owner, { ...submission, submissionId: 1 })
    await clock.advance(50)
    assert.equal(target.starts.length, 1)
    dispatcher.enqueueMessage(other, { type: 'cancel-any', jobId })
    await clock.advance(10)
    target.running = []
    await clock.advance(300)
    const reconnected = new FakeOwnerConnection('owner', 2)
    dispatcher.addOwner(reconnected)
    dispatcher.enqueueMessage(reconnected, { ...submission, submissionId: 2, resubmitted: true, ageMs: 460 })
    await clock.advance(100)
    // The caller is told once the owners have received the record.
    assert.equal(other.received.some(message => message.type === 'cancelled-any'), false)
    for (const connection of [reconnected, other]) dispatcher.enqueueMessage(connection, { type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: clock.now() })
    await clock.advance(1_000)
    assert.equal(other.received.some(message => message.type === 'cancelled-any' && message.found), true)
    dispatcher.stop()
    assert.equal(target.starts.length, 1, 'the cancelled job was started again')
  })
})
