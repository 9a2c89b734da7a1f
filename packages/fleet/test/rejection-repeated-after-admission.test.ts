import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

const submission = { type: 'submit', job: createJob('5c0e7a21d94b36f8'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] } as const

/**
 * A caller whose job was rejected sends it again later, and it starts. Guards against repeating the rejection to its owner
 * when that submits the job again after a lost connection: the caller would be told that the job has not run.
 */
describe('the rejection of a job that was admitted later', () => {
  it('is not repeated', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const connection = new FakeOwnerConnection('owner', 1)
    dispatcher.addOwner(connection)
    dispatcher.enqueueMessage(connection, { ...submission, submissionId: 1 })
    await clock.advance(10)
    assert.equal(connection.received.some(message => message.type === 'rejected'), true)
    dispatcher.updateTargets([target.info])
    await clock.advance(100)
    dispatcher.enqueueMessage(connection, { ...submission, submissionId: 2 })
    await clock.advance(100)
    assert.equal(target.starts.length, 1)
    dispatcher.removeOwner(connection)
    await clock.advance(1_000)
    target.running = []
    await clock.advance(500)
    const reconnected = new FakeOwnerConnection('owner', 2)
    dispatcher.addOwner(reconnected)
    dispatcher.enqueueMessage(reconnected, { ...submission, resubmitted: true, submissionId: 3 })
    await clock.advance(100)
    dispatcher.stop()
    assert.deepEqual(reconnected.received.filter(message => message.type === 'rejected'), [])
  })
})
