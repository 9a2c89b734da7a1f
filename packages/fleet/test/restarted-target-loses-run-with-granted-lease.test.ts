import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { defaultFleetLimits } from '../src/index.js'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

const jobId = '5c0e7a21d94b36f8'

/**
 * A restarted target has seen no token, so that an earlier dispatcher that is cut off from the owners can start runs
 * and extend leases there until its successor has polled the new incarnation. Guards against the successor taking such
 * a run for lapsed when the target falls silent before it has granted a lease itself.
 */
describe('a successor whose target restarts and falls silent after the first view of the new incarnation', () => {
  it('starts no task of the runs found there elsewhere before the lease of the earlier dispatcher has ended', async () => {
    const clock = new ManualClock()
    const [silent, other] = [new FakeTarget('silent'), new FakeTarget('other')]
    const dispatcher = createDispatcher(clock, [silent, other])
    const connection = new FakeOwnerConnection('owner', 1)
    dispatcher.addOwner(connection)
    dispatcher.updateTargets([silent.info, other.info])
    await clock.advance(500)
    silent.bornMs = 2
    silent.startedAt = clock.now()
    // A run that no owner claims withholds the leases of the target.
    silent.running = [jobId, 'aaaaaaaaaaaaaaaa'].map(id => ({ task: `${id}.0.0.0`, attempt: 1, percent: 10 }))
    while (!dispatcher.listLingering().includes(jobId)) await clock.advance(5)
    const viewedAt = clock.now()
    dispatcher.enqueueMessage(connection, { type: 'submit', job: createJob(jobId), ageMs: 500, resubmitted: true, quietInMs: 1_300, done: [] })
    await clock.advance(5)
    silent.isReachable = false
    let startedAt: number | undefined
    while (startedAt === undefined && clock.now() < viewedAt + 3_000) {
      dispatcher.enqueueMessage(connection, { type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: clock.now() })
      await clock.advance(10)
      if (other.starts.length > 0) startedAt = clock.now()
    }
    dispatcher.stop()
    assert.ok(startedAt !== undefined, 'the task was never started again')
    assert.ok(startedAt - viewedAt >= defaultFleetLimits.maxLeaseMs, `the task started elsewhere ${startedAt - viewedAt} ms after the view, beside its earlier run`)
  })
})
