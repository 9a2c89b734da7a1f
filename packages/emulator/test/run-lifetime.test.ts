import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedFleet } from '../src/index.js'

async function startFleet (instancesPerDomain = 3): Promise<EmulatedFleet> {
  const fleet = new EmulatedFleet({ domains: ['a', 'b'], instancesPerDomain, targetsPerDomain: 4, seed: 1 })
  await fleet.advance(3_500)
  return fleet
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
})
