import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedFleet, type EmulatedFleetOptions } from '../src/index.js'

/** Time in milliseconds after which a caller without an answer sends its job again. */
const resubmitMs = 1_300

async function startFleet (shape: Partial<EmulatedFleetOptions>): Promise<EmulatedFleet> {
  const fleet = new EmulatedFleet({ domains: ['a', 'b'], instancesPerDomain: 3, targetsPerDomain: 2, seed: 1, ...shape })
  await fleet.advance(3_500)
  return fleet
}

/** Advances by single milliseconds until the condition holds, for 3 s at most. */
async function advanceUntil (fleet: EmulatedFleet, isReached: () => boolean): Promise<void> {
  for (let ms = 0; ms < 3_000 && !isReached(); ms++) await fleet.advance(1)
  assert.ok(isReached(), 'the condition did not come true')
}

function countKnownRuns (fleet: EmulatedFleet): number {
  const holder = fleet.findDispatchingInstance('a')
  const dispatcher = holder === undefined ? undefined : fleet.instances.get(holder)!.server.findDispatcher('a')
  return (dispatcher?.listSessions() ?? []).reduce((sum, session) => sum + session.runs.size, 0)
}

/**
 * After a takeover the leases at a target last as long as the earlier dispatcher has extended them. Guards
 * against a successor that takes them for lapsed because it has extended none itself.
 */
describe('the leases of an earlier dispatcher', () => {
  it('are not taken for lapsed when the first poll of the successor without an answer fails', async () => {
    const fleet = await startFleet({})
    const holder = fleet.findDispatchingInstance('a')!
    const owner = fleet.listInstances('a').filter(instance => instance !== holder)[1]!
    // Nobody claims the run of the lost holder's own job, so the successor extends no lease at the target of both.
    fleet.submit(holder, 1, 2_500)
    fleet.submit(owner, 1, 2_500)
    await fleet.advance(200)
    assert.deepEqual(fleet.history.runs.map(run => run.target), ['target-a-0', 'target-a-0'])
    fleet.killInstance(holder)
    await advanceUntil(fleet, () => countKnownRuns(fleet) === 2)
    fleet.network.partition(['target-a-0'], [...fleet.instances.keys()])
    await fleet.advance(3_000)
    assert.deepEqual(fleet.history.listViolations(), [])
  })

  it('do not last beyond the limit of a job that the successor starts under them', async () => {
    const fleet = await startFleet({ instancesPerDomain: 4, targetsPerDomain: 1 })
    const { network } = fleet
    const holder = fleet.findDispatchingInstance('a')!
    const others = [...fleet.instances.keys()].filter(instance => instance !== holder)
    // The holder still extends the lease of the idle target, which the successor reaches late.
    network.partition([holder], [...others, 'store'])
    network.partition(fleet.listInstances('a'), fleet.listInstances('b'))
    const healTarget = network.partition(['target-a-0'], others)
    await advanceUntil(fleet, () => fleet.findDispatchingInstance('a') !== holder)
    await fleet.advance(100)
    const successor = fleet.findDispatchingInstance('a')!
    const lost = fleet.listInstances('a').find(instance => instance !== holder && instance !== successor)!
    const { jobId } = fleet.submit(lost, 1, 5_000)
    await fleet.advance(200)
    fleet.powerOffInstance(lost)
    const lostAt = fleet.clock.now()
    await fleet.advance(500)
    healTarget()
    while (fleet.history.runs.length === 0 && fleet.clock.now() < lostAt + resubmitMs - 1) await fleet.advance(1)
    // The order to stop the run is lost, so that only its lease ends it.
    network.partition(['target-a-0'], others)
    await fleet.advance(lostAt + resubmitMs - fleet.clock.now())
    fleet.submit(fleet.listInstances('b')[0]!, 1, 5_000, jobId)
    await fleet.advance(3_000)
    assert.deepEqual(fleet.history.listViolations(), [])
  })
})
