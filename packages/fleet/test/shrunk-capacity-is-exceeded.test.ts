import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { type Dispatcher, type JobSpec, MetadataStore, NoopLog, type RowsReply, type TargetInfo, TargetList, type WatchReply, type WriteReply } from '../src/index.js'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

/** Processors of each task, and of the target before and after its capacity shrinks, in thousandths of a core. */
const taskProcessors = 14_000
const shrunkProcessors = 16_000

/** Time in milliseconds that a call of the store takes, as with hundreds of targets. */
const storeCallMs = 50

/** A store that lists one target. */
class ListingStore extends MetadataStore {
  info: TargetInfo
  readonly #clock: ManualClock
  #revision = 0

  constructor (clock: ManualClock, info: TargetInfo) {
    super()
    this.#clock = clock
    this.info = info
  }

  override async list (): Promise<RowsReply> {
    this.#revision++
    const revision = this.#revision
    await this.#wait(storeCallMs)
    return { kind: 'rows', rows: [{ key: this.info.id, value: '{}', revision }], revision }
  }

  override async read (): Promise<RowsReply> {
    return { kind: 'unavailable', message: 'not used by this test' }
  }

  override async watch (): Promise<WatchReply> {
    await this.#wait(10_000)
    return { kind: 'unavailable', message: 'not used by this test' }
  }

  override async write (): Promise<WriteReply> {
    return { kind: 'refused', message: 'not used by this test' }
  }

  async #wait (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.#clock.startTimer(ms, resolve) })
  }
}

interface Fixture {
  readonly clock: ManualClock
  readonly target: FakeTarget
  readonly dispatcher: Dispatcher
  readonly owner: FakeOwnerConnection
}

async function start (target = new FakeTarget('t'), info: TargetInfo = target.info): Promise<Fixture> {
  const clock = new ManualClock()
  const dispatcher = createDispatcher(clock, [target])
  const owner = new FakeOwnerConnection('o')
  dispatcher.addOwner(owner)
  dispatcher.updateTargets([info])
  await clock.advance(20)
  return { clock, target, dispatcher, owner }
}

function createLargeJob (id: string): JobSpec {
  const job = createJob(id)
  return { ...job, steps: [{ ...job.steps[0]!, demand: { processors: taskProcessors, memoryMb: 1, accelerators: 0 } }] }
}

function submit ({ dispatcher, owner }: Fixture, id: string, resubmitted = false): void {
  dispatcher.enqueueMessage(owner, { type: 'submit', job: createLargeJob(id), ageMs: 0, resubmitted, quietInMs: 0, done: [] })
}

function shrink (info: TargetInfo): TargetInfo {
  return { ...info, capacity: { ...info.capacity, processors: shrunkProcessors } }
}

/** Advances the clock while the owner answers heartbeats, so that tasks may start. */
async function advance ({ clock, dispatcher, owner }: Fixture, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 100) {
    dispatcher.enqueueMessage(owner, { type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: clock.now() })
    await clock.advance(100)
  }
}

// Guards against a start that brings a target over a capacity that has shrunk, where the target does not check it.
describe('a target whose capacity shrinks', () => {
  it('gets no start until enough of its runs have ended, and runs that are being stopped count', async () => {
    const fixture = await start()
    const { target, dispatcher, owner } = fixture
    for (const id of ['aaaaaaaaaaaaaaaa', 'bbbbbbbbbbbbbbbb']) submit(fixture, id)
    await advance(fixture, 100)
    assert.equal(target.starts.length, 2)
    dispatcher.updateTargets([shrink(target.info)])
    submit(fixture, 'cccccccccccccccc')
    dispatcher.enqueueMessage(owner, { type: 'cancel', jobId: 'aaaaaaaaaaaaaaaa', reason: 'test' })
    await advance(fixture, 300)
    assert.equal(target.stops.length, 1)
    assert.equal(target.starts.length, 2, 'a run is being stopped')
    target.running = target.running.filter(entry => !entry.task.startsWith('aaaa'))
    await advance(fixture, 300)
    assert.equal(target.starts.length, 2, 'the other run takes the capacity')
    target.running = []
    await advance(fixture, 300)
    assert.equal(target.starts.length, 3)
    dispatcher.stop()
  })

  it('gets no start while the answer to an earlier order is missing', async () => {
    const fixture = await start()
    const { target, dispatcher } = fixture
    target.answersStarts = false
    submit(fixture, 'aaaaaaaaaaaaaaaa')
    await advance(fixture, 100)
    dispatcher.updateTargets([shrink(target.info)])
    submit(fixture, 'bbbbbbbbbbbbbbbb')
    await advance(fixture, 100)
    assert.deepEqual(target.starts.filter(order => order.task.startsWith('bbbb')), [])
    dispatcher.stop()
  })

  it('gets no start from a successor while it has a run whose demand is not known', async () => {
    const target = new FakeTarget('t')
    target.running = [{ task: 'aaaaaaaaaaaaaaaa.0.0.0', attempt: 5, percent: 1 }]
    const fixture = await start(target, shrink(target.info))
    submit(fixture, 'bbbbbbbbbbbbbbbb')
    await advance(fixture, 100)
    assert.equal(target.starts.length, 0)
    submit(fixture, 'aaaaaaaaaaaaaaaa', true)
    await advance(fixture, 300)
    assert.equal(target.starts.length, 0, 'the adopted run takes the capacity')
    target.running = []
    await advance(fixture, 300)
    assert.equal(target.starts.length, 1, 'one task fits')
    fixture.dispatcher.stop()
  })

  it('gets no start by the list that a new dispatcher read long before it began', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const store = new ListingStore(clock, target.info)
    const list = new TargetList(store, 'targets', () => store.info, clock, new NoopLog(), () => 0.5)
    list.start()
    await clock.advance(1_000)
    store.info = shrink(target.info)
    await clock.advance(8_000)
    const dispatcher = createDispatcher(clock, [target], () => list.measureAgeMs())
    const fixture = { clock, target, dispatcher, owner: new FakeOwnerConnection('o') }
    dispatcher.addOwner(fixture.owner)
    list.addDispatcher(dispatcher)
    // The target has answered a poll, and the new list is on its way.
    await clock.advance(10)
    for (const id of ['aaaaaaaaaaaaaaaa', 'bbbbbbbbbbbbbbbb']) submit(fixture, id)
    await advance(fixture, 1_000)
    list.close()
    dispatcher.stop()
    assert.equal(target.starts.length, 1)
  })
})
