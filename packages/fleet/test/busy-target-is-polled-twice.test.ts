import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

/** Length in milliseconds of the time in which polls are counted, and the longest wait for a view of a target with a long run. */
const periodMs = 1_000
const maxViewAgeMs = 100

// Guards against a long poll of a busy target that waits longer than its view may age, so that a second poll runs beside it again and again.
describe('a target with a long run', () => {
  it('is polled once in the time that its view may age', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const owner = new FakeOwnerConnection('owner')
    dispatcher.addOwner(owner)
    dispatcher.updateTargets([target.info])
    await clock.advance(20)
    dispatcher.enqueueMessage(owner, { type: 'submit', ageMs: 0, resubmitted: false, quietInMs: 0, done: [], job: createJob('aaaaaaaaaaaaaaaa') })
    await clock.advance(500)
    const before = target.pollCount
    await clock.advance(periodMs)
    const count = target.pollCount - before
    dispatcher.stop()
    assert.ok(count >= periodMs / maxViewAgeMs && count <= periodMs / maxViewAgeMs + 2, `${count} polls`)
  })
})
