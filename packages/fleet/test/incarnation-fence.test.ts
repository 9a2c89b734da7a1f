import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { computeToken, createSessionContext, defaultFleetLimits, IncarnationTokens, type LossReason, type PollReply, type PollRequest, type Run, type RunningEntry, type SessionContext, SessionContexts, SessionObserver, type StartOrder, type StartReply, type StopOrder, type StopReply, TargetConnection, type TargetChange, type TargetInfo, TargetSession, tokensPerHolder } from '../src/index.js'

const info: TargetInfo = { id: 't', address: 't', service: 's', domain: 'a', draining: false, capacity: { processors: 32_000, memoryMb: 100, accelerators: 0 }, labels: [], revision: 1 }
const demand = { processors: 1_000, memoryMb: 1, accelerators: 0 }

class RecordingObserver extends SessionObserver {
  readonly losses: LossReason[] = []
  readonly changes: TargetChange[] = []
  supersededCount = 0

  override onStartAccepted (): void {}
  override onStartRejected (): void {}
  override onRunEnded (): void {}
  override onTargetLost (): void {}
  override onRunLost (session: TargetSession, run: Run, reason: LossReason): void { this.losses.push(reason) }
  override onStartUnconfirmed (): void {}
  override onRunDiscovered (): void {}
  override onUnknownRunEnded (): void {}
  override onSuperseded (): void { this.supersededCount++ }
  override getLeaseLimit (): number { return Infinity }
  override onError (error: unknown): void { throw error }
  override onTargetChanged (session: TargetSession, change: TargetChange): void { this.changes.push(change) }
}

/** A target that refuses lower tokens than it has seen in its incarnation, at a round-trip time of 2 ms. */
class FencingTarget extends TargetConnection {
  bornMs = 1
  isReachable = true
  /** Time in milliseconds by which the next poll is delayed; its reply is not lost. */
  pollDelayMs = 0
  readonly polls: PollRequest[] = []
  running: RunningEntry[] = []
  readonly #clock: ManualClock
  #highestToken = 0
  #startedAt = 0

  constructor (clock: ManualClock) {
    super()
    this.#clock = clock
  }

  restart (): void {
    this.bornMs++
    this.#highestToken = 0
    this.#startedAt = this.#clock.now()
    this.running = []
  }

  /** @returns whether a request with the token is accepted when it arrives now */
  accepts (token: number): boolean {
    if (token < this.#highestToken) return false
    this.#highestToken = token
    return true
  }

  override async start (order: StartOrder, timeoutMs: number): Promise<StartReply> {
    return await this.#serve(timeoutMs, 0, 0, () => {
      if (!this.accepts(order.token)) return { kind: 'rejected', reason: 'superseded' }
      this.running.push({ task: order.task, attempt: order.attempt, percent: 1 })
      return { kind: 'accepted' }
    })
  }

  override async stop (order: StopOrder, timeoutMs: number): Promise<StopReply> {
    return await this.#serve(timeoutMs, 0, 0, () => this.accepts(order.token) ? { kind: 'accepted' } : { kind: 'rejected', reason: 'superseded' })
  }

  override async poll (request: PollRequest, timeoutMs: number): Promise<PollReply> {
    this.polls.push(request)
    const delayMs = this.pollDelayMs
    this.pollDelayMs = 0
    return await this.#serve<PollReply>(timeoutMs, delayMs, request.waitMs, () => {
      if (!this.accepts(request.token)) return { kind: 'rejected', reason: 'superseded' }
      return { kind: 'view', view: { clockMs: Math.floor(this.#clock.now() - this.#startedAt), bornMs: this.bornMs, running: this.running, ended: [] } }
    })
  }

  override close (): void {}

  async #serve<T> (timeoutMs: number, delayMs: number, waitMs: number, serve: () => T): Promise<T | { readonly kind: 'no-answer', readonly message: string }> {
    await this.#sleep(1 + delayMs)
    if (!this.isReachable) {
      await this.#sleep(timeoutMs)
      return { kind: 'no-answer', message: 'no reply' }
    }
    await this.#sleep(waitMs)
    const reply = serve()
    await this.#sleep(1)
    return reply
  }

  async #sleep (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.#clock.startTimer(ms, resolve) })
  }
}

interface Fixture {
  readonly clock: ManualClock
  readonly target: FencingTarget
  readonly observer: RecordingObserver
  readonly session: TargetSession
  token: number
  tokenRequests: number
}

async function startSession (): Promise<Fixture> {
  const clock = new ManualClock()
  const fixture = { clock, target: new FencingTarget(clock), observer: new RecordingObserver(), token: 16, tokenRequests: 0 }
  const tokens = new IncarnationTokens(() => fixture.token, () => { fixture.tokenRequests++ })
  const context: SessionContext = { ...createSessionContext(() => fixture.token, defaultFleetLimits.lateOrderMs), tokens }
  const session = new TargetSession(info, fixture.target, () => fixture.token, clock, defaultFleetLimits, fixture.observer, context)
  session.start()
  await clock.advance(10)
  return Object.assign(fixture, { session })
}

