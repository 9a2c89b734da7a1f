import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { CancelledJobs, type CancellationOutcome, defaultFleetLimits, type Dispatcher, type DispatcherMessage, JobOwner, NoopLog, NoopMetrics } from '../src/index.js'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'
import { createConnection } from './connection-fixture.js'
import { createOwner, FakeConnection, spec } from './owner-fixture.js'

const jobId = spec.id

function answer (owner: JobOwner, connection: FakeConnection, found: boolean): void {
  owner.onDispatcherMessage(connection.asConnection(), { type: 'cancelled-any', jobId, found })
}

function listSent (connection: FakeConnection): readonly string[] {
  return connection.sent.map(({ type }) => type)
}

/** Guards against an acknowledgement that is given before it is certain, and against 410 for a job that may exist. */
describe('the owner that accepts a cancellation', () => {
  it('waits for every domain before it calls the job unknown, and asks one that connects later', async () => {
    const clock = new ManualClock()
    const [home, other] = [new FakeConnection('a'), new FakeConnection('b')]
    const owner = createOwner(clock, [home, other])
    other.isConnected = false
    const outcomes: CancellationOutcome[] = []
    for (const timeoutMs of [900, 5_000, 5_000]) owner.cancel(jobId, timeoutMs).then(outcome => { outcomes.push(outcome) }, () => {})
    answer(owner, home, false)
    await clock.advance(1_000)
    assert.deepEqual(outcomes, ['unconfirmed'])
    assert.deepEqual(listSent(other), [])
    other.isConnected = true
    owner.onConnected(other.asConnection())
    assert.deepEqual(listSent(other), ['cancel-any'])
    // The dispatcher is lost before it answers, and its successor is asked too.
    owner.onDisconnected(other.asConnection())
    owner.onConnected(other.asConnection())
    assert.equal(other.sent.length, 2)
    answer(owner, other, false)
    await clock.advance(1)
    assert.deepEqual(outcomes, ['unconfirmed', 'unknown-job', 'unknown-job'])
    owner.close()
  })

  it('acknowledges the cancellation of its own job only once a dispatcher has the record', async () => {
    const clock = new ManualClock()
    const home = new FakeConnection('a')
    const owner = createOwner(clock, [home])
    const { answer: submitted } = owner.submit(spec, 20_000)
    const outcome = owner.cancel(jobId, 900)
    assert.deepEqual(await submitted, { kind: 'failed', reason: 'cancelled' })
    await clock.advance(1_000)
    assert.equal(await outcome, 'unconfirmed')
    assert.deepEqual(await owner.submit(spec, 20_000).answer, { kind: 'failed', reason: 'cancelled' })
    const second = owner.cancel(jobId, 900)
    answer(owner, home, false)
    assert.equal(await second, 'cancelled')
    home.isConnected = false
    assert.equal(await owner.cancel(jobId, 900), 'cancelled', 'a further cancellation of a cancelled job')
    owner.close()
  })

  it('ends an own job of whose cancellation another instance tells it, and reports that it was known', async () => {
    const clock = new ManualClock()
    const home = new FakeConnection('a')
    const cancelled = new CancelledJobs()
    const owner = new JobOwner({ homeDomain: 'a', clock, limits: defaultFleetLimits, log: new NoopLog(), metrics: new NoopMetrics(), cancelled }, () => {})
    owner.addConnection(home.asConnection())
    const { answer: submitted } = owner.submit(spec, 20_000)
    cancelled.merge([[jobId, 0, false]], clock.now())
    await clock.advance(60)
    assert.deepEqual(await submitted, { kind: 'failed', reason: 'cancelled' })
    assert.deepEqual(home.sent.slice(1).map(message => message.type === 'cancel-any' ? message.known : message.type), ['cancel', true])
    owner.close()
  })
})

