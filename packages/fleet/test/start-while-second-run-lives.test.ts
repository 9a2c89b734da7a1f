import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

/**
 * Only one run of a task is recorded by its name. Guards against a start after the end of that run
 * while a second, discovered run of the task has not ended, for example because its stop is late.
 */
describe('a task with a second run that was discovered', () => {
  it('does not start again at the end of the known run while the second run is listed', async () => {
    const clock = new ManualClock()
    const [first, second, third] = [new FakeTarget('t'), new FakeTarget('u'), new FakeTarget('v')]
    const dispatcher = createDispatcher(clock, [first, second, third])
    const owner = new FakeOwnerConnection('owner')
    dispatcher.addOwner(owner)
    dispatcher.updateTargets([first.info])
    await clock.advance(20)
    dispatcher.enqueueMessage(owner, { type: 'submit', job: createJob('5c0e7a21d94b36f8'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
    await clock.advance(20)
    const known = first.starts[0]!
    second.running.push({ task: known.task, attempt: 65, percent: 10 })
    dispatcher.updateTargets([first.info, second.info, third.info])
    await clock.advance(200)
    assert.equal(second.stops.length, 1)
    first.running = []
    first.bornMs = 2
    first.startedAt = clock.now()
    await clock.advance(400)
    dispatcher.stop()
    assert.equal(second.running.length, 1, 'the second run lives')
    assert.equal(first.starts.length + third.starts.length, 1, 'start orders')
  })
})
