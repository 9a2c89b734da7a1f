import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { type JobSpec, type StepSpec } from '../src/index.js'
import { createDispatcher, createJob, FakeOwnerConnection, FakeTarget } from './dispatcher-fixture.js'

const queuedJobCount = 15

// A saturated dispatcher looked at every queued task whenever any target had a remainder of free capacity, so that its
// processor time grew with the queue and it had none left for its owners.
describe('a dispatcher with little free capacity', () => {
  it('does not examine the tasks of jobs that are larger than any remainder', async () => {
    const clock = new ManualClock()
    const target = new FakeTarget('t')
    const dispatcher = createDispatcher(clock, [target])
    const owner = new FakeOwnerConnection('owner')
    dispatcher.addOwner(owner)
    dispatcher.updateTargets([target.info])
    await clock.advance(20)
    let readCount = 0
    const createSized = (id: string, processors: number): JobSpec => {
      const job = createJob(id)
      const step = { ...job.steps[0]!, demand: { processors, memoryMb: 1, accelerators: 0 } }
      Object.defineProperty(step, 'requiredLabel', { get: () => { readCount++; return undefined }, enumerable: true })
      return { ...job, steps: [step as StepSpec] }
    }
    const submit = (job: JobSpec): void => { dispatcher.enqueueMessage(owner, { type: 'submit', ageMs: 0, resubmitted: false, quietInMs: 0, done: [], job }) }
    submit(createSized('aaaaaaaaaaaaaaaa', 30_000))
    for (let index = 0; index < queuedJobCount; index++) submit(createSized(index.toString(16).padStart(16, '0'), 4_000))
    await clock.advance(1)
    readCount = 0
    submit(createSized('bbbbbbbbbbbbbbbb', 1_500))
    await clock.advance(1)
    assert.equal(dispatcher.queueLength, queuedJobCount)
    dispatcher.stop()
    assert.deepEqual(target.starts.map(order => order.task), ['aaaaaaaaaaaaaaaa.0.0.0', 'bbbbbbbbbbbbbbbb.0.0.0'])
    assert.ok(readCount < queuedJobCount, `the steps of the jobs were read ${readCount} times`)
  })
})
