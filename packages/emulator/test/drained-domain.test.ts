import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedFleet, RandomFaultScenario } from '../src/index.js'

const drainBoundMs = 5_000

async function start (instancesPerDomain: number): Promise<EmulatedFleet> {
  const fleet = new EmulatedFleet({ domains: ['a', 'b'], instancesPerDomain, targetsPerDomain: 4, seed: 1, drainBoundMs })
  await fleet.advance(3_500)
  return fleet
}

function drain (fleet: EmulatedFleet): void {
  fleet.writeDrainRequest('a', true)
  fleet.drainHistory.recordRequest('a')
}

/** Withdraws the drain as soon as the store takes that. */
function withdraw (fleet: EmulatedFleet): void {
  if (fleet.store.fault !== 'none') {
    fleet.clock.startTimer(100, () => { withdraw(fleet) })
    return
  }
  fleet.writeDrainRequest('a', false)
  fleet.drainHistory.recordWithdrawal('a')
}

/** Drains domain a as soon as the store takes the request, unless a random fault has drained it. */
function drainWhenPossible (fleet: EmulatedFleet): void {
  if (fleet.drainHistory.isDrained('a')) return
  if (fleet.store.fault === 'none') drain(fleet)
  else fleet.clock.startTimer(100, () => { drainWhenPossible(fleet) })
}

/** Submits a job at every instance each 50 ms. */
async function load (fleet: EmulatedFleet, ms: number, tasks = 2): Promise<void> {
  for (let passed = 0; passed < ms; passed += 50) {
    for (const instance of fleet.instances.keys()) fleet.submit(instance, tasks, 60)
    await fleet.advance(50)
  }
}

function countStarts (fleet: EmulatedFleet, since: number): number {
  return fleet.history.runs.filter(run => run.startedAt > since && fleet.targets.get(run.target)?.info.domain === 'a').length
}

describe('a drained domain', () => {
  // Guards against a drain that is forgotten with the process that knew it, or that does not reach targets that join.
  it('gets no start from 1 s after the request on, although its dispatcher is replaced, the store is down and a target joins', async () => {
    const fleet = await start(2)
    await load(fleet, 500)
    assert.ok(countStarts(fleet, 0) > 0)
    drain(fleet)
    await load(fleet, 1_000)
    const settledAt = fleet.clock.now()
    fleet.addTarget('a')
    fleet.store.fault = 'down'
    fleet.killInstance(fleet.findDispatchingInstance('a')!)
    await load(fleet, 3_000)
    assert.notEqual(fleet.findDispatchingInstance('a'), undefined)
    fleet.store.fault = 'none'
    await load(fleet, 3_000)
    assert.equal(countStarts(fleet, settledAt), 0)
    assert.deepEqual(fleet.history.answers.filter(({ answer, answeredAt }) => answeredAt > settledAt && answer.kind === 'unknown'), [])
    fleet.writeDrainRequest('a', false)
    fleet.drainHistory.recordWithdrawal('a')
    await load(fleet, 500)
    assert.ok(countStarts(fleet, settledAt) > 0, 'starts resume')
    assert.deepEqual(fleet.listViolations(), [])
  })

  it('is known within a heartbeat to a dispatcher that the store turns away', async () => {
    const fleet = await start(2)
    fleet.store.turnedAway.add(fleet.findDispatchingInstance('a')!)
    // Its last watch call ends after 1 s.
    await load(fleet, 1_500)
    drain(fleet)
    await load(fleet, 500)
    const settledAt = fleet.clock.now()
    await load(fleet, 6_000)
    assert.equal(countStarts(fleet, settledAt), 0)
    assert.deepEqual(fleet.listViolations(), [])
  })

  it('without instances gets no start either', async () => {
    const fleet = await start(1)
    fleet.killInstance('a-0')
    await load(fleet, 4_000, 12)
    assert.ok(countStarts(fleet, 3_600) > 0, 'an instance of the other domain dispatches')
    drain(fleet)
    await load(fleet, 7_000, 12)
    assert.deepEqual(fleet.listViolations(), [])
  })

  for (const seed of [3, 5, 6]) {
    it(`keeps the bound while processes, network and store fail, with seed ${seed}`, { timeout: 120_000 }, async () => {
      const fleet = new EmulatedFleet({ domains: ['a', 'b'], instancesPerDomain: 3, targetsPerDomain: 6, seed, drainBoundMs })
      await fleet.advance(3_500)
      // Whether the scenario draws a drain by itself depends on the random numbers that the fleet has used before.
      fleet.clock.startTimer(6_000, () => { drainWhenPossible(fleet) })
      fleet.clock.startTimer(15_000, () => { withdraw(fleet) })
      const result = await new RandomFaultScenario(fleet, ['drain-domain', 'kill', 'pause', 'takeover-series', 'cut-instance', 'store-refuses', 'store-down', 'join'], { submitIntervalMs: 80, longJobProbability: 0.1, maxResends: 2 }).run(20_000)
      assert.deepEqual(result.violations, [])
      assert.equal(result.isRecovered, true)
      assert.ok(fleet.drainHistory.count > 0)
    })
  }
})
