import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { allFaultNames, EmulatedFleet, RandomFaultScenario, RollingRestart, unnoticedFaultNames } from '../src/index.js'

describe('the faults of the emulator', () => {
  it('include a store that turns away some instances and serves the others', async () => {
    const fleet = new EmulatedFleet({ domains: ['a'], instancesPerDomain: 2, targetsPerDomain: 1, seed: 1 })
    const [served, refused] = [fleet.store.connect('a-0'), fleet.store.connect('a-1')]
    fleet.store.turnedAway.add('a-1')
    const replies = Promise.all([served.list('targets'), refused.list('targets'), refused.write({ table: 'targets', key: 'x', value: '' })])
    await fleet.advance(100)
    assert.deepEqual((await replies).map(reply => reply.kind), ['rows', 'unavailable', 'refused'])
  })

  it('include a rolling restart that hands over, and reaches each instance once', async () => {
    const fleet = new EmulatedFleet({ domains: ['a'], instancesPerDomain: 3, targetsPerDomain: 3, seed: 1 })
    await fleet.advance(3_500)
    const before = [...fleet.instances.values()].map(parts => parts.entry.incarnation)
    new RollingRestart(fleet).start()
    await fleet.advance(10_000)
    const after = [...fleet.instances.values()].map(parts => parts.entry)
    assert.deepEqual(after.map(entry => entry.instance).sort(), ['a-0', 'a-1', 'a-2'])
    assert.equal(after.filter(entry => before.includes(entry.incarnation)).length, 0)
    fleet.submit('a-0', 1, 50)
    await fleet.advance(500)
    assert.deepEqual(fleet.history.answers.map(entry => entry.answer.kind), ['completed'])
  })

  it('keep all promises to callers on a random day on which all of them may occur', { timeout: 120_000 }, async () => {
    const fleet = new EmulatedFleet({ domains: ['a', 'b'], instancesPerDomain: 3, targetsPerDomain: 6, seed: 30_001 })
    await fleet.advance(3_500)
    const names = allFaultNames.filter(name => !unnoticedFaultNames.some(unnoticed => unnoticed === name))
    const result = await new RandomFaultScenario(fleet, names, { submitIntervalMs: 40, longJobProbability: 0.35, maxResends: 5 }).run(20_000)
    assert.deepEqual(result.violations, [])
    assert.equal(result.reservedRuns, 0)
    assert.equal(result.isRecovered, true)
  })
})
