import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

/**
 * An owner that receives no welcome within 200 ms closes its connection and tries again, and after
 * 2.3 s it submits the job in another domain. A slow dispatcher handles each of these connections and
 * their ends late. Guards against a grace time that begins anew with each of them, so that the job's
 * runs are kept alive beyond the 2.3 s.
 */
describe('a dispatcher whose owner does not complete a reconnection', () => {
  it('stops the runs of the owner before the owner may submit the job elsewhere', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const first = new FakeOwnerConnection('owner')
    dispatcher.addOwner(first)
    dispatcher.updateTargets([target.info])
    await clock.advance(20)
    dispatcher.enqueueMessage(first, { type: 'submit', job: createJob('5c0e7a21d94b36f8'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
    await clock.advance(20)
    assert.equal(target.starts.length, 1)
    dispatcher.removeOwner(first)
    const lostAt = clock.now()
    while (clock.now() - lostAt < 2_300) {
      await clock.advance(240)
      const attempt = new FakeOwnerConnection('owner')
      dispatcher.addOwner(attempt)
      await clock.advance(20)
      dispatcher.removeOwner(attempt)
    }
    dispatcher.stop()
    assert.equal(target.stops.length, 1, `stop orders ${clock.now() - lostAt} ms after the owner was lost`)
  })
})
