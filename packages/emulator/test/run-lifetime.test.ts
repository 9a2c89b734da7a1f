import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedFleet } from '../src/index.js'

/** Time in milliseconds after which a caller without an answer sends its job again. */
const resubmitMs = 1_300

async function startFleet (instancesPerDomain = 3): Promise<EmulatedFleet> {
  const fleet = new EmulatedFleet({ domains: ['a', 'b'], instancesPerDomain, targetsPerDomain: 4, seed: 1 })
  await fleet.advance(3_500)
  return fleet
}

/** Cuts off one endpoint from all others. */
function isolate (fleet: EmulatedFleet, endpoint: string): void {
  const others = [...fleet.instances.keys(), ...fleet.targets.keys(), 'store'].filter(other => other !== endpoint)
  fleet.network.partition([endpoint], others)
}

describe('the lifetime of runs', () => {
  it('does not take the end of a discovered second run for the end of the known run', async () => {
    const fleet = await startFleet()
    fleet.submit('a-0', 1, 2_000)
    await fleet.advance(100)
    const known = fleet.history.runs[0]!
    const other = fleet.listTargets('a').find(target => target.info.id !== known.target)!
    const { token } = fleet.instances.get(fleet.findDispatchingInstance('a')!)!.server.findDispatcher('a')!
    other.start({ task: known.task, attempt: known.attempt, payload: JSON.stringify({ workMs: 2_000, processors: 1_000 }), deadlineMs: 20_000, token })
    await fleet.advance(4_000)
    assert.deepEqual(fleet.history.runs.map(run => run.target), [known.target, other.info.id])
    assert.deepEqual(fleet.history.runs.map(run => run.how), ['done', 'stopped'])
  })

  it('ends the runs of an instance that lost power before its callers repeat their jobs, also when it was the dispatcher', async () => {
    const fleet = await startFleet()
    const lost = fleet.findDispatchingInstance('a')!
    const { jobId } = fleet.submit(lost, 2, 5_000)
    await fleet.advance(200)
    assert.equal(fleet.history.runs.length, 2)
    isolate(fleet, lost)
    fleet.network.partition(['b-0'], ['a-0', 'a-1', 'a-2'])
    await fleet.advance(resubmitMs)
    fleet.submit('b-0', 2, 5_000, jobId)
    await fleet.advance(3_000)
    assert.deepEqual(fleet.history.listViolations(), [])
  })

  it('ends the runs of a job that its owner gave up while its connection to the dispatcher was broken', async () => {
    const fleet = await startFleet()
    const holder = fleet.findDispatchingInstance('a')!
    const owner = ['a-0', 'a-1', 'a-2'].find(instance => instance !== holder)!
    const job = fleet.submit(owner, 2, 5_000)
    await fleet.advance(200)
    fleet.network.partition([owner], [holder])
    await fleet.advance(600)
    job.abandon()
    const abandonedAt = fleet.clock.now()
    fleet.network.heal()
    await fleet.advance(6_000)
    assert.equal(fleet.history.runs.length, 2)
    for (const run of fleet.history.runs) assert.ok(run.endedAt! - abandonedAt < resubmitMs, `${run.task} ended ${run.endedAt! - abandonedAt} ms after its owner gave it up`)
  })

  it('starts no task elsewhere after a takeover while it runs at a target that the list of the successor does not name yet', async () => {
    const fleet = await startFleet()
    const holder = fleet.findDispatchingInstance('a')!
    const others = ['a-0', 'a-1', 'a-2'].filter(instance => instance !== holder)
    // Only the holder reads the store, so it alone learns of the new target.
    for (const instance of others) fleet.network.partition([instance], ['store'])
    for (const target of fleet.listTargets('a')) target.fault = 'rejects'
    fleet.addTarget('a')
    await fleet.advance(3_000)
    fleet.submit(others[0]!, 2, 5_000)
    await fleet.advance(300)
    assert.deepEqual(fleet.history.runs.map(run => run.target), ['target-a-4', 'target-a-4'])
    for (const target of fleet.listTargets('a')) target.fault = 'none'
    fleet.network.heal()
    fleet.instances.get(holder)!.election.leave().catch(assert.fail)
    await fleet.advance(9_000)
    assert.deepEqual(fleet.history.listViolations(), [])
  })

  it('starts no task of a lost instance under a lease of its target that lasts beyond the repeat of the job', async () => {
    const fleet = await startFleet()
    const holder = fleet.findDispatchingInstance('a')!
    const [other, lost] = fleet.listInstances('a').filter(instance => instance !== holder)
    // The targets of the domain are full when the instance is lost, and become free before its jobs are dropped.
    fleet.network.partition(['b-0', 'b-1', 'b-2'], fleet.listInstances('a'))
    await fleet.advance(1_000)
    fleet.submit(other!, 8, 1_500)
    await fleet.advance(400)
    const { jobId } = fleet.submit(lost!, 2, 5_000)
    await fleet.advance(330)
    isolate(fleet, lost!)
    await fleet.advance(840)
    isolate(fleet, holder)
    await fleet.advance(resubmitMs - 840)
    fleet.submit('b-0', 2, 5_000, jobId)
    await fleet.advance(3_000)
    assert.deepEqual(fleet.history.listViolations(), [])
  })
})
