import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedFleet } from '../src/index.js'

/**
 * An instance is connected to a dispatcher from the welcome on, and learns with the first heartbeat which jobs a
 * repeat may concern. Guards against a repeat in between that is submitted to another domain, while the dispatcher
 * runs the job for an owner that lives and has not noticed that its caller has left.
 */
describe('a repeat at an instance that has just connected', () => {
  it('does not start the job in another domain', async () => {
    const fleet = new EmulatedFleet({ domains: ['a', 'b'], instancesPerDomain: 3, targetsPerDomain: 4, seed: 1 })
    await fleet.advance(3_500)
    const holder = fleet.findDispatchingInstance('a')!
    const owner = fleet.listInstances('a').find(instance => instance !== holder)!
    fleet.killInstance('b-2')
    await fleet.advance(1_000)
    const { jobId } = fleet.submit(owner, 1, 5_000)
    await fleet.advance(1_300)
    fleet.startInstance('b-2', 'b')
    const { server } = fleet.instances.get(holder)!
    for (let ms = 0; ms < 500 && !server.listConnected('a').has('b-2'); ms++) await fleet.advance(1)
    await fleet.advance(2)
    assert.ok(server.listConnected('a').has('b-2'))
    fleet.submit('b-2', 1, 5_000, jobId)
    await fleet.advance(6_000)
    assert.deepEqual(fleet.history.listViolations(), [])
  })
})
