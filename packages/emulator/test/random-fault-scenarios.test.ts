import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedFleet, formatEmulatedJobId, RandomFaultScenario } from '../src/index.js'

/** Seeds that once led to a failure, with its cause, and one that never did. */
const seeds = new Map([
  [1, 'no failure so far'],
  [3, 'a job that may already run somewhere was submitted again and again to the same rejecting dispatcher'],
  [1052, 'after a takeover without the store, the earlier dispatcher still started tasks on targets that had not seen the new token'],
  [2019, 'a start order was in transit when its target restarted, and the new incarnation carried it out'],
  [2042, 'a start order that a stop had barred was carried out by a new incarnation of its target, which did not know of the stop']
])

describe('random fault scenarios', () => {
  for (const [seed, cause] of seeds) {
    it(`violate no invariant with seed ${seed} (${cause})`, { timeout: 120_000 }, async () => {
      const fleet = new EmulatedFleet({ domains: ['a', 'b'], instancesPerDomain: 3, targetsPerDomain: 6, seed })
      await fleet.advance(3_500)
      const result = await new RandomFaultScenario(fleet).run(20_000)
      assert.deepEqual(result.violations, [])
      assert.equal(result.reservedRuns, 0)
      assert.equal(result.isRecovered, true)
    })
  }
})

/** Every so many jobs, one has tasks that crash their targets. */
const crashingJobInterval = 25

// Guards against tasks that crash their targets being started again and again when other faults come between.
describe('random fault scenarios with tasks that crash their targets', () => {
  for (const seed of [2, 4]) {
    it(`violate no invariant with seed ${seed}`, { timeout: 120_000 }, async () => {
      const fleet = new EmulatedFleet({ domains: ['a', 'b'], instancesPerDomain: 3, targetsPerDomain: 6, seed })
      for (let number = crashingJobInterval; number < 1_000; number += crashingJobInterval) fleet.crashingJobs.add(formatEmulatedJobId(number))
      await fleet.advance(3_500)
      const result = await new RandomFaultScenario(fleet).run(15_000)
      assert.deepEqual(result.violations, [])
      assert.equal(result.reservedRuns, 0)
      assert.equal(result.isRecovered, true)
    })
  }
})
