import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

/** Time in milliseconds for which one owner is silent: its tasks may still start, but under no lease that was just extended. */
const silentMs = 700

/**
 * The tasks of a silent owner are withheld from targets whose leases last longer than they may. Guards against taking
 * that for a lack of capacity: equal tasks of all other owners would wait too.
 */
describe('the tasks of a silent owner', () => {
  it('hold up no equal tasks of other owners', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const [silent, live] = [new FakeOwnerConnection('silent'), new FakeOwnerConnection('live')]
    dispatcher.addOwner(silent)
    dispatcher.addOwner(live)
    dispatcher.updateTargets([{ ...target.info, draining: true }])
    await clock.advance(20)
    const submission = { type: 'submit', ageMs: 0, resubmitted: false, quietInMs: 0, done: [] } as const
    dispatcher.enqueueMessage(silent, { ...submission, job: createJob('aaaaaaaaaaaaaaaa') })
    await clock.advance(silentMs)
    dispatcher.enqueueMessage(live, { type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: clock.now() })
    dispatcher.updateTargets([target.info])
    dispatcher.enqueueMessage(live, { ...submission, job: createJob('bbbbbbbbbbbbbbbb') })
    await clock.advance(5)
    dispatcher.stop()
    assert.deepEqual(target.starts.map(order => order.task), ['bbbbbbbbbbbbbbbb.0.0.0'])
  })
})
