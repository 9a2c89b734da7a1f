import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { defaultFleetLimits } from '../src/index.js'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

const jobId = '5c0e7a21d94b36f8'

/** Time in milliseconds for which the owner answers heartbeats on its first connection after it has cancelled the job. */
const answeredMs = 600

/**
 * Over a full link the messages on an owner's earlier connection arrive after the hello on its new one. Guards against
 * ignoring a cancellation there while the heartbeat replies behind it still count as signs of life of the job.
 */
describe('an owner that has cancelled a job on a connection that it has replaced since', () => {
  it('extends no lease of the job by what it answered on that connection after the cancellation', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const first = new FakeOwnerConnection('owner', 1)
    dispatcher.addOwner(first)
    dispatcher.updateTargets([target.info])
    await clock.advance(100)
    dispatcher.enqueueMessage(first, { type: 'submit', job: createJob(jobId), ageMs: 0, resubmitted: false, quietInMs: 0, done: [], submissionId: 1 })
    await clock.advance(100)
    dispatcher.enqueueMessage(first, { type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: clock.now() })
    await clock.advance(50)
    assert.equal(target.starts.length, 1)
    target.answersStops = false
    const cancelledAt = clock.now()
    await clock.advance(answeredMs)
    const second = new FakeOwnerConnection('owner', 2)
    dispatcher.addOwner(second)
    dispatcher.enqueueMessage(first, { type: 'cancel', jobId, reason: 'the caller has left', submissionId: 1 })
    dispatcher.enqueueMessage(first, { type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: clock.now() })
    await clock.advance(3_000)
    dispatcher.stop()
    assert.ok(target.leaseEndsAt <= cancelledAt + defaultFleetLimits.resubmitMs, `the lease lasts until ${target.leaseEndsAt - cancelledAt} ms after the job was cancelled`)
  })
})
