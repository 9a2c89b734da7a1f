import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

/**
 * The evidence "every target was polled" is kept for the life of a dispatcher. Guards against its use
 * for a job that is resubmitted after a further target has joined that has not answered yet: an earlier
 * dispatcher that no polled target has fenced may have started the task there.
 */
describe('a dispatcher that has polled all targets', () => {
  it('keeps a resubmitted task unlocated while a target that joined later has not answered', async () => {
    const clock = new ManualClock()
    const [polled, joined] = [new FakeTarget('t'), new FakeTarget('u')]
    const dispatcher = createDispatcher(clock, [polled, joined])
    const owner = new FakeOwnerConnection('owner')
    dispatcher.addOwner(owner)
    dispatcher.updateTargets([polled.info])
    await clock.advance(100)
    joined.isReachable = false
    dispatcher.updateTargets([polled.info, joined.info])
    await clock.advance(100)
    dispatcher.enqueueMessage(owner, { type: 'submit', job: createJob('5c0e7a21d94b36f8'), ageMs: 500, resubmitted: true, quietInMs: 1_800, done: [] })
    await clock.advance(100)
    dispatcher.stop()
    assert.equal(polled.starts.length, 0, 'the task was started 1,700 ms before its earlier run must have ended')
  })
})
