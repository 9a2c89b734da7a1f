import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { type Dispatcher, defaultFleetLimits } from '../src/index.js'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

const jobId = '5c0e7a21d94b36f8'

/** Interval in milliseconds at which the owner answers heartbeats. */
const heartbeatMs = 100

const submission = { type: 'submit', job: createJob(jobId), ageMs: 0, resubmitted: false, quietInMs: 0, done: [], submissionId: 1 } as const

/** Lets the owner answer heartbeats on a connection for a time. */
async function answerHeartbeats (clock: ManualClock, dispatcher: Dispatcher, connection: FakeOwnerConnection, ms: number): Promise<void> {
  for (const endAt = clock.now() + ms; clock.now() < endAt;) {
    dispatcher.enqueueMessage(connection, { type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: clock.now() })
    await clock.advance(heartbeatMs)
  }
}

async function startRun (clock: ManualClock, target: FakeTarget): Promise<{ dispatcher: Dispatcher, connection: FakeOwnerConnection }> {
  const dispatcher = createDispatcher(clock, [target])
  const connection = new FakeOwnerConnection('owner', 1)
  dispatcher.addOwner(connection)
  dispatcher.updateTargets([target.info])
  await answerHeartbeats(clock, dispatcher, connection, 200)
  dispatcher.enqueueMessage(connection, submission)
  await answerHeartbeats(clock, dispatcher, connection, 300)
  assert.equal(target.starts.length, 1)
  return { dispatcher, connection }
}

/**
 * An owner that gives a job up while its connection is broken can't cancel it. Guards against its signs of life on a
 * new connection keeping the run alive beyond the time at which the caller repeats the job.
 */
describe('an owner that reconnects without a job that it gave up', () => {
  it('extends no lease of the job while the dispatcher holds the earlier connection open and the target answers no stop', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const { dispatcher } = await startRun(clock, target)
    target.answersStops = false
    const givenUpAt = clock.now()
    const second = new FakeOwnerConnection('owner', 2)
    dispatcher.addOwner(second)
    await answerHeartbeats(clock, dispatcher, second, 2_000)
    dispatcher.stop()
    assert.ok(target.leaseEndsAt <= givenUpAt + defaultFleetLimits.resubmitMs, `the lease lasts until ${target.leaseEndsAt - givenUpAt} ms after the job was given up`)
  })

  it('has its job dropped as soon as it has answered on the new connection', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const { dispatcher } = await startRun(clock, target)
    const second = new FakeOwnerConnection('owner', 2)
    dispatcher.addOwner(second)
    await answerHeartbeats(clock, dispatcher, second, 200)
    dispatcher.stop()
    assert.equal(target.stops.length, 1, 'the run was not stopped')
  })

  it('keeps a job that it submits again', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const { dispatcher } = await startRun(clock, target)
    const second = new FakeOwnerConnection('owner', 2)
    dispatcher.addOwner(second)
    dispatcher.enqueueMessage(second, { ...submission, resubmitted: true, submissionId: 2 })
    await answerHeartbeats(clock, dispatcher, second, 2_000)
    dispatcher.stop()
    assert.equal(target.stops.length, 0)
    assert.ok(target.leaseEndsAt > clock.now(), 'the lease was not extended')
  })
})
