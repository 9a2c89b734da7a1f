import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { defaultFleetLimits } from '../src/index.js'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

/** Time in milliseconds for which the machine of the dispatcher is suspended; less than a lease. */
const suspensionMs = 500

/** A clock that stands still while its machine is suspended. */
class SuspendableClock extends ManualClock {
  suspendedMs = 0

  override readElapsed (): number { return this.now() + this.suspendedMs }
}

/**
 * A suspended machine's monotonic clock stands still. Guards against taking the signs of life of a lost owner for
 * newer than they are, and its runs living beside the repeats of its jobs.
 */
describe('a dispatcher whose machine was suspended', () => {
  it('extends no lease beyond the time at which the job of a lost owner may be repeated', async () => {
    const clock = new SuspendableClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const connection = new FakeOwnerConnection('owner', 1)
    dispatcher.addOwner(connection)
    dispatcher.updateTargets([target.info])
    await clock.advance(100)
    dispatcher.enqueueMessage(connection, { type: 'submit', job: createJob('5c0e7a21d94b36f8'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
    await clock.advance(100)
    const lostAt = clock.now()
    dispatcher.enqueueMessage(connection, { type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: lostAt })
    await clock.advance(50)
    clock.suspendedMs += suspensionMs
    target.startedAt -= suspensionMs
    await clock.advance(3_000)
    dispatcher.stop()
    assert.equal(target.starts.length, 1)
    assert.ok(target.leaseEndsAt <= lostAt + defaultFleetLimits.resubmitMs, `the lease lasts until ${target.leaseEndsAt - lostAt} ms after the last sign of life`)
  })
})
