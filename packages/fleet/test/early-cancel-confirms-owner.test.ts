import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { flushMicrotasks, ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

/** Time in milliseconds for which the dispatcher handles nothing. */
const pauseMs = 3_000

/**
 * An owner may send a cancellation before it has received the welcome. Guards against a paused
 * dispatcher that reads it after the end of the owner, takes it for a sign of life, and starts the
 * owner's queued jobs beside their repeats.
 */
describe('a cancellation that was sent before the welcome', () => {
  it('is no sign of life of its owner', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const first = new FakeOwnerConnection('owner')
    dispatcher.addOwner(first)
    const draining = { ...target.info, draining: true }
    dispatcher.updateTargets([draining])
    await clock.advance(100)
    dispatcher.enqueueMessage(first, { type: 'submit', job: createJob('5c0e7a21d94b36f8'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
    await clock.advance(10)
    clock.time += pauseMs
    // What waited in the sockets: the end of the first connection, a second one, and a cancellation on it.
    dispatcher.removeOwner(first)
    const second = new FakeOwnerConnection('owner')
    dispatcher.addOwner(second)
    dispatcher.enqueueMessage(second, { type: 'cancel', jobId: 'aaaaaaaaaaaaaaaa', reason: 'the caller has left' })
    dispatcher.updateTargets([target.info])
    await flushMicrotasks()
    dispatcher.stop()
    assert.equal(target.starts.length, 0)
  })
})
