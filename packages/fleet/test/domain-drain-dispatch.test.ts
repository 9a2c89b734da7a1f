import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { flushMicrotasks, ManualClock } from '@sesamereel/coordination'
import { type Dispatcher, DomainDrains, type DispatcherMessage, type JobSpec, NoopLog } from '../src/index.js'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'
import { createOwner, FakeConnection, spec } from './owner-fixture.js'

const drainBoundMs = 5_000
const row = { key: 'drain/a', domain: 'a', revision: 5 }

/** A dispatcher of domain `a` and what it knows of drains. */
class Fixture {
  readonly clock = new ManualClock()
  readonly target = new FakeTarget('t')
  readonly owner = new FakeOwnerConnection('o')
  readonly drains: DomainDrains
  readonly dispatcher: Dispatcher

  /** @param readList - whether the store answers the list that a new dispatcher requests; without the drain */
  constructor (readList = true, isEnabled = true) {
    this.drains = new DomainDrains({ instance: 'i', domains: ['a', 'b'], drainBoundMs: isEnabled ? drainBoundMs : undefined, clock: this.clock, log: new NoopLog() })
    this.dispatcher = createDispatcher(this.clock, [this.target, new FakeTarget('joined')], () => 0, { drains: { state: this.drains, read: () => { if (readList) this.drains.applyList([], 1, this.clock.readElapsed()) } } })
    this.dispatcher.addOwner(this.owner)
    this.dispatcher.updateTargets([this.target.info])
  }

  submit (job: JobSpec, resubmitted = false): void {
    this.dispatcher.enqueueMessage(this.owner, { type: 'submit', submissionId: 1, job, ageMs: 0, resubmitted, quietInMs: 0, done: [] })
  }

  drain (): void {
    this.drains.applyChanges([{ ...row, deleted: false }])
  }

  withdraw (): void {
    this.drains.applyChanges([{ ...row, revision: 6, deleted: true }])
  }

  async advance (ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 50) {
      this.dispatcher.enqueueMessage(this.owner, { type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: this.clock.now() })
      await this.clock.advance(50)
    }
  }

  listReplies (type: 'rejected' | 'ended'): ReadonlyArray<Extract<DispatcherMessage, { type: 'rejected' | 'ended' }>> {
    return this.owner.received.filter((message): message is Extract<DispatcherMessage, { type: 'rejected' | 'ended' }> => message.type === type)
  }
}

/** A clock whose elapsed time can run ahead at once, as after a suspension. */
class PausingClock extends ManualClock {
  pausedMs = 0
  override readElapsed (): number { return this.now() + this.pausedMs }
}

/** @returns a job of which two tasks fit the target at a time */
function createWideJob (id: string, count: number): JobSpec {
  const job = createJob(id)
  return { ...job, steps: [{ ...job.steps[0]!, count, demand: { processors: 16_000, memoryMb: 1, accelerators: 0 } }] }
}

