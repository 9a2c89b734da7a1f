import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

/**
 * A start order without an answer may be carried out in a later incarnation of its target, up to 12 s
 * after it was sent. Guards against a dispatcher that forgets such an order with the target's session,
 * uses the next incarnation without a stop order and so lets the task run at two targets.
 */
describe('a dispatcher that has dropped the session of a target', () => {
  it('stops an unanswered start order in the next incarnation if the target left the list in between', async () => {
    const clock = new ManualClock()
    const [leaving, other] = [new FakeTarget('t'), new FakeTarget('u')]
    const dispatcher = createDispatcher(clock, [leaving, other])
    const owner = new FakeOwnerConnection('owner')
    dispatcher.addOwner(owner)
    dispatcher.updateTargets([leaving.info])
    await clock.advance(20)
    leaving.answersStarts = false
    dispatcher.enqueueMessage(owner, { type: 'submit', job: createJob('5c0e7a21d94b36f8'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
    await clock.advance(200)
    // A stop of the highest attempt also blocks those before it.
    const order = leaving.starts.at(-1)!
    assert.equal(leaving.stops.length, 1)
    // The target announces that it leaves, ends, and returns as a new incarnation 3 s later.
    dispatcher.updateTargets([{ ...leaving.info, draining: true }, other.info])
    await clock.advance(300)
    dispatcher.updateTargets([other.info])
    await clock.advance(3_000)
    assert.equal(other.starts.length, 1, 'the task runs at the other target')
    leaving.stops.length = 0
    leaving.bornMs = 2
    leaving.startedAt = clock.now()
    dispatcher.updateTargets([leaving.info, other.info])
    await clock.advance(400)
    dispatcher.stop()
    assert.deepEqual(leaving.stops.map(({ task, attempt }) => ({ task, attempt })), [{ task: order.task, attempt: order.attempt }])
  })

  it('does not start a task elsewhere while its unanswered start order may reach the target at its new address', async () => {
    const clock = new ManualClock()
    const [earlier, later, other] = [new FakeTarget('t', 'address-1'), new FakeTarget('t', 'address-2'), new FakeTarget('u')]
    const dispatcher = createDispatcher(clock, [earlier, later, other])
    const owner = new FakeOwnerConnection('owner')
    dispatcher.addOwner(owner)
    dispatcher.updateTargets([earlier.info])
    await clock.advance(20)
    earlier.isReachable = false
    dispatcher.enqueueMessage(owner, { type: 'submit', job: createJob('5c0e7a21d94b36f8'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
    await clock.advance(200)
    assert.equal(earlier.starts.length, 1)
    later.isReachable = false
    dispatcher.updateTargets([later.info, other.info])
    await clock.advance(400)
    dispatcher.stop()
    assert.equal(other.starts.length, 0, 'the new incarnation has not accepted a stop order, and 12.5 s have not passed')
  })
})
