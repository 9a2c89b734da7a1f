import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { flushMicrotasks, ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

/** Length in milliseconds of the pause: the owner has submitted the job elsewhere after 2,300 ms. */
const pauseMs = 3_000

/**
 * A dispatcher that was paused reads the submissions that waited in its sockets. Guards against
 * starting their tasks before the target has answered after the pause: a successor that could not poll
 * this target has not fenced it, and the job's owner may have submitted the job elsewhere.
 */
describe('a dispatcher that was paused', () => {
  it('starts no task at a target that has not answered since the pause', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const owner = new FakeOwnerConnection('owner')
    dispatcher.addOwner(owner)
    dispatcher.updateTargets([target.info])
    await clock.advance(500)
    dispatcher.enqueueMessage(owner, { type: 'submit', job: createJob('5c0e7a21d94b36f8'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
    clock.time += pauseMs
    // Handles the message only; no timer is run, so no answer of the target arrives.
    await flushMicrotasks()
    const lastViewAt = dispatcher.listSessions()[0]!.lastViewAt
    dispatcher.stop()
    assert.equal(target.starts.length, 0, `started ${Math.round(clock.now() - lastViewAt)} ms after the target's last view`)
  })
})
