import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedFleet } from '../src/index.js'

/**
 * Guards against an instance that was fenced by a successor without the store and, because the row
 * still names it, begins to dispatch again under the same token: it may start tasks at a target that
 * the successor has not polled, with attempt numbers that it has used before.
 */
describe('an instance whose dispatcher was fenced', () => {
  it('does not begin to dispatch again under the token that was fenced', async () => {
    const fleet = new EmulatedFleet({ domains: ['a'], instancesPerDomain: 3, targetsPerDomain: 4, seed: 1 })
    await fleet.advance(3_500)
    const first = fleet.findDispatchingInstance('a')!
    const { server } = fleet.instances.get(first)!
    const firstToken = server.findDispatcher('a')!.token
    fleet.store.fault = 'down'
    fleet.network.partition([first], [...fleet.instances.keys()].filter(name => name !== first))
    const known = new Set([server.findDispatcher('a')!])
    for (let elapsed = 0; elapsed < 4_000; elapsed++) {
      await fleet.advance(1)
      const current = server.findDispatcher('a')
      if (current !== undefined) known.add(current)
    }
    assert.notEqual(fleet.findDispatchingInstance('a'), first)
    assert.deepEqual([...known].map(dispatcher => dispatcher.token), [firstToken], 'tokens of the dispatchers of the fenced instance')
  })
})
