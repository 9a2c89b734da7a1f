import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedFleet } from '../src/index.js'

// Guards against an instance that starts, has not been able to connect to the dispatcher yet, and takes the domain from it.
describe('an instance whose connections open slowly', () => {
  it('leaves the domain to the dispatcher that it has not reached yet', async () => {
    const fleet = new EmulatedFleet({ domains: ['a'], instancesPerDomain: 3, targetsPerDomain: 4, seed: 1 })
    await fleet.advance(3_500)
    const first = fleet.findDispatchingInstance('a')!
    const { token } = fleet.instances.get(first)!.server.findDispatcher('a')!
    fleet.peers.connectDurationMs = 180
    fleet.startInstance('a-3', 'a')
    await fleet.advance(3_000)
    const last = fleet.findDispatchingInstance('a')!
    assert.deepEqual({ instance: last, token: fleet.instances.get(last)!.server.findDispatcher('a')!.token }, { instance: first, token })
  })

  it('claims the domain once its first attempt has failed', async () => {
    const fleet = new EmulatedFleet({ domains: ['a'], instancesPerDomain: 1, targetsPerDomain: 4, seed: 1 })
    await fleet.advance(3_500)
    fleet.powerOffInstance('a-0')
    await fleet.advance(1_000)
    fleet.startInstance('a-1', 'a')
    await fleet.advance(1_000)
    assert.equal(fleet.findDispatchingInstance('a'), 'a-1')
  })
})