/**
 * Requests that an incarnation left unanswered may reach the next one up to 12 s later. Guards against an incarnation that
 * still carries them out when a task has started there.
 */
describe('requests to an earlier incarnation of a target', () => {
  it('are refused by the later one before a task starts there', async () => {
    const { clock, target, session } = await startSession()
    const earlier = target.polls.at(-1)!.token
    target.restart()
    for (let elapsed = 0; elapsed < 2_000 && !(session.bornMs === 2 && session.isUsable(clock.now())); elapsed++) await clock.advance(1)
    assert.equal(session.isUsable(clock.now()), true)
    assert.equal(target.accepts(earlier), false)
    session.close()
  })

  it('do not delay the loss of a run there', async () => {
    const { clock, target, observer, session } = await startSession()
    target.restart()
    await clock.advance(1_000)
    session.startRun('job.0.0.0', 1, '', demand)
    await clock.advance(5)
    target.isReachable = false
    await clock.advance(1_800)
    session.close()
    assert.deepEqual(observer.losses, ['lapsed'])
  })

  it('keep the target unused when all tokens are used, until they are too old', async () => {
    const { clock, target, observer, session } = await startSession()
    for (let restarts = 1; restarts < tokensPerHolder; restarts++) {
      target.restart()
      await clock.advance(1_000)
      assert.equal(session.isUsable(clock.now()), true)
    }
    target.restart()
    await clock.advance(1_000)
    assert.equal(observer.changes.includes('held'), true)
    assert.equal(session.isUsable(clock.now()), false)
    const pollCount = target.polls.length
    await clock.advance(11_000)
    assert.equal(session.isUsable(clock.now()), false)
    assert.equal(target.polls.length - pollCount < 200, true)
    await clock.advance(3_000)
    assert.equal(session.isUsable(clock.now()), true)
    session.close()
  })

  it('are fenced at once by a higher token of the dispatcher, which is asked for in time', async () => {
    const fixture = await startSession()
    const { clock, target, session } = fixture
    for (let restarts = 0; restarts < tokensPerHolder; restarts++) {
      target.restart()
      await clock.advance(1_000)
    }
    assert.equal(fixture.tokenRequests > 0, true)
    assert.equal(session.isUsable(clock.now()), false)
    fixture.token = 32
    await clock.advance(1_000)
    assert.equal(session.isUsable(clock.now()), true)
    session.close()
  })

  it('are no sign of another dispatcher when they are refused', async () => {
    const { clock, target, observer, session } = await startSession()
    target.restart()
    const { token } = target.polls.at(-1)!
    await clock.advance(1)
    target.pollDelayMs = 248
    // Sent just before the answer that shows the restart, and refused after the next poll has arrived.
    await clock.advance(440)
    session.pollNow()
    await clock.advance(1_000)
    session.close()
    assert.equal(target.accepts(token), false)
    assert.equal(observer.supersededCount, 0)
  })
})

describe('fencing tokens', () => {
  it('of a later dispatcher are above all that an earlier one may use', () => {
    const lists = [computeToken(7), computeToken(7, 1), computeToken(7, 2), computeToken(7, 3), computeToken(8)].map(token => {
      const tokens = new IncarnationTokens(() => token)
      return Array.from({ length: 20 }, (_, index) => {
        tokens.beginIncarnation(index)
        return tokens.take(true)
      })
    })
    for (const [index, list] of lists.slice(1).entries()) assert.equal(Math.min(...list) > Math.max(...lists[index]!), true)
  })

  it('of a later session with the target are not below those of an earlier one', () => {
    const tokens = new IncarnationTokens(() => 16)
    tokens.beginIncarnation(1)
    tokens.take(true)
    const required = tokens.beginIncarnation(2)
    tokens.take(true)
    assert.equal(tokens.beginIncarnation(2), required)
    assert.equal(tokens.take(true), 17)
  })

  it('of a target that was evicted from the contexts are not below those that it has seen', () => {
    const contexts = new SessionContexts(defaultFleetLimits.lateOrderMs, () => 16, () => {}, () => 0)
    const { tokens } = contexts.find('t')
    tokens.take(true)
    tokens.beginIncarnation(1)
    tokens.beginIncarnation(2)
    const highest = tokens.take(true)
    for (let index = 0; index < 10_000; index++) contexts.find(`other-${index}`)
    assert.notEqual(contexts.find('t').tokens, tokens)
    assert.ok(contexts.find('t').tokens.take(true) >= highest)
  })
})
