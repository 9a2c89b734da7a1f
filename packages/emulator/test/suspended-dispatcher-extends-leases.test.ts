import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedFleet } from '../src/index.js'

/**
 * The clock of a dispatcher stands still while its machine is suspended. Guards against runs whose leases the
 * dispatcher extends beyond the last sign of life of their owner by the time of its suspension.
 */
describe('a dispatcher whose machine was suspended', () => {
  it('ends the runs of an instance that lost power before its callers repeat their jobs', async () => {
    const fleet = new EmulatedFleet({ domains: ['a', 'b'], instancesPerDomain: 3, targetsPerDomain: 4, seed: 1 })
    await fleet.advance(3_500)
    const holder = fleet.findDispatchingInstance('a')!
    const owner = fleet.listInstances('a').find(instance => instance !== holder)!
    const { jobId } = fleet.submit(owner, 2, 5_000)
    fleet.network.partition(['b-0'], fleet.listInstances('a'))
    await fleet.advance(300)
    fleet.powerOffInstance(owner)
    const endSuspension = fleet.instances.get(holder)!.process.suspend()
    await fleet.advance(500)
    endSuspension()
    await fleet.advance(800)
    fleet.submit('b-0', 2, 5_000, jobId)
    await fleet.advance(3_000)
    assert.equal(fleet.findDispatchingInstance('a'), holder)
    assert.deepEqual(fleet.history.listViolations(), [])
  })
})
