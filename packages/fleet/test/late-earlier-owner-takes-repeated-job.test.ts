import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

const jobId = '5c0e7a21d94b36f8'

const submission = { type: 'submit', job: createJob(jobId), ageMs: 0, resubmitted: true, quietInMs: 0, done: [] } as const

/**
 * After a takeover, or over a slow link, the owner of a repeat may submit the job before its earlier owner does, who
 * doesn't know that its caller has left. Guards against answering the caller that waits and running the job for the one that has left.
 */
describe('the earlier owner of a repeated job that submits it last', () => {
  it('does not take it from the owner of the repeat', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const [earlier, later] = [new FakeOwnerConnection('earlier', 1), new FakeOwnerConnection('later', 1)]
    dispatcher.addOwner(earlier)
    dispatcher.addOwner(later)
    dispatcher.updateTargets([target.info])
    await clock.advance(100)
    dispatcher.enqueueMessage(later, { ...submission, submissionId: 7, ageMs: 100 })
    await clock.advance(10)
    dispatcher.enqueueMessage(earlier, { ...submission, submissionId: 2, ageMs: 1_500 })
    await clock.advance(100)
    dispatcher.stop()
    assert.deepEqual(later.received.filter(message => message.type === 'ended'), [], 'the caller that waits was answered')
    assert.equal(earlier.received.some(message => message.type === 'ended' && message.outcome.kind === 'unknown'), true, 'the earlier owner keeps the job')
  })
})
