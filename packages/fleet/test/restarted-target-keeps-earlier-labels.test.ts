import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { type Dispatcher, type JobSpec, type TargetInfo } from '../src/index.js'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

interface Fixture {
  readonly clock: ManualClock
  readonly target: FakeTarget
  readonly dispatcher: Dispatcher
  readonly owner: FakeOwnerConnection
  listAgeMs: number
  listRequests: number
}

function describeTarget (bornMs: number, label: string, processors = 32_000): TargetInfo {
  const { info } = new FakeTarget('t')
  return { ...info, bornMs, labels: [label], capacity: { ...info.capacity, processors }, revision: bornMs }
}

async function start (): Promise<Fixture> {
  const clock = new ManualClock()
  const target = new FakeTarget('t')
  const owner = new FakeOwnerConnection('o')
  const counts = { listAgeMs: 0, listRequests: 0 }
  const dispatcher = createDispatcher(clock, [target], () => counts.listAgeMs, { requestList: () => { counts.listRequests++ } })
  dispatcher.addOwner(owner)
  dispatcher.updateTargets([describeTarget(1, 'kind-a')])
  await clock.advance(20)
  return Object.assign(counts, { clock, target, owner, dispatcher })
}

function submit ({ dispatcher, owner }: Fixture, id: string, changes: { readonly requiredLabel?: string, readonly processors?: number } = {}): void {
  const job = createJob(id)
  const { processors = 1_000, ...label } = changes
  const step: JobSpec['steps'][number] = { ...job.steps[0]!, demand: { processors, memoryMb: 1, accelerators: 0 }, ...label }
  dispatcher.enqueueMessage(owner, { type: 'submit', job: { ...job, steps: [step] }, ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
}

/** Advances the clock while the owner answers heartbeats, so that tasks may start. */
async function advance ({ clock, dispatcher, owner }: Fixture, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 50) {
    dispatcher.enqueueMessage(owner, { type: 'heartbeat-reply', configurationVersion: 0, heardSentAt: clock.now() })
    await clock.advance(50)
  }
}

async function restart (fixture: Fixture): Promise<void> {
  fixture.target.bornMs = 2
  fixture.target.startedAt = fixture.clock.now()
  await advance(fixture, 600)
}

/**
 * A target may start again under its id with other labels, another service or less capacity. Guards against tasks that start
 * there by the entry of the earlier incarnation.
 */
describe('a target that restarts as another kind', () => {
  it('gets no task that requires a label of the earlier incarnation', async () => {
    const fixture = await start()
    await restart(fixture)
    submit(fixture, 'aaaaaaaaaaaaaaaa', { requiredLabel: 'kind-a' })
    submit(fixture, 'bbbbbbbbbbbbbbbb')
    await advance(fixture, 500)
    assert.equal(fixture.target.starts.length, 0)
    fixture.dispatcher.updateTargets([describeTarget(2, 'kind-b')])
    await advance(fixture, 500)
    assert.deepEqual(fixture.target.starts.map(order => order.task), ['bbbbbbbbbbbbbbbb.0.0.0'])
    fixture.dispatcher.stop()
  })

  it('has its entry read at once, and seldom while it does not write one', async () => {
    const fixture = await start()
    await advance(fixture, 1_000)
    assert.equal(fixture.listRequests, 0)
    await restart(fixture)
    assert.ok(fixture.listRequests >= 1)
    await advance(fixture, 20_000)
    assert.ok(fixture.listRequests <= 40, `${fixture.listRequests} reads`)
    fixture.dispatcher.stop()
  })

  it('gets tasks without a label, up to the smallest known capacity, while the store is away', async () => {
    const fixture = await start()
    fixture.dispatcher.updateTargets([describeTarget(1, 'kind-a', 8_000)])
    fixture.dispatcher.updateTargets([describeTarget(1, 'kind-a')])
    fixture.listAgeMs = 5_000
    await restart(fixture)
    await advance(fixture, 300)
    submit(fixture, 'aaaaaaaaaaaaaaaa', { requiredLabel: 'kind-a' })
    submit(fixture, 'bbbbbbbbbbbbbbbb', { processors: 5_000 })
    submit(fixture, 'cccccccccccccccc', { processors: 5_000 })
    await advance(fixture, 800)
    assert.deepEqual(fixture.target.starts.map(order => order.task), ['bbbbbbbbbbbbbbbb.0.0.0'])
    const rejected = fixture.owner.received.flatMap(message => message.type === 'rejected' ? [`${message.jobId} ${message.reason}`] : [])
    assert.deepEqual(rejected, ['aaaaaaaaaaaaaaaa fits-no-target'])
    fixture.dispatcher.stop()
  })

  it('gets no task by an entry that is newer than the incarnation that answers', async () => {
    const fixture = await start()
    fixture.dispatcher.updateTargets([describeTarget(2, 'kind-b')])
    submit(fixture, 'aaaaaaaaaaaaaaaa', { requiredLabel: 'kind-b' })
    await advance(fixture, 500)
    assert.equal(fixture.target.starts.length, 0)
    await restart(fixture)
    await advance(fixture, 1_000)
    assert.equal(fixture.target.starts.length, 1)
    fixture.dispatcher.stop()
  })
})
