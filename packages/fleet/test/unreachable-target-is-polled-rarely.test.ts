import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { createSessionContext, defaultFleetLimits, type PollReply, PollPacer, type SessionContext, SessionObserver, type StartReply, type StopReply, TargetConnection, type TargetInfo, TargetSession } from '../src/index.js'

const info: TargetInfo = { id: 't', address: 't', service: 's', domain: 'a', draining: false, capacity: { processors: 32_000, memoryMb: 100, accelerators: 0 }, labels: [], revision: 1 }

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

/** A target that answers no start orders, and whose host refuses connections from some time on. */
class CrashingTarget extends TargetConnection {
  isDown = false
  pollCount = 0
  bornMs = 1
  /** Tokens of the polls that an incarnation has received. */
  readonly tokens: number[] = []
  readonly #clock: ManualClock

  constructor (clock: ManualClock) {
    super()
    this.#clock = clock
  }

  override async start (): Promise<StartReply> { return { kind: 'no-answer', message: 'no reply' } }
  override async stop (): Promise<StopReply> { return this.isDown ? { kind: 'no-answer', message: 'no reply' } : { kind: 'accepted' } }

  override async poll ({ token }: { readonly token: number }): Promise<PollReply> {
    this.pollCount++
    await new Promise<void>(resolve => { this.#clock.startTimer(2, resolve) })
    if (this.isDown) return { kind: 'not-sent', message: 'ECONNREFUSED', isRefused: true }
    this.tokens.push(token)
    return { kind: 'view', view: { clockMs: 1 + Math.floor(this.#clock.now()), bornMs: this.bornMs, running: [], ended: [] } }
  }

  override close (): void {}
}

/** Starts sessions whose targets crash together, each with or without an order that was not answered. */
async function crashTargets (count: number, hasOrder: boolean): Promise<{ readonly clock: ManualClock, readonly targets: readonly CrashingTarget[], readonly stop: () => void }> {
  const clock = new ManualClock()
  const pollPacer = new PollPacer()
  const targets = Array.from({ length: count }, () => new CrashingTarget(clock))
  const sessions = targets.map(target => {
    const context: SessionContext = { ...createSessionContext(() => 16, defaultFleetLimits.lateOrderMs), pollPacer }
    return new TargetSession(info, target, () => 16, clock, defaultFleetLimits, new SilentObserver(), context)
  })
  for (const session of sessions) session.start()
  await clock.advance(10)
  if (hasOrder) for (const session of sessions) session.startRun('job.0.0.0', 1, '', { processors: 1_000, memoryMb: 1, accelerators: 0 })
  await clock.advance(1)
  for (const target of targets) {
    target.isDown = true
    target.pollCount = 0
  }
  return { clock, targets, stop: () => { for (const session of sessions) session.close() } }
}

function countPolls (targets: readonly CrashingTarget[]): number {
  return targets.reduce((sum, target) => sum + target.pollCount, 0)
}

/**
 * A target that crashed may carry out an unanswered order when it starts again, before the first poll of it. Guards against
 * the long time between polls of an unreachable target, and against the cost of short ones when many targets are down.
 */
describe('polls of a target that has crashed under an unanswered order', () => {
  it('meet its next incarnation within 15 ms, with a token that fences the order', async () => {
    const { clock, targets: [target], stop } = await crashTargets(1, true)
    await clock.advance(3_000)
    target!.tokens.length = 0
    target!.isDown = false
    target!.bornMs = 2
    await clock.advance(15)
    stop()
    assert.ok(target!.tokens[0]! > 16)
  })

  it('become rare again when the order is too old', async () => {
    const { clock, targets, stop } = await crashTargets(1, true)
    await clock.advance(14_000)
    targets[0]!.pollCount = 0
    await clock.advance(4_000)
    stop()
    assert.ok(countPolls(targets) <= 11, `${countPolls(targets)} polls`)
  })

  it('are rare when no order is unanswered', async () => {
    const { clock, targets, stop } = await crashTargets(1, false)
    await clock.advance(4_000)
    stop()
    assert.ok(countPolls(targets) <= 14, `${countPolls(targets)} polls`)
  })

  it('are limited to about 330 a second when 100 targets are down', async () => {
    const { clock, targets, stop } = await crashTargets(100, true)
    await clock.advance(1_000)
    for (const target of targets) target.pollCount = 0
    await clock.advance(4_000)
    stop()
    assert.ok(countPolls(targets) <= 1_500, `${countPolls(targets)} polls`)
  })
})
