import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { defaultFleetLimits, type PollReply, type Run, SessionObserver, type StartReply, type StopOrder, type StopReply, TargetConnection, type TargetInfo, TargetSession, UnansweredOrders } from '../src/index.js'

const info: TargetInfo = { id: 't', address: 't', service: 's', domain: 'a', draining: false, capacity: { processors: 32_000, memoryMb: 100, accelerators: 0 }, labels: [], revision: 1 }
const demand = { processors: 14_000, memoryMb: 1, accelerators: 0 }

class SilentObserver extends SessionObserver {
  override onStartAccepted (): void {}
  override onStartRejected (): void {}
  override onRunEnded (): void {}
  override onTargetLost (): void {}
  override onRunLost (): void {}
  override onStartUnconfirmed (): void {}
  override onRunDiscovered (): void {}
  override onUnknownRunEnded (): void {}
  override onSuperseded (): void {}
  override getLeaseLimit (): number { return Infinity }
  override onError (error: unknown): void { throw error }
  override onTargetChanged (): void {}
}

/** A connection without answers to start orders, whose polls and stop orders the test answers. */
class ScriptedConnection extends TargetConnection {
  readonly polls: Array<(reply: PollReply) => void> = []
  readonly stops: StopOrder[] = []
  stopReply: StopReply = { kind: 'accepted' }

  override async start (): Promise<StartReply> { return { kind: 'no-answer', message: 'no reply' } }

  override async stop (order: StopOrder): Promise<StopReply> {
    this.stops.push(order)
    return this.stopReply
  }

  override async poll (): Promise<PollReply> { return await new Promise(resolve => { this.polls.push(resolve) }) }
  override close (): void {}

  answerPolls (reply: PollReply): void {
    for (const answer of this.polls.splice(0)) answer(reply)
  }
}

function createView (clockMs: number, bornMs: number): PollReply {
  return { kind: 'view', view: { clockMs, bornMs, running: [], ended: [] } }
}

/** Starts a session with a start order that was not answered and whose stop the first incarnation has accepted. */
async function startSession (): Promise<{ readonly clock: ManualClock, readonly connection: ScriptedConnection, readonly session: TargetSession }> {
  const clock = new ManualClock()
  const connection = new ScriptedConnection()
  const session = new TargetSession(info, connection, () => 16, clock, defaultFleetLimits, new SilentObserver())
  session.start()
  connection.answerPolls(createView(100, 1))
  await clock.advance(1)
  session.startRun('job.0.0.0', 1, '', demand)
  for (let count = 0; count < 3; count++) {
    await clock.advance(1)
    connection.answerPolls(createView(110, 1))
  }
  await clock.advance(1)
  assert.equal(session.runs.size, 0)
  connection.stops.length = 0
  return { clock, connection, session }
}

/**
 * An order without an answer may be carried out up to 12 s later in a later incarnation of its target.
 * Guards against using an incarnation that has not accepted the stop of such an order.
 */
describe('an unanswered start order to an earlier incarnation', () => {
  it('is stopped in the next incarnation also if another target answered at the address in between', async () => {
    const { clock, connection, session } = await startSession()
    connection.answerPolls({ kind: 'rejected', reason: 'other-incarnation' })
    await clock.advance(100)
    connection.answerPolls(createView(5, 2))
    await clock.advance(1)
    session.close()
    assert.deepEqual(connection.stops.map(stop => stop.task), ['job.0.0.0'])
  })

  it('keeps the target unused while the target rejects the stop without a reason, such as for overload', async () => {
    const { clock, connection, session } = await startSession()
    connection.stopReply = { kind: 'rejected', reason: 'invalid' }
    connection.answerPolls(createView(5, 2))
    await clock.advance(50)
    const isUsable = session.isUsable(clock.now())
    session.close()
    assert.equal(connection.stops.length > 0, true)
    assert.equal(isUsable, false)
  })

  it('keeps the highest attempt of a task whose attempts were numbered from 1 again', () => {
    const orders = new UnansweredOrders(defaultFleetLimits.lateOrderMs)
    const createRun = (attempt: number, sentAt: number): Run => ({ task: 'job.0.0.0', name: undefined, attempt, demand, state: 'starting', sentAt, acceptedAt: undefined, stopAcceptedAt: undefined, startDeadlineMs: 0, sends: 1, unanswered: true, unconfirmed: false, percent: 0, progressAt: 0, stopSentAt: 0 })
    orders.record(createRun(1_027, 1_000))
    orders.record(createRun(1_025, 3_000))
    assert.equal(Math.max(...orders.list(4_000).map(order => order.attempt)), 1_027)
  })
})
