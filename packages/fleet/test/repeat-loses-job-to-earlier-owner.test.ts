import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

const jobId = '5c0e7a21d94b36f8'

const submission = { type: 'submit', job: createJob(jobId), ageMs: 0, resubmitted: false, quietInMs: 0, done: [], submissionId: 1 } as const

/**
 * A caller repeats its job through a second instance, which is attached to it. Guards against the first one, which
 * doesn't know yet that its caller has left, taking the job back with a reconnection: the cancellation of the
 * second one is then ignored, and the run goes on beside the next repeat.
 */
describe('the earlier owner of a repeated job', () => {
  it('does not take the job back when it reconnects', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const [earlier, later] = [new FakeOwnerConnection('earlier', 1), new FakeOwnerConnection('later', 1)]
    dispatcher.addOwner(earlier)
    dispatcher.addOwner(later)
    dispatcher.updateTargets([target.info])
    await clock.advance(100)
    dispatcher.enqueueMessage(earlier, submission)
    await clock.advance(1_000)
    dispatcher.enqueueMessage(later, { ...submission, submissionId: 7 })
    await clock.advance(100)
    const reconnected = new FakeOwnerConnection('earlier', 2)
    dispatcher.addOwner(reconnected)
    dispatcher.enqueueMessage(reconnected, { ...submission, submissionId: 2, resubmitted: true, ageMs: 1_100 })
    await clock.advance(20)
    dispatcher.enqueueMessage(later, { type: 'cancel', jobId, reason: 'the caller has left', submissionId: 7 })
    await clock.advance(20)
    dispatcher.stop()
    assert.equal(target.stops.length, 1, 'the run was not stopped')
    assert.deepEqual(reconnected.received.filter(message => message.type === 'ended').map(({ submissionId, outcome }) => ({ submissionId, kind: outcome.kind })), [{ submissionId: 2, kind: 'unknown' }])
  })
})

/**
 * Guards against running a job for an owner whose caller has left, after the owner of the repeat has withdrawn it and
 * submitted it to another domain.
 */
describe('a repeated job that its later owner has withdrawn', () => {
  it('is not started for the earlier owner', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const [earlier, later] = [new FakeOwnerConnection('earlier', 1), new FakeOwnerConnection('later', 1)]
    dispatcher.addOwner(earlier)
    dispatcher.addOwner(later)
    const draining = { ...target.info, draining: true }
    dispatcher.updateTargets([draining])
    await clock.advance(100)
    dispatcher.enqueueMessage(earlier, submission)
    await clock.advance(1_000)
    dispatcher.enqueueMessage(later, { ...submission, submissionId: 7 })
    await clock.advance(10)
    dispatcher.enqueueMessage(later, { type: 'withdraw', jobId, submissionId: 7 })
    await clock.advance(10)
    assert.equal(later.received.some(message => message.type === 'withdrawn'), true)
    dispatcher.updateTargets([target.info])
    const reconnected = new FakeOwnerConnection('earlier', 2)
    dispatcher.addOwner(reconnected)
    dispatcher.enqueueMessage(reconnected, { ...submission, submissionId: 2, resubmitted: true, ageMs: 1_020 })
    await clock.advance(2_000)
    dispatcher.stop()
    assert.equal(target.starts.length, 0)
  })
})
