import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

/**
 * A job that is new to its owner waits at a new dispatcher, which then discovers a run of it that an
 * earlier dispatcher started for another owner. Guards against returning the job as not started: the
 * owner submits it in another domain, or answers that nothing has run, while the run lives.
 */
describe('a waiting job of which a target lists a run', () => {
  it('is not withdrawn as a job that has not started', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const owner = new FakeOwnerConnection('owner')
    dispatcher.addOwner(owner)
    target.isReachable = false
    target.running.push({ task: '5c0e7a21d94b36f8.0.0.0', attempt: 65, percent: 10 })
    dispatcher.updateTargets([target.info])
    dispatcher.enqueueMessage(owner, { type: 'submit', job: createJob('5c0e7a21d94b36f8'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
    await clock.advance(20)
    assert.equal(owner.received.some(message => message.type === 'rejected'), false)
    target.isReachable = true
    await clock.advance(1_000)
    assert.equal(dispatcher.listSessions()[0]!.runs.size, 1, 'the run was discovered')
    assert.equal(target.starts.length, 0)
    dispatcher.enqueueMessage(owner, { type: 'withdraw', jobId: '5c0e7a21d94b36f8' })
    await clock.advance(20)
    dispatcher.stop()
    assert.equal(owner.received.some(message => message.type === 'withdrawn'), false, 'the job was returned as not started')
  })
})
