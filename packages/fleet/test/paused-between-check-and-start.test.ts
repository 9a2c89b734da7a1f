import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { startWindowMs } from '../src/target-session.js'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

/** Time in milliseconds for which the process is paused. */
const pauseMs = 3_000

/** A clock that goes on by the pause at the next reading but one. */
class PausingClock extends ManualClock {
  readingsUntilPause = Infinity

  override now (): number {
    if (this.readingsUntilPause-- === 0) this.time += pauseMs
    return super.now()
  }
}

/**
 * A process may be paused at any point. Guards against checking the limits of a start by one reading of the clock and
 * computing the deadline of the order from a later one: the order of a dispatcher that was paused in between is carried
 * out although a successor has started the task elsewhere.
 */
describe('a dispatcher that is paused between the check of a start and its order', () => {
  for (let readings = 0; readings < 12; readings++) {
    it(`sends no order that may still be carried out, ${readings} readings of the clock before the pause`, async () => {
      const clock = new PausingClock()
      const target = new FakeTarget('t')
      const dispatcher = createDispatcher(clock, [target])
      const owner = new FakeOwnerConnection('owner')
      dispatcher.addOwner(owner)
      dispatcher.updateTargets([target.info])
      await clock.advance(100)
      const checkedAt = clock.now()
      clock.readingsUntilPause = readings
      dispatcher.enqueueMessage(owner, { type: 'submit', job: createJob('5c0e7a21d94b36f8'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
      await Promise.resolve()
      await Promise.resolve()
      dispatcher.stop()
      for (const { deadlineMs } of target.starts) assert.ok(deadlineMs <= checkedAt + startWindowMs, `deadline ${deadlineMs}, checked at ${checkedAt}`)
    })
  }
})
