import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

/**
 * The answer to a start order may be lost although a view lists the run. Guards against a dispatcher that holds the task for an order
 * that was carried out, and that starts nothing else at the target until the run has ended.
 */
describe('a run that a view lists before its start order times out', () => {
  it('leaves no order outstanding, and its target starts other tasks', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const owner = new FakeOwnerConnection('owner')
    dispatcher.addOwner(owner)
    dispatcher.updateTargets([target.info])
    await clock.advance(20)
    target.answersStarts = false
    dispatcher.enqueueMessage(owner, { type: 'submit', job: createJob('5c0e7a21d94b36f8'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
    await clock.advance(5)
    const { task, attempt } = target.starts[0]!
    target.running.push({ task, attempt, percent: 1 })
    for (const session of dispatcher.listSessions()) session.pollNow()
    await clock.advance(200)
    target.answersStarts = true
    assert.equal(target.starts.length, 1, 'the order is not sent again')
    assert.deepEqual(dispatcher.listLingering(), [])
    dispatcher.enqueueMessage(owner, { type: 'submit', job: createJob('5c0e7a21d94b36f9'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
    await clock.advance(20)
    dispatcher.stop()
    assert.deepEqual(target.starts.map(order => order.task.slice(0, 16)), ['5c0e7a21d94b36f8', '5c0e7a21d94b36f9'])
    assert.equal(target.stops.length, 0)
  })
})
