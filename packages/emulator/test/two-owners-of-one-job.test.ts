import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedFleet } from '../src/index.js'

/** Time in milliseconds after which a caller without an answer sends its job again. */
const resubmitMs = 1_300

async function startFleet (instancesPerDomain: number): Promise<EmulatedFleet> {
  const fleet = new EmulatedFleet({ domains: ['a', 'b'], instancesPerDomain, targetsPerDomain: 4, seed: 1 })
  await fleet.advance(3_500)
  return fleet
}

/**
 * The connection of a caller is dead and its instance has not noticed it; the caller repeats its job through a second
 * instance, which the dispatcher attaches to the job. Both instances then own it.
 */
describe('a job that two instances own', () => {
  // Guards against a cancellation that is ignored because the first owner has taken the job back.
  it('has no run when it is repeated again, after the first owner has reconnected and the second one has given it up', async () => {
    const fleet = await startFleet(3)
    const holder = fleet.findDispatchingInstance('a')!
    const [first, second] = fleet.listInstances('a').filter(instance => instance !== holder)
    const { jobId } = fleet.submit(first!, 1, 6_000)
    fleet.network.partition(['b-0'], fleet.listInstances('a'))
    await fleet.advance(200 + resubmitMs)
    const repeat = fleet.submit(second!, 1, 6_000, jobId)
    await fleet.advance(100)
    assert.equal(fleet.history.runs.length, 1)
    fleet.resetStreams(first!)
    await fleet.advance(200)
    repeat.abandon()
    await fleet.advance(resubmitMs)
    fleet.submit('b-0', 1, 6_000, jobId)
    await fleet.advance(4_000)
    assert.deepEqual(fleet.history.listViolations(), [])
  })

  // Guards against a job that one owner has moved to another domain, and that the other one submits again to the first.
  it('runs once when the second owner moves it and the first one reconnects', async () => {
    const fleet = await startFleet(4)
    const holder = fleet.findDispatchingInstance('a')!
    const [first, second, third] = fleet.listInstances('a').filter(instance => instance !== holder)
    // Only the second owner knows the free capacity of domain b.
    fleet.network.partition(fleet.listInstances('b'), [holder, first!, third!])
    await fleet.advance(1_000)
    for (let count = 0; count < 4; count++) fleet.submit(holder, 2, 3_400)
    await fleet.advance(50)
    const { jobId } = fleet.submit(first!, 1, 2_500)
    await fleet.advance(resubmitMs)
    fleet.submit(second!, 1, 2_500, jobId)
    await fleet.advance(300)
    assert.equal(fleet.history.runs.filter(run => run.task.startsWith(jobId) && run.target.startsWith('target-b')).length, 1)
    fleet.resetStreams(first!)
    await fleet.advance(4_000)
    assert.deepEqual(fleet.history.listViolations(), [])
  })

  // Guards against a job that the second owner has given up, and that the first one submits again beside a later repeat.
  it('runs once when the second owner has given it up, it was repeated elsewhere, and the first one reconnects', async () => {
    const fleet = await startFleet(3)
    const holder = fleet.findDispatchingInstance('a')!
    const [first, second] = fleet.listInstances('a').filter(instance => instance !== holder)
    fleet.network.partition(['b-0'], fleet.listInstances('a'))
    const { jobId } = fleet.submit(first!, 1, 6_000)
    await fleet.advance(resubmitMs)
    const repeat = fleet.submit(second!, 1, 6_000, jobId)
    await fleet.advance(200)
    repeat.abandon()
    await fleet.advance(resubmitMs)
    fleet.submit('b-0', 1, 6_000, jobId)
    await fleet.advance(200)
    assert.deepEqual(fleet.history.runs.map(run => [run.target, run.how]), [['target-a-0', 'stopped'], ['target-b-0', undefined]])
    fleet.resetStreams(first!)
    await fleet.advance(4_000)
    assert.deepEqual(fleet.history.listViolations(), [])
  })
})
