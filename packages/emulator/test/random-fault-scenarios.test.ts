import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedFleet, RandomFaultScenario } from '../src/index.js'

/** Seeds that failed once, with the cause, and one that never did. */
const seeds = new Map([
  [1, 'no failure seen'],
  [3, 'a job on the list of jobs that may run somewhere was submitted to the same rejecting dispatcher without end'],
  [1052, 'a takeover without the store, while the earlier dispatcher still started tasks at targets that had not seen the new token'],
  [2019, 'a start order was on its way when its target restarted, and the new life carried it out'],
  [2042, 'an order that a stop had barred was carried out by a new life of its target, which knew nothing of the stop']
])

describe('random days', () => {
  for (const [seed, cause] of seeds) {
    it(`keep the promises with seed ${seed} (${cause})`, { timeout: 120_000 }, async () => {
      const fleet = new EmulatedFleet({ domains: ['a', 'b'], instancesPerDomain: 3, targetsPerDomain: 6, seed })
      await fleet.advance(3_500)
      const result = await new RandomFaultScenario(fleet).run(20_000)
      assert.deepEqual(result.violations, [])
      assert.equal(result.reservedRuns, 0)
      assert.equal(result.isRecovered, true)
    })
  }
})
