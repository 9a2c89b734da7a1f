import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, FakeTarget } from './dispatcher-fixture.js'

/**
 * A target's birth is a time of its machine's clock, which may be set back. Guards against a restarted target whose
 * birth is earlier than the last one: all its views were taken for old ones, so it was polled without a pause and never used.
 */
describe('a target that restarts with an earlier birth', () => {
  it('is used again', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t1')
    target.bornMs = 1_800_000_000_000
    const dispatcher = createDispatcher(clock, [target])
    dispatcher.updateTargets([target.info])
    await clock.advance(500)
    const [session] = dispatcher.listSessions()
    assert.equal(session!.isUsable(clock.now()), true)
    target.isReachable = false
    await clock.advance(2_000)
    target.isReachable = true
    target.bornMs = 1_764_900_000_000
    target.startedAt = clock.now()
    const pollsBefore = target.pollCount
    await clock.advance(2_000)
    const polls = target.pollCount - pollsBefore
    assert.equal(session!.isUsable(clock.now()), true)
    assert.ok(polls < 50, `${polls} polls in 2 s`)
    dispatcher.stop()
  })
})
