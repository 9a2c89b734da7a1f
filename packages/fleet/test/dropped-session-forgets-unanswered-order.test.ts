import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { type Dispatcher, type StartOrder } from '../src/index.js'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

const jobId = '5c0e7a21d94b36f8'

interface Play {
  readonly dispatcher: Dispatcher
  readonly owner: FakeOwnerConnection
  /** Advances the clock, in milliseconds, while the owner answers heartbeats. */
  readonly advance: (ms: number) => Promise<void>
}

/** Lets a target leave an order without an answer, drain and leave the list, and plays until 3.5 s after the order. */
async function leaveOrderUnanswered (clock: ManualClock, leaving: FakeTarget, other: FakeTarget): Promise<Play> {
  const dispatcher = createDispatcher(clock, [leaving, other])
  const owner = new FakeOwnerConnection('owner')
  const advance = async (ms: number): Promise<void> => {
    for (let playedMs = 0; playedMs < ms; playedMs += 100) {
      dispatcher.enqueueMessage(owner, { type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: clock.readElapsed() })
      await clock.advance(Math.min(100, ms - playedMs))
    }
  }
  dispatcher.addOwner(owner)
  dispatcher.updateTargets([leaving.info])
  await advance(20)
  leaving.answersStarts = false
  dispatcher.enqueueMessage(owner, { type: 'submit', job: createJob(jobId), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
  await advance(200)
  assert.equal(new Set(leaving.starts.map(({ attempt }) => attempt)).size, 1, 'only the same order is sent again')
  dispatcher.updateTargets([{ ...leaving.info, draining: true }, other.info])
  await advance(300)
  dispatcher.updateTargets([other.info])
  await advance(3_000)
  return { dispatcher, owner, advance }
}

/**
 * A start order without an answer may be carried out in a later incarnation of its target, up to 12 s
 * after it was sent. Guards against a dispatcher that forgets such an order with the target's session,
 * starts the task elsewhere or by another order, and so lets it run twice.
 */
describe('a dispatcher that has dropped the session of a target', () => {
  it('starts the task only by the same order in the next incarnation if the target left the list in between', async () => {
    const clock = new ManualClock()
    const [leaving, other] = [new FakeTarget('t'), new FakeTarget('u')]
    const { dispatcher, advance } = await leaveOrderUnanswered(clock, leaving, other)
    assert.equal(other.starts.length, 0, 'the task does not run elsewhere while a later incarnation may carry out the order')
    const [{ attempt }] = leaving.starts as [StartOrder]
    leaving.starts.length = 0
    leaving.answersStarts = true
    leaving.bornMs = 2
    leaving.startedAt = clock.now()
    dispatcher.updateTargets([{ ...leaving.info, bornMs: 2 }, other.info])
    await advance(400)
    dispatcher.stop()
    assert.deepEqual(leaving.starts.map(order => order.attempt), [attempt])
    assert.equal(other.starts.length, 0)
  })

  it('stops the unanswered order of a cancelled job in the next incarnation if the target left the list in between', async () => {
    const clock = new ManualClock()
    const [leaving, other] = [new FakeTarget('t'), new FakeTarget('u')]
    const { dispatcher, owner, advance } = await leaveOrderUnanswered(clock, leaving, other)
    const order = leaving.starts.at(-1)!
    dispatcher.enqueueMessage(owner, { type: 'cancel', jobId, reason: 'test' })
    await advance(100)
    leaving.stops.length = 0
    leaving.bornMs = 2
    leaving.startedAt = clock.now()
    dispatcher.updateTargets([{ ...leaving.info, bornMs: 2 }, other.info])
    await advance(400)
    dispatcher.stop()
    assert.deepEqual(leaving.stops.map(({ task, attempt }) => ({ task, attempt })), [{ task: order.task, attempt: order.attempt }])
    assert.equal(other.starts.length, 0)
  })

  it('starts the task elsewhere once the unanswered order can no longer be carried out', async () => {
    const [leaving, other] = [new FakeTarget('t'), new FakeTarget('u')]
    const { dispatcher, advance } = await leaveOrderUnanswered(new ManualClock(), leaving, other)
    await advance(9_000)
    assert.equal(other.starts.length, 0)
    await advance(1_000)
    dispatcher.stop()
    assert.equal(other.starts.length, 1)
  })

  it('does not start a task elsewhere while its unanswered start order may reach the target at its new address', async () => {
    const clock = new ManualClock()
    const [earlier, later, other] = [new FakeTarget('t', 'address-1'), new FakeTarget('t', 'address-2'), new FakeTarget('u')]
    const dispatcher = createDispatcher(clock, [earlier, later, other])
    const owner = new FakeOwnerConnection('owner')
    dispatcher.addOwner(owner)
    dispatcher.updateTargets([earlier.info])
    await clock.advance(20)
    earlier.isReachable = false
    dispatcher.enqueueMessage(owner, { type: 'submit', job: createJob('5c0e7a21d94b36f8'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
    await clock.advance(200)
    assert.deepEqual(new Set(earlier.starts.map(({ attempt }) => attempt)), new Set([1_025]), 'only the same order is sent again')
    later.isReachable = false
    dispatcher.updateTargets([later.info, other.info])
    await clock.advance(400)
    dispatcher.stop()
    assert.equal(other.starts.length, 0, 'the new incarnation has not accepted a stop order, and 12.5 s have not passed')
  })
})
