import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { defaultFleetLimits, type LossReason, type PollReply, type Run, SessionObserver, type StartReply, type StopReply, TargetConnection, type TargetInfo, TargetSession } from '../src/index.js'

const info: TargetInfo = { id: 't', address: 't', service: 's', domain: 'a', draining: false, capacity: { processors: 32_000, memoryMb: 100, accelerators: 0 }, labels: [], revision: 1 }

class LossObserver extends SessionObserver {
  readonly losses: LossReason[] = []

  override onStartAccepted (): void {}
  override onStartRejected (): void {}
  override onRunEnded (): void {}
  override onTargetLost (): void {}
  override onRunLost (session: TargetSession, run: Run, reason: LossReason): void { this.losses.push(reason) }
  override onStartUnconfirmed (): void {}
  override onRunDiscovered (): void {}
  override onUnknownRunEnded (): void {}
  override onSuperseded (): void {}
  override getLeaseLimit (): number { return Infinity }
  override onError (error: unknown): void { throw error }
  override onTargetChanged (): void {}
}

/** A connection that accepts all orders and whose polls the test answers. */
class ScriptedConnection extends TargetConnection {
  readonly polls: Array<(reply: PollReply) => void> = []

  override async start (): Promise<StartReply> { return { kind: 'accepted' } }
  override async stop (): Promise<StopReply> { return { kind: 'accepted' } }
  override async poll (): Promise<PollReply> { return await new Promise(resolve => { this.polls.push(resolve) }) }
  override close (): void {}

  answerPolls (reply: PollReply): void {
    for (const answer of this.polls.splice(0)) answer(reply)
  }
}

function createView (clockMs: number, bornMs: number): PollReply {
  return { kind: 'view', view: { clockMs, bornMs, running: [], ended: [] } }
}

/**
 * A poll without an answer may be carried out up to 12 s later in a later incarnation, whose clock has
 * started anew: its deadline lies in the future there and extends the leases by up to 1 s. Guards
 * against counting a run there as lapsed by the leases of the present incarnation's polls alone.
 */
describe('a run at a target that restarted after a poll without an answer', () => {
  it('does not count as lapsed while the poll may still extend its lease', async () => {
    const clock = new ManualClock()
    const connection = new ScriptedConnection()
    const observer = new LossObserver()
    const session = new TargetSession(info, connection, () => 16, clock, defaultFleetLimits, observer)
    session.start()
    connection.answerPolls(createView(500_000, 1))
    await clock.advance(1)
    connection.answerPolls({ kind: 'no-answer', message: 'no reply' })
    await clock.advance(60)
    connection.answerPolls(createView(5, 2))
    await clock.advance(1)
    session.startRun('job.0.0.0', 1, '', { processors: 1_000, memoryMb: 1, accelerators: 0 })
    await clock.advance(1)
    for (let elapsed = 0; elapsed < 3_000; elapsed += 50) {
      connection.answerPolls({ kind: 'no-answer', message: 'no reply' })
      await clock.advance(50)
    }
    session.close()
    assert.deepEqual(observer.losses, [])
  })
})
