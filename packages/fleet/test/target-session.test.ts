import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock, runMessages } from '@sesamereel/coordination'
import { defaultFleetLimits, type LookReply, type Run, SessionObserver, type StartReply, type StopReply, type TargetConnection, type TargetInfo, TargetSession, type TargetView } from '../src/index.js'

const info: TargetInfo = { id: 't', address: 't', service: 's', domain: 'a', draining: false, capacity: { processors: 32_000, memoryMb: 100, accelerators: 0 }, labels: [], revision: 1 }

const demand = { processors: 14_000, memoryMb: 1, accelerators: 0 }

/** A connection whose looks are answered by the test, in any order. */
class ScriptedConnection implements TargetConnection {
  readonly looks: Array<(reply: LookReply) => void> = []

  async start (): Promise<StartReply> { return { kind: 'accepted' } }
  async stop (): Promise<StopReply> { return { kind: 'accepted' } }
  async look (): Promise<LookReply> { return await new Promise(resolve => { this.looks.push(resolve) }) }
  close (): void {}
}

class RecordingObserver extends SessionObserver {
  readonly events: string[] = []

  override onAccepted (): void {}
  override onRejected (): void { this.events.push('rejected') }
  override onEnded (session: TargetSession, run: Run, how: string): void { this.events.push(`ended ${how}`) }
  override onLost (session: TargetSession, run: Run, reason: string): void { this.events.push(`lost ${reason}`) }
  override onFound (): void { this.events.push('found') }
  override onUnknownEnd (): void {}
  override onSuperseded (): void {}
  override onFault (error: unknown): void { throw error }
  override onChanged (): void {}
}

function createView (clock: number, running: TargetView['running'], ended: TargetView['ended']): LookReply {
  return { kind: 'view', view: { clock, bornMs: 1, running, ended } }
}

describe('a target session', () => {
  it('does not take an ended run for a found one when an older view arrives late', async () => {
    const clock = new ManualClock()
    const connection = new ScriptedConnection()
    const observer = new RecordingObserver()
    const session = new TargetSession(info, connection, () => 16, clock, defaultFleetLimits, observer)
    session.start()
    connection.looks.shift()!(createView(100, [], []))
    await runMessages()
    session.startRun('job.0.0.0', 1, '', demand)
    await runMessages()
    session.lookNow()
    const [waiting, extra] = connection.looks
    waiting!(createView(160, [], [{ number: 1, task: 'job.0.0.0', attempt: 1, how: 'done' }]))
    await runMessages()
    extra!(createView(150, [{ task: 'job.0.0.0', attempt: 1, percent: 80 }], []))
    await runMessages()
    session.close()
    assert.deepEqual(observer.events, ['ended done'])
    assert.equal(session.runs.size, 0)
  })
})
