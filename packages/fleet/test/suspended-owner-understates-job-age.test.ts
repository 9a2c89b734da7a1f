import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { type OwnerMessage } from '../src/index.js'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'
import { createOwner, FakeConnection, spec } from './owner-fixture.js'

const suspensionMs = 2_000

/** A clock that stands still while its machine is suspended. */
class SuspendableClock extends ManualClock {
  suspendedMs = 0

  override readElapsed (): number { return this.now() + this.suspendedMs }
}

/**
 * The owner of a repeat keeps the job because its submission is younger. Guards against the earlier owner, whose
 * machine was suspended meanwhile, stating an age that makes it the younger one.
 */
describe('an owner whose machine was suspended', () => {
  it('counts the suspension in the age of its jobs', () => {
    const clock = new SuspendableClock()
    const home = new FakeConnection('a')
    const owner = createOwner(clock, [home])
    const { abandon } = owner.submit(spec, 20_000)
    clock.suspendedMs += suspensionMs
    owner.onDisconnected(home.asConnection())
    owner.onConnected(home.asConnection())
    const last = home.sent.filter((message): message is Extract<OwnerMessage, { type: 'submit' }> => message.type === 'submit').at(-1)
    abandon('the test ends')
    owner.close()
    assert.equal(last!.ageMs + last!.suspendedMs!, suspensionMs)
  })
})

/** Guards against a repeat meeting no list, because the dispatcher takes the job for younger than it is. */
describe('a dispatcher whose machine was suspended while it has a job', () => {
  it('lists the job once it may be repeated', async () => {
    const clock = new SuspendableClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const connection = new FakeOwnerConnection('owner', 1)
    dispatcher.addOwner(connection)
    dispatcher.updateTargets([target.info])
    await clock.advance(100)
    dispatcher.enqueueMessage(connection, { type: 'submit', job: createJob(spec.id), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
    await clock.advance(100)
    clock.suspendedMs += suspensionMs
    const listed = dispatcher.listLingering()
    dispatcher.stop()
    assert.deepEqual(listed, [spec.id])
  })
})
