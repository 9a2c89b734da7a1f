import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedFleet } from '../src/index.js'

type Trouble = (fleet: EmulatedFleet, owner: string, holder: string) => void

/** What separates an owner from a dispatcher that goes on; each lasts to the end of the test. */
const troubles: Readonly<Record<string, Trouble>> = {
  'full links that delay all messages by 600 ms': ({ network }, owner, holder) => {
    network.delay(owner, holder, 600)
    network.delay(holder, owner, 600)
  },
  'a full link from the dispatcher': ({ network }, owner, holder) => { network.delay(holder, owner, 1_500) },
  'a cut link to the owner': ({ network }, owner, holder) => { network.cut(holder, owner) },
  'a cut while the dispatcher is suspended': ({ network, instances, clock }, owner, holder) => {
    network.partition([owner], [holder])
    clock.startTimer(430, instances.get(holder)!.process.suspend())
  }
}

/**
 * An owner gives up a dispatcher from which it is separated, and submits its jobs to another domain. Guards against runs
 * in the first domain that last until then because the dispatcher still takes the owner for connected.
 */
describe('a job whose owner is separated from its dispatcher', () => {
  for (const [name, disturb] of Object.entries(troubles)) {
    it(`runs once when it moves to another domain, with ${name}`, async () => {
      const fleet = new EmulatedFleet({ domains: ['a', 'b'], instancesPerDomain: 3, targetsPerDomain: 4, seed: 1 })
      await fleet.advance(3_500)
      // The owner is at home in domain b, whose targets are out of reach when it submits the job.
      const owner = 'b-1'
      const endCut = fleet.network.partition(fleet.listTargets('b').map(target => target.info.id), [...fleet.instances.keys()])
      await fleet.advance(2_000)
      fleet.submit(owner, 2, 6_000)
      await fleet.advance(200)
      endCut()
      assert.deepEqual(fleet.history.runs.map(run => run.target), ['target-a-0', 'target-a-0'])
      disturb(fleet, owner, fleet.findDispatchingInstance('a')!)
      await fleet.advance(9_000)
      assert.ok(fleet.history.runs.some(run => run.target.startsWith('target-b')), 'the job has not moved')
      assert.deepEqual(fleet.history.listViolations(), [])
    })
  }
})