describe('a dispatcher', () => {
  const cancelAny = { type: 'cancel-any', jobId } as const
  const submission = { type: 'submit', job: createJob(jobId), submissionId: 1, ageMs: 500, resubmitted: true, quietInMs: 0, done: [] } as const

  interface Fixture {
    readonly clock: ManualClock
    readonly target: FakeTarget
    readonly dispatcher: Dispatcher
    readonly owner: FakeOwnerConnection
    readonly other: FakeOwnerConnection
    /** Advances the clock while some owners answer heartbeats. */
    readonly advance: (ms: number, answering: readonly FakeOwnerConnection[]) => Promise<void>
  }

  function createFixture (): Fixture {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const [owner, other] = [new FakeOwnerConnection('owner', 1), new FakeOwnerConnection('other', 1)]
    for (const connection of [owner, other]) dispatcher.addOwner(connection, [])
    dispatcher.updateTargets([target.info])
    const advance: Fixture['advance'] = async (ms, answering) => {
      for (let elapsed = 0; elapsed < ms; elapsed += 10) {
        for (const connection of answering) dispatcher.enqueueMessage(connection, { type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: clock.now() })
        await clock.advance(10)
      }
    }
    return { clock, target, dispatcher, owner, other, advance }
  }

  function listAnswers (connection: FakeOwnerConnection): readonly boolean[] {
    return connection.received.flatMap((message: DispatcherMessage) => message.type === 'cancelled-any' ? [message.found] : [])
  }

  /** Guards against 410 for a job that its owner submits again after the takeover, and against running it. */
  it('that has just begun finds a job that is submitted after its cancellation, and runs none of it', async () => {
    const { target, dispatcher, owner, other, advance } = createFixture()
    dispatcher.enqueueMessage(other, cancelAny)
    await advance(500, [owner, other])
    assert.deepEqual(listAnswers(other), [])
    dispatcher.enqueueMessage(owner, submission)
    await advance(100, [owner, other])
    assert.deepEqual(listAnswers(other), [true])
    assert.deepEqual(owner.received.filter(({ type }) => type === 'ended'), [{ type: 'ended', jobId, outcome: { kind: 'failed', reason: 'cancelled' }, submissionId: 1 }])
    assert.equal(target.starts.length, 0)
    dispatcher.stop()
  })

  /** Guards against 410 while an owner that is paused or cut off may have the job. */
  it('does not know a job that no owner submits, and says so only once all owners were heard', async () => {
    const { dispatcher, owner, other, advance } = createFixture()
    dispatcher.enqueueMessage(other, cancelAny)
    for (let repeat = 0; repeat < 13; repeat++) {
      await advance(50, [owner, other])
      dispatcher.enqueueMessage(other, cancelAny)
    }
    assert.deepEqual(listAnswers(other), [])
    await advance(150, [owner, other])
    assert.deepEqual(listAnswers(other), [false])
    dispatcher.enqueueMessage(other, cancelAny)
    await advance(100, [other])
    owner.isSilent = true
    dispatcher.removeOwner(owner)
    await advance(2_000, [other])
    assert.deepEqual(listAnswers(other), [false])
    await advance(1_500, [other])
    assert.deepEqual(listAnswers(other), [false, false])
    dispatcher.stop()
  })

  /** Guards against 200 for a job that its owner, which is cut off, submits to a successor; the record would be lost with this process. */
  it('confirms the cancellation of a running job once its owner has received the record', async () => {
    const { target, dispatcher, owner, other, advance } = createFixture()
    await advance(100, [owner, other])
    dispatcher.enqueueMessage(owner, { ...submission, resubmitted: false })
    await advance(50, [owner, other])
    assert.equal(target.starts.length, 1)
    dispatcher.enqueueMessage(other, cancelAny)
    await advance(300, [other])
    assert.equal(target.stops.length, 1)
    assert.deepEqual(listAnswers(other), [])
    await advance(100, [owner, other])
    assert.deepEqual(listAnswers(other), [true])
    dispatcher.stop()
  })

  it('ends a running job of whose cancellation an owner tells it, and tells the other owners', async () => {
    const { target, dispatcher, owner, other, advance } = createFixture()
    await advance(100, [owner, other])
    dispatcher.enqueueMessage(owner, { ...submission, resubmitted: false })
    await advance(50, [owner, other])
    dispatcher.enqueueMessage(other, { type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: 0, cancelled: [[jobId, 1_000, true]] })
    await advance(100, [owner, other])
    assert.equal(target.stops.length, 1)
    assert.deepEqual(dispatcher.listCancelled(0).entries.map(([id]) => id), [jobId])
    dispatcher.stop()
  })
})

describe('a connection to a dispatcher', () => {
  it('answers the welcome with the cancelled jobs that it does not list, and not one of an earlier version', async () => {
    const { clock, peers, follow } = createConnection()
    await follow('h', 1)
    const listReplies = (): readonly unknown[] => peers.sent.flatMap(message => message.type === 'heartbeat-reply' ? [message.cancelled] : [])
    peers.handler!.onMessage({ type: 'welcome', token: 16, sentAt: 1, lingering: [], cancelled: [['x', 1_000, false], ['y', 1_000, true]] })
    peers.handler!.onMessage({ type: 'heartbeat', sentAt: 2, load: { freeProcessors: 0, usableProcessors: 0, waitMs: 0, queuedJobs: 0, largestFree: 0 }, configurationVersion: 0, cancelledAdded: [['x', 1_000, true]] })
    await clock.advance(250)
    peers.handler!.onMessage({ type: 'welcome', token: 16, sentAt: 3, lingering: [], cancelled: [['x', 1_250, false]] })
    peers.handler!.onMessage({ type: 'welcome', token: 16, sentAt: 4, lingering: [] })
    assert.deepEqual(listReplies(), [undefined, undefined, [['y', 1_250, true], ['x', 1_250, true]], undefined])
  })
})
