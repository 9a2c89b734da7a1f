import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, endRuns, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

const jobId = '5c0e7a21d94b36f8'

/**
 * A busy dispatcher reads the answer to a start order after its time-out, when a short run has already ended. Guards against a
 * dispatcher that takes the refusal of the repeated order for the end of all starts, and answers the job as unknown.
 */
describe('a run that has ended before its start order is sent again', () => {
  it('completes its job', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const owner = new FakeOwnerConnection('owner')
    dispatcher.addOwner(owner)
    dispatcher.updateTargets([target.info])
    await clock.advance(20)
    target.answersStarts = false
    dispatcher.enqueueMessage(owner, { type: 'submit', job: createJob(jobId), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
    await clock.advance(5)
    const { task, attempt } = target.starts[0]!
    target.answersStarts = true
    // The end is listed only after the poll that is under way.
    clock.startTimer(140, () => {
      target.running = [{ task, attempt, percent: 99 }]
      endRuns(target)
    })
    await clock.advance(600)
    dispatcher.stop()
    assert.equal(target.starts.length, 2)
    assert.deepEqual(owner.received.filter(({ type }) => type === 'ended'), [{ type: 'ended', jobId, outcome: { kind: 'completed' } }])
  })
})
