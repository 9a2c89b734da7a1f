import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

/**
 * An owner submits all its jobs again when it has connected anew, before it answers the welcome. Guards against the
 * start of a job that it did not submit again, while the dispatcher has not noticed the end of the earlier connection.
 */
describe('a job that its owner does not submit again on its newer connection', () => {
  it('is not started while the earlier connection counts as open', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    target.isReachable = false
    const dispatcher = createDispatcher(clock, [target])
    dispatcher.updateTargets([target.info])
    const [earlier, newer] = [new FakeOwnerConnection('owner', 1), new FakeOwnerConnection('owner', 2)]
    dispatcher.addOwner(earlier)
    dispatcher.enqueueMessage(earlier, { type: 'submit', job: createJob('5c0e7a21d94b36f8'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [], submissionId: 1 })
    await clock.advance(50)
    assert.deepEqual(earlier.received.map(message => message.type), ['welcome'])
    dispatcher.addOwner(newer)
    target.isReachable = true
    for (let round = 0; round < 10; round++) {
      dispatcher.enqueueMessage(newer, { type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: clock.now() })
      await clock.advance(50)
    }
    dispatcher.stop()
    assert.equal(target.starts.length, 0)
  })
})
