import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { flushMicrotasks, ManualClock } from '@sesamereel/coordination'
import { defaultFleetLimits, type PollReply, type Run, SessionObserver, type StartReply, type StopOrder, type StopReply, type TargetConnection, type TargetInfo, TargetSession, type TargetView } from '../src/index.js'

const info: TargetInfo = { id: 't', address: 't', service: 's', domain: 'a', draining: false, capacity: { processors: 32_000, memoryMb: 100, accelerators: 0 }, labels: [], revision: 1 }

const demand = { processors: 14_000, memoryMb: 1, accelerators: 0 }

/** A connection on which the test answers polls, and start orders while `holdStarts` is set, in any order. */
class ScriptedConnection implements TargetConnection {
  readonly polls: Array<(reply: PollReply) => void> = []
  readonly starts: Array<(reply: StartReply) => void> = []
  readonly stops: StopOrder[] = []
  holdStarts = false

  async start (): Promise<StartReply> {
    return this.holdStarts ? await new Promise(resolve => { this.starts.push(resolve) }) : { kind: 'accepted' }
  }

  async stop (order: StopOrder): Promise<StopReply> {
    this.stops.push(order)
    return { kind: 'accepted' }
  }

  async poll (): Promise<PollReply> { return await new Promise(resolve => { this.polls.push(resolve) }) }
  close (): void {}
}

class RecordingObserver extends SessionObserver {
  readonly events: string[] = []

  override onStartAccepted (): void {}
  override onStartRejected (): void { this.events.push('rejected') }
  override onRunEnded (session: TargetSession, run: Run, how: string): void { this.events.push(`ended ${how}`) }
  override onTargetLost (): void {}
  override onRunLost (session: TargetSession, run: Run, reason: string): void { this.events.push(`lost ${reason}`) }
  override onStartUnconfirmed (): void { this.events.push('unconfirmed') }
  override onRunDiscovered (): void { this.events.push('found') }
  override onUnknownRunEnded (): void {}
  override onSuperseded (): void {}
  override getLeaseLimit (): number { return Infinity }
  override onError (error: unknown): void { throw error }
  override onTargetChanged (): void {}
}

function createView (clockMs: number, running: TargetView['running'], ended: TargetView['ended'], bornMs = 1): PollReply {
  return { kind: 'view', view: { clockMs, bornMs, running, ended } }
}

interface SessionFixture {
  readonly clock: ManualClock
  readonly connection: ScriptedConnection
  readonly observer: RecordingObserver
  readonly session: TargetSession
}

/** Starts a session whose target has answered a poll with a clock of 100 ms; the test answers its start orders. */
async function startSession (): Promise<SessionFixture> {
  const clock = new ManualClock()
  const connection = new ScriptedConnection()
  const observer = new RecordingObserver()
  const session = new TargetSession(info, connection, () => 16, clock, defaultFleetLimits, observer)
  session.start()
  connection.polls.shift()!(createView(100, [], []))
  connection.holdStarts = true
  await clock.advance(1)
  return { clock, connection, observer, session }
}

describe('a target session', () => {
  it('does not report an ended run as discovered when an older view arrives late', async () => {
    const clock = new ManualClock()
    const connection = new ScriptedConnection()
    const observer = new RecordingObserver()
    const session = new TargetSession(info, connection, () => 16, clock, defaultFleetLimits, observer)
    session.start()
    connection.polls.shift()!(createView(100, [], []))
    await flushMicrotasks()
    session.startRun('job.0.0.0', 1, '', demand)
    await flushMicrotasks()
    session.pollNow()
    const [waiting, extra] = connection.polls
    waiting!(createView(160, [], [{ number: 1, task: 'job.0.0.0', attempt: 1, how: 'done' }]))
    await flushMicrotasks()
    extra!(createView(150, [{ task: 'job.0.0.0', attempt: 1, percent: 80 }], []))
    await flushMicrotasks()
    session.close()
    assert.deepEqual(observer.events, ['ended done'])
    assert.equal(session.runs.size, 0)
  })

  it('keeps a run whose start order is in flight when the target restarts, until the new incarnation has accepted its stop', async () => {
    const { clock, connection, observer, session } = await startSession()
    session.startRun('job.0.0.0', 1, '', demand)
    await clock.advance(1)
    connection.polls.shift()!(createView(0, [], [], 2))
    await clock.advance(1)
    assert.deepEqual(observer.events, [])
    assert.deepEqual(connection.stops.map(stop => stop.task), ['job.0.0.0'])
    connection.polls.shift()!(createView(3, [], [], 2))
    await clock.advance(1)
    session.close()
    assert.deepEqual(observer.events, ['lost never-started'])
  })

  it('sends the new incarnation stop orders for unanswered start orders to an earlier one', async () => {
    const { clock, connection, observer, session } = await startSession()
    session.startRun('job.0.0.0', 1, '', demand)
    connection.starts.shift()!({ kind: 'no-answer', message: 'no reply' })
    await clock.advance(1)
    // The poll that was waiting was sent before the stop and proves nothing; the one sent after it does.
    for (let count = 0; count < 2; count++) {
      for (const reply of connection.polls.splice(0)) reply(createView(110, [], []))
      await clock.advance(1)
    }
    assert.deepEqual(observer.events, ['lost never-started'])
    const stopsBefore = connection.stops.length
    connection.polls.shift()!(createView(0, [], [], 2))
    assert.equal(session.isUsable(clock.now()), true)
    await flushMicrotasks()
    session.close()
    assert.deepEqual(connection.stops.slice(stopsBefore).map(stop => stop.task), ['job.0.0.0'])
  })

  it('does not give up an unanswered start order while its unreachable target may restart and carry it out', async () => {
    const { clock, connection, observer, session } = await startSession()
    session.startRun('job.0.0.0', 1, '', demand)
    connection.starts.shift()!({ kind: 'no-answer', message: 'no reply' })
    for (let elapsed = 0; elapsed < 5_000; elapsed += 50) {
      for (const reply of connection.polls.splice(0)) reply({ kind: 'no-answer', message: 'no reply' })
      await clock.advance(50)
    }
    assert.deepEqual(observer.events, ['unconfirmed'])
    for (let elapsed = 0; elapsed < 9_000; elapsed += 50) {
      for (const reply of connection.polls.splice(0)) reply({ kind: 'no-answer', message: 'no reply' })
      await clock.advance(50)
    }
    session.close()
    assert.deepEqual(observer.events, ['unconfirmed', 'lost lapsed'])
  })

  it('polls again when an answer is overdue, and does not count the target as unresponsive because of the lost answer', async () => {
    const { clock, connection, observer, session } = await startSession()
    connection.holdStarts = false
    session.startRun('job.0.0.0', 1, '', demand)
    connection.polls.shift()!(createView(101, [{ task: 'job.0.0.0', attempt: 1, percent: 1 }], []))
    await clock.advance(1)
    const lost = connection.polls.shift()!
    await clock.advance(220)
    connection.polls.shift()!(createView(320, [], [{ number: 1, task: 'job.0.0.0', attempt: 1, how: 'done' }]))
    await clock.advance(1)
    assert.deepEqual(observer.events, ['ended done'])
    lost({ kind: 'no-answer', message: 'no reply' })
    await clock.advance(1)
    assert.equal(session.isSilent, false)
    session.close()
  })
})
