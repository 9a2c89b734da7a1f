import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, endRuns, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

const jobId = '5c0e7a21d94b36f8'

/**
 * A target that is busy for a moment answers a start order after its timeout. Guards against a dispatcher that drops such answers: the order
 * then counts as outstanding, and once its run has lapsed the task may start nowhere for 12.5 s.
 */
describe('a start order that is answered after its timeout', () => {
  it('is not outstanding any more, so that its task starts for a new attempt when its run has lapsed', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const owner = new FakeOwnerConnection('owner')
    dispatcher.addOwner(owner)
    dispatcher.updateTargets([target.info])
    await clock.advance(20)
    target.answerDelayMs = 400
    dispatcher.enqueueMessage(owner, { type: 'submit', job: createJob(jobId), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
    // The order is sent again twice meanwhile; the target carries out all of them after one another.
    await clock.advance(420)
    target.answerDelayMs = 1
    const [run] = target.running
    assert.ok(run !== undefined && target.starts.length > 1)
    target.running = []
    target.ended.push({ number: 1, task: run.task, attempt: run.attempt, how: 'lapsed' })
    for (let passed = 0; passed < 1_200; passed += 100) {
      dispatcher.enqueueMessage(owner, { type: 'ping', configurationVersion: 1 })
      await clock.advance(100)
    }
    const attempts = [...new Set(target.starts.map(({ attempt }) => attempt))]
    assert.equal(attempts.length, 2, 'the task starts for a new attempt')
    endRuns(target)
    await clock.advance(600)
    dispatcher.stop()
    assert.deepEqual(owner.received.filter(({ type }) => type === 'ended'), [{ type: 'ended', jobId, outcome: { kind: 'completed' } }])
  })
})
