import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedCaller, EmulatedFleet } from '../src/index.js'

async function startFleet (): Promise<EmulatedFleet> {
  const fleet = new EmulatedFleet({ domains: ['a'], instancesPerDomain: 3, targetsPerDomain: 6, seed: 1 })
  await fleet.advance(3_500)
  return fleet
}

/** An instance that dispatches for no domain, so that the fault of a test hits only the caller's connection. */
function findEntryInstance (fleet: EmulatedFleet): string {
  return [...fleet.instances.keys()].find(instance => instance !== fleet.findDispatchingInstance('a'))!
}

describe('an emulated caller', () => {
  it('sends its job again 1,300 ms after the end of its instance', async () => {
    const fleet = await startFleet()
    const instance = findEntryInstance(fleet)
    const caller = new EmulatedCaller(fleet, { tasks: 1, workMs: 400 })
    caller.send(instance)
    await fleet.advance(100)
    fleet.killInstance(instance)
    await fleet.advance(1_290)
    assert.equal(fleet.history.answers.length, 0)
    await fleet.advance(2_000)
    assert.equal(caller.resendCount, 1)
    assert.deepEqual(fleet.history.answers.map(entry => entry.answer.kind), ['completed'])
    assert.deepEqual(fleet.history.listViolations(), [])
  })

  it('waits for an instance whose pause is shorter than its patience, and gives up on a longer pause or a silent end', async () => {
    for (const [disturb, resends] of [[pauseFor(400), 0], [pauseFor(4_000), 1], [powerOff, 1]] as const) {
      const fleet = await startFleet()
      const instance = findEntryInstance(fleet)
      const caller = new EmulatedCaller(fleet, { tasks: 1, workMs: 200 })
      caller.send(instance)
      await fleet.advance(20)
      disturb(fleet, instance)
      await fleet.advance(10_000)
      assert.equal(caller.resendCount, resends)
      assert.ok(fleet.history.answers.some(entry => entry.answer.kind === 'completed'))
      assert.deepEqual(fleet.history.listViolations(), [])
    }
  })

  it('sends its job again 1,300 ms after its connection died, of which the instance notices nothing', async () => {
    const fleet = await startFleet()
    const caller = new EmulatedCaller(fleet, { tasks: 1, workMs: 2_000 })
    caller.send('a-0')
    await fleet.advance(100)
    fleet.instances.get('a-0')!.process.loseCallers()
    await fleet.advance(1_290)
    assert.equal(caller.resendCount, 1)
    assert.equal(fleet.instances.get('a-0')!.owner.jobCount, 1)
    await fleet.advance(2_000)
    // The instance also answers over the dead connection: with the outcome if the repeat came to it as well, else that it has lost the job.
    const [overDeadConnection, ofRepeat, ...others] = fleet.history.answers.map(entry => entry.answer.kind)
    assert.ok(overDeadConnection === 'completed' || overDeadConnection === 'unknown', overDeadConnection)
    assert.deepEqual([ofRepeat, ...others], ['completed'])
    assert.equal(fleet.history.runs.length, 1)
    assert.deepEqual(fleet.history.metRuns.map(met => met.lostMsAgo), [1_300])
    assert.deepEqual(fleet.history.listViolations(), [])
  })

  it('sends its job again 1,300 ms after its connection was reset, and the repeat meets no run', async () => {
    const fleet = await startFleet()
    const caller = new EmulatedCaller(fleet, { tasks: 1, workMs: 2_000 })
    caller.send('a-0')
    await fleet.advance(100)
    fleet.instances.get('a-0')!.process.resetCallers()
    await fleet.advance(10)
    assert.equal(fleet.instances.get('a-0')!.owner.jobCount, 0)
    await fleet.advance(4_000)
    assert.equal(caller.resendCount, 1)
    assert.deepEqual(fleet.history.runs.map(run => run.how), ['stopped', 'done'])
    assert.deepEqual(fleet.history.metRuns, [])
  })

  it('sends its job again twice at most', async () => {
    const fleet = await startFleet()
    const caller = new EmulatedCaller(fleet, { tasks: 1, workMs: 5_000 })
    caller.send('a-0')
    for (let round = 0; round < 5; round++) {
      await fleet.advance(1_400)
      for (const instance of [...fleet.instances.keys()]) {
        fleet.killInstance(instance)
        fleet.startInstance(instance, 'a')
      }
    }
    assert.equal(caller.resendCount, 2)
  })
})

function pauseFor (ms: number): (fleet: EmulatedFleet, instance: string) => void {
  return (fleet, instance) => { fleet.clock.startTimer(ms, fleet.instances.get(instance)!.process.pause()) }
}

function powerOff (fleet: EmulatedFleet, instance: string): void {
  fleet.powerOffInstance(instance)
}
