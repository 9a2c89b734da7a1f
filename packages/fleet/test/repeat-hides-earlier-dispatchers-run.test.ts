import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { defaultFleetLimits } from '../src/index.js'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

const submission = { type: 'submit', job: createJob('5c0e7a21d94b36f8'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] } as const

/**
 * After a takeover the repeat of a job may reach the successor, as a new job, before the job's earlier owner submits it
 * again and states that the earlier dispatcher may have started it. Guards against starting the job all the same while a
 * target that may hold its run was not polled.
 */
describe('a job that waits at a successor as a repeat when its earlier owner submits it again', () => {
  it('does not start before the leases of the earlier dispatcher have ended', async () => {
    const clock = new ManualClock()
    const [free, holding] = [new FakeTarget('free'), new FakeTarget('holding')]
    free.isReachable = false
    holding.isReachable = false
    const dispatcher = createDispatcher(clock, [free, holding])
    const [earlier, later] = [new FakeOwnerConnection('earlier', 1), new FakeOwnerConnection('later', 1)]
    dispatcher.addOwner(earlier)
    dispatcher.addOwner(later)
    dispatcher.updateTargets([free.info, holding.info])
    const beganAt = clock.now()
    await clock.advance(5)
    dispatcher.enqueueMessage(later, { ...submission, submissionId: 7 })
    await clock.advance(5)
    assert.deepEqual(later.received.filter(message => message.type === 'rejected'), [])
    dispatcher.enqueueMessage(earlier, { ...submission, submissionId: 2, resubmitted: true, ageMs: 1_500, quietInMs: 1_300 })
    await clock.advance(50)
    free.isReachable = true
    let startedAt: number | undefined
    while (startedAt === undefined && clock.now() < beganAt + 4_000) {
      for (const connection of [earlier, later]) dispatcher.enqueueMessage(connection, { type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: clock.now() })
      await clock.advance(10)
      if (free.starts.length > 0) startedAt = clock.now()
    }
    dispatcher.stop()
    assert.ok(startedAt !== undefined, 'the task was never started')
    assert.ok(startedAt - beganAt >= defaultFleetLimits.maxLeaseMs, `the task started ${startedAt - beganAt} ms after the takeover`)
  })
})
