import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { type OwnerMessage, type TargetLoss, type TaskLosses } from '../src/index.js'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'
import { createOwner, FakeConnection, spec } from './owner-fixture.js'

const jobId = 'c0ffee0000000001'
const task = `${jobId}.0.0.0`

function createLoss (target: string, changes: Partial<TargetLoss> = {}): TargetLoss {
  return { target, bornMs: 1, evidence: 'refused', isAlone: true, ...changes }
}

/** Submits a job to a dispatcher with one target, and runs it for a while. */
async function submit (losses: TaskLosses | undefined): Promise<{ readonly received: FakeOwnerConnection['received'], readonly starts: number }> {
  const clock = new ManualClock()
  const target = new FakeTarget('t')
  const dispatcher = createDispatcher(clock, [target])
  const owner = new FakeOwnerConnection('o')
  dispatcher.addOwner(owner)
  dispatcher.updateTargets([target.info])
  await clock.advance(20)
  dispatcher.enqueueMessage(owner, { type: 'submit', job: createJob(jobId), ageMs: 0, resubmitted: true, quietInMs: 0, done: [], ...(losses === undefined ? {} : { losses }) })
  await clock.advance(100)
  dispatcher.stop()
  return { received: owner.received, starts: target.starts.length }
}

// Guards against a count of lost targets that starts at zero at the next dispatcher of a job.
describe('the losses of targets under a task', () => {
  it('go from the dispatcher to the owner', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const owner = new FakeOwnerConnection('o')
    dispatcher.addOwner(owner)
    dispatcher.updateTargets([target.info])
    await clock.advance(20)
    dispatcher.enqueueMessage(owner, { type: 'submit', job: createJob(jobId), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] })
    await clock.advance(100)
    target.running = []
    target.bornMs = 2
    target.startedAt = clock.now()
    await clock.advance(200)
    dispatcher.stop()
    assert.deepEqual(owner.received.filter(message => message.type === 'losses').map(message => message.losses), [{ [task]: [createLoss('t', { evidence: 'restarted' })] }])
    assert.equal(dispatcher.listLingering().includes(jobId), true)
  })

  it('go from the owner to the next dispatcher', () => {
    const home = new FakeConnection('a')
    const owner = createOwner(new ManualClock(), [home])
    const handle = owner.submit(spec, 20_000)
    const losses = { [`${spec.id}.0.0.0`]: [createLoss('t')] }
    owner.onDispatcherMessage(home.asConnection(), { type: 'losses', jobId: spec.id, losses, submissionId: 1 })
    owner.onDisconnected(home.asConnection())
    owner.onConnected(home.asConnection())
    const submissions = home.sent.filter((message): message is Extract<OwnerMessage, { type: 'submit' }> => message.type === 'submit')
    assert.deepEqual(submissions.map(message => message.losses), [undefined, losses])
    handle.abandon('the test ends')
    owner.close()
  })

  it('end a job at once when they prove that one of its tasks crashes its targets', async () => {
    const { received, starts } = await submit({ [task]: [createLoss('x', { isAlone: false }), createLoss('y')] })
    assert.deepEqual(received.filter(message => message.type === 'ended').map(message => message.outcome), [{ kind: 'failed', reason: 'targets-lost' }])
    assert.equal(starts, 0)
  })

  it('allow one more start of a task that shared both crashed targets', async () => {
    const { received, starts } = await submit({ [task]: [createLoss('x', { isAlone: false }), createLoss('y', { isAlone: false })] })
    assert.deepEqual(received.filter(message => message.type === 'ended'), [])
    assert.equal(starts, 1)
  })

  it('hold a task back while it is not known whether its three targets crashed or were cut off', async () => {
    const { received, starts } = await submit({ [task]: ['x', 'y', 'z'].map(target => createLoss(target, { evidence: 'silent' })) })
    assert.deepEqual(received.filter(message => message.type === 'ended'), [])
    assert.equal(starts, 0)
  })

  it('may be missing, as from an owner of an earlier version', async () => {
    const { starts } = await submit(undefined)
    assert.equal(starts, 1)
  })
})