describe('dispatcher of a drained domain', () => {
  it('rejects new jobs and returns queued ones, with proof that nothing has started, and resumes after the withdrawal', async () => {
    const fixture = new Fixture()
    await fixture.advance(50)
    fixture.submit(createWideJob('aaaaaaaaaaaaaaaa', 2))
    await fixture.advance(50)
    fixture.submit(createWideJob('bbbbbbbbbbbbbbbb', 1))
    await fixture.advance(50)
    fixture.drain()
    // No target serves it, which does not matter while the domain is drained.
    fixture.submit({ ...createWideJob('cccccccccccccccc', 1), service: 'other' })
    await flushMicrotasks()
    const rejected = fixture.listReplies('rejected')
    assert.deepEqual(rejected.map(reply => [reply.jobId.slice(0, 1), 'reason' in reply ? reply.reason : '']).sort(), [['b', 'draining'], ['c', 'draining']])
    assert.equal(fixture.target.starts.length, 2)
    assert.equal(fixture.target.stops.length, 0, 'runs continue')
    assert.equal(fixture.dispatcher.summarizeLoad().runs, 2)
    fixture.dispatcher.enqueueMessage(fixture.owner, { type: 'cancel', jobId: 'aaaaaaaaaaaaaaaa', reason: 'test', submissionId: 1 })
    fixture.target.running = []
    fixture.withdraw()
    fixture.submit(createWideJob('dddddddddddddddd', 1))
    await fixture.advance(200)
    assert.equal(fixture.target.starts.at(-1)?.task.startsWith('dddd'), true)
    fixture.dispatcher.stop()
  })

  // Guards against a task that starts later than the bound, and against a started job that is reported as not run.
  it('starts the remaining tasks of a started job until a second before the bound, and then ends it as unknown', async () => {
    const fixture = new Fixture()
    await fixture.advance(1_000)
    fixture.submit(createWideJob('aaaaaaaaaaaaaaaa', 4))
    await fixture.advance(50)
    assert.equal(fixture.target.starts.length, 2)
    fixture.drain()
    await fixture.advance(500)
    fixture.target.running = fixture.target.running.slice(1)
    await fixture.advance(500)
    assert.equal(fixture.target.starts.length, 3, 'a started job goes on')
    await fixture.advance(2_500)
    fixture.target.running = []
    await fixture.advance(3_000)
    assert.equal(fixture.target.starts.length, 3)
    assert.deepEqual(fixture.listReplies('ended').map(reply => 'outcome' in reply ? reply.outcome : ''), [{ kind: 'unknown', reason: 'draining' }])
    assert.deepEqual(fixture.listReplies('rejected'), [])
    fixture.dispatcher.stop()
  })

  // Guards against a successor that starts tasks of a resubmitted job, or rejects it as not run.
  it('starts nothing if it began during the drain, also at a target that joins, and lets found runs end', async () => {
    const fixture = new Fixture(false)
    fixture.drains.applyList([row], 5, 0)
    fixture.target.running = [{ task: 'aaaaaaaaaaaaaaaa.0.0.0', attempt: 5, percent: 1 }]
    await fixture.advance(50)
    fixture.submit(createWideJob('aaaaaaaaaaaaaaaa', 2), true)
    fixture.submit(createWideJob('bbbbbbbbbbbbbbbb', 1))
    await fixture.advance(500)
    fixture.dispatcher.updateTargets([fixture.target.info, new FakeTarget('joined').info])
    await fixture.advance(2_000)
    assert.deepEqual([fixture.target.starts, fixture.target.stops], [[], []])
    assert.deepEqual(fixture.dispatcher.listSessions().map(session => session.info.id), ['t', 'joined'])
    assert.deepEqual(fixture.listReplies('ended'), [], 'a run of the job lives')
    fixture.target.running = []
    await fixture.advance(3_000)
    assert.deepEqual(fixture.listReplies('ended').map(reply => reply.jobId.slice(0, 1)), ['a'])
    assert.deepEqual(fixture.listReplies('rejected').map(reply => reply.jobId.slice(0, 1)), ['b'])
    assert.equal(fixture.dispatcher.listSessions().every(session => session.runs.size === 0), true)
    fixture.dispatcher.stop()
  })

  // Guards against a start between the takeover and the first news of a drain, and against one that waits for a store that is down.
  it('waits for the state before its first start, at most 300 ms', async () => {
    for (const [doesPeerTell, starts] of [[true, 0], [false, 1]] as const) {
      const fixture = new Fixture(false)
      fixture.submit(createWideJob('aaaaaaaaaaaaaaaa', 1))
      await fixture.advance(250)
      assert.equal(fixture.target.starts.length, 0)
      if (doesPeerTell) fixture.drains.receive({ drains: { listRevision: 9, readMsAgo: 100, entries: [{ domain: 'a', isDrained: true, rowRevision: 8, seenRevision: 9 }] } }, 'peer')
      await fixture.advance(200)
      assert.equal(fixture.target.starts.length, starts)
      assert.equal(fixture.listReplies('rejected').length, 1 - starts)
      fixture.dispatcher.stop()
    }
  })

  // After a pause of the process, timers and the own owner's jobs come before any news; a drain may be due since.
  it('waits for the state again after a pause of its process', async () => {
    const fixture = new Fixture()
    await fixture.advance(50)
    fixture.dispatcher.stop()
    let readCount = 0
    const clock = new PausingClock()
    const drains = new DomainDrains({ instance: 'i', domains: ['a'], drainBoundMs, clock, log: new NoopLog() })
    const dispatcher = createDispatcher(clock, [fixture.target], () => 0, { drains: { state: drains, read: () => { if (++readCount === 1) drains.applyList([], 1, clock.readElapsed()) } } })
    dispatcher.addOwner(fixture.owner)
    dispatcher.updateTargets([fixture.target.info])
    await clock.advance(100)
    clock.pausedMs = 6_000
    const submit = async (): Promise<void> => {
      dispatcher.enqueueMessage(fixture.owner, { type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: clock.readElapsed() })
      dispatcher.enqueueMessage(fixture.owner, { type: 'submit', submissionId: 1, job: createJob('a'.repeat(16)), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
      await clock.advance(100)
    }
    await submit()
    assert.deepEqual([fixture.target.starts.length, readCount], [0, 2])
    drains.applyList([row], 5, clock.readElapsed())
    await clock.advance(50)
    assert.equal(fixture.listReplies('rejected').length, 1)
    dispatcher.stop()
  })

  // The list of an instance that the store refuses is old, so the request may be due when a peer tells it.
  it('starts nothing if it learns of the drain when the bound has passed', async () => {
    const fixture = new Fixture()
    await fixture.advance(4_500)
    fixture.submit(createWideJob('aaaaaaaaaaaaaaaa', 3))
    await fixture.advance(50)
    fixture.drains.receive({ drains: { listRevision: 9, readMsAgo: 100, entries: [{ domain: 'a', isDrained: true, rowRevision: 8, seenRevision: 9 }] } }, 'peer')
    fixture.target.running = []
    await fixture.advance(3_000)
    assert.equal(fixture.target.starts.length, 2)
    assert.equal(fixture.listReplies('ended').length, 1)
    fixture.dispatcher.stop()
  })

  it('decides as without the module if domains can\'t be drained', async () => {
    const play = async (fixture: Fixture): Promise<unknown> => {
      fixture.submit(createWideJob('aaaaaaaaaaaaaaaa', 3))
      await fixture.advance(100)
      fixture.drain()
      fixture.submit(createWideJob('bbbbbbbbbbbbbbbb', 1))
      fixture.target.running = []
      await fixture.advance(7_000)
      fixture.dispatcher.stop()
      return [fixture.owner.received, fixture.target.starts, fixture.target.stops]
    }
    const plain = new Fixture(false, false)
    const dispatcher = createDispatcher(plain.clock, [plain.target])
    plain.dispatcher.stop()
    dispatcher.addOwner(plain.owner)
    dispatcher.updateTargets([plain.target.info])
    plain.owner.received.length = 0
    const withoutModule = Object.assign(Object.create(plain) as Fixture, { dispatcher })
    const off = new Fixture(false, false)
    off.owner.received.length = 0
    assert.deepEqual(await play(off), await play(withoutModule))
  })
})

describe('owner', () => {
  const load = { freeProcessors: 100_000, usableProcessors: 100_000, waitMs: 0, queuedJobs: 0, largestFree: 32_000 }

  function createDrains (clock: ManualClock, drained: readonly string[]): DomainDrains {
    const drains = new DomainDrains({ instance: 'i', domains: ['a', 'b'], drainBoundMs, clock, log: new NoopLog() })
    drains.applyList(drained.map(domain => ({ key: `drain/${domain}`, domain, revision: 5 })), 5, 0)
    return drains
  }

  it('submits no job to a drained domain and moves none there', async () => {
    const clock = new ManualClock()
    const [a, b] = [new FakeConnection('a'), new FakeConnection('b')]
    const owner = createOwner(clock, [a, b], createDrains(clock, ['a']))
    owner.submit(spec, 10_000).answer.catch(() => {})
    await clock.advance(50)
    assert.deepEqual([a.sent.length, b.sent.map(message => message.type)], [0, ['submit']])
    owner.onLoadChanged(Object.assign(a, { load }).asConnection())
    assert.equal(b.sent.length, 1)
    owner.close()
  })

  it('rejects a job at once if all connected domains are drained, also when a dispatcher tells it so', async () => {
    const clock = new ManualClock()
    const [a, b] = [new FakeConnection('a'), new FakeConnection('b')]
    const drains = createDrains(clock, ['b'])
    const owner = createOwner(clock, [a, b], drains)
    const first = owner.submit(spec, 10_000)
    const submission = a.sent[0]!
    assert.equal(submission.type, 'submit')
    owner.onDispatcherMessage(a.asConnection(), { type: 'rejected', jobId: spec.id, reason: 'draining', retryAfterMs: 1_000 })
    assert.deepEqual(await first.answer, { kind: 'rejected', reason: 'no-target', retryAfterMs: 1_000 })
    drains.applyList([{ key: 'a', domain: 'a', revision: 7 }, { key: 'b', domain: 'b', revision: 5 }], 7, 0)
    assert.deepEqual(await owner.submit({ ...spec, id: 'a'.repeat(16) }, 10_000).answer, { kind: 'rejected', reason: 'no-target', retryAfterMs: 1_000 })
    drains.applyList([], 8, 0)
    owner.submit({ ...spec, id: 'b'.repeat(16) }, 10_000).answer.catch(() => {})
    assert.equal(a.sent.length, 2)
    owner.close()
  })

  // A job that may have started goes back to the dispatcher that may run it, although the domain is drained.
  it('submits a job again to a drained domain that may run it', async () => {
    const clock = new ManualClock()
    const [a, b] = [new FakeConnection('a'), new FakeConnection('b')]
    a.lingering = spec.id
    const owner = createOwner(clock, [a, b], createDrains(clock, ['a']))
    owner.submit(spec, 10_000).answer.catch(() => {})
    assert.deepEqual([a.sent.length, b.sent.length], [1, 0])
    owner.close()
  })
})
