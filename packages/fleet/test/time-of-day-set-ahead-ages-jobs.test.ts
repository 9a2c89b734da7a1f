import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { type OwnerMessage } from '../src/index.js'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'
import { createOwner, FakeConnection, spec } from './owner-fixture.js'

/** Time in milliseconds by which the time of day is set ahead, which looks like a suspension of the machine. */
const stepMs = 2_400

/** A clock whose time of day can be set ahead. */
class SteppedClock extends ManualClock {
  stepMs = 0

  override readElapsed (): number { return this.now() + this.stepMs }
}

const submission = { type: 'submit', job: createJob(spec.id), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] } as const

/** Guards against the earlier owner of a repeated job looking younger than the owner of the repeat, and taking the job from it. */
describe('a dispatcher whose time of day is set ahead after a job was repeated', () => {
  it('keeps the job with the owner of the repeat', async () => {
    const clock = new SteppedClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const [earlier, later] = [new FakeOwnerConnection('earlier', 1), new FakeOwnerConnection('later', 1)]
    dispatcher.addOwner(earlier)
    dispatcher.addOwner(later)
    dispatcher.updateTargets([target.info])
    await clock.advance(100)
    dispatcher.enqueueMessage(earlier, { ...submission, submissionId: 1 })
    await clock.advance(1_300)
    dispatcher.enqueueMessage(later, { ...submission, submissionId: 7 })
    await clock.advance(10)
    clock.stepMs += stepMs
    const reconnected = new FakeOwnerConnection('earlier', 2)
    dispatcher.addOwner(reconnected)
    dispatcher.enqueueMessage(reconnected, { ...submission, submissionId: 2, resubmitted: true, ageMs: 1_310 })
    await clock.advance(10)
    dispatcher.stop()
    assert.deepEqual(later.received.filter(message => message.type === 'ended'), [], 'the caller that waits was answered')
  })
})

/** Guards against rejecting a job as too late because its owner's time of day was set ahead while it waited. */
describe('an owner whose time of day is set ahead while a job waits', () => {
  it('submits the job as one that another dispatcher still finds of use', async () => {
    const clock = new SteppedClock()
    const home = new FakeConnection('a')
    const owner = createOwner(clock, [home])
    const { abandon } = owner.submit({ ...spec, objectiveMs: 700, usefulMs: 2_100, steps: spec.steps.map(step => ({ ...step, estimateMs: 300 })) }, 20_000)
    clock.stepMs += stepMs
    owner.onDisconnected(home.asConnection())
    owner.onConnected(home.asConnection())
    const last = home.sent.filter((message): message is Extract<OwnerMessage, { type: 'submit' }> => message.type === 'submit').at(-1)
    abandon('the test ends')
    owner.close()
    assert.ok(last !== undefined)
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const connection = new FakeOwnerConnection('owner', 1)
    dispatcher.addOwner(connection)
    dispatcher.updateTargets([target.info])
    await clock.advance(100)
    // As the job is submitted in another domain after a withdrawal.
    dispatcher.enqueueMessage(connection, { ...last, resubmitted: false })
    await clock.advance(100)
    dispatcher.stop()
    assert.deepEqual(connection.received.filter(message => message.type === 'rejected'), [])
  })
})
