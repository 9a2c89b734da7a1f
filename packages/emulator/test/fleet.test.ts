import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { EmulatedFleet, FleetHistory, type EmulatedFleetOptions } from '../src/index.js'

const twoDomains: EmulatedFleetOptions = { domains: ['a', 'b'], instancesPerDomain: 3, targetsPerDomain: 6, seed: 1 }

async function startFleet (shape: EmulatedFleetOptions = twoDomains): Promise<EmulatedFleet> {
  const fleet = new EmulatedFleet(shape)
  await fleet.advance(3_500)
  return fleet
}

/** Submits a job each `gapMs` through live instances, while `during` runs. */
async function loadFleet (fleet: EmulatedFleet, forMs: number, gapMs: number, during: (elapsedMs: number) => void = () => {}): Promise<void> {
  for (let elapsed = 0; elapsed < forMs; elapsed += gapMs) {
    during(elapsed)
    const instance = fleet.random.pick([...fleet.instances.keys()])
    if (instance !== undefined) fleet.submit(instance, fleet.random.pickNumber(1, 4), fleet.random.pickNumber(50, 400))
    await fleet.advance(gapMs)
  }
  await fleet.advance(9_000)
}

function assertKept (fleet: EmulatedFleet, leastServed: number): void {
  assert.deepEqual(fleet.history.listViolations(), [])
  assert.ok(fleet.history.computeCompletedFraction() >= leastServed, `${fleet.history.computeCompletedFraction()} of the jobs were completed`)
}

/** Runs an action once when its time has come. */
function runAt (timeMs: number, action: () => void): (elapsedMs: number) => void {
  let isDone = false
  return elapsed => {
    if (isDone || elapsed < timeMs) return
    isDone = true
    action()
  }
}

describe('a fleet of instances', () => {
  it('serves all jobs on a calm day, each task once', async () => {
    const fleet = await startFleet()
    await loadFleet(fleet, 3_000, 40)
    assertKept(fleet, 1)
    assert.equal(fleet.history.runs.length, new Set(fleet.history.runs.map(run => run.task)).size)
  })

  it('finds another dispatcher when the holder is gone for good', async () => {
    const fleet = await startFleet()
    const holder = fleet.findDispatchingInstance('a')!
    await loadFleet(fleet, 4_000, 40, runAt(1_000, () => { fleet.killInstance(holder) }))
    assert.notEqual(fleet.findDispatchingInstance('a'), undefined)
    assert.notEqual(fleet.findDispatchingInstance('a'), holder)
    // Jobs whose caller was connected to the killed process have no answer.
    assertKept(fleet, 0.95)
  })

  it('hands a domain over at a planned stop without running a task twice or losing a job', async () => {
    const fleet = await startFleet()
    const holder = fleet.findDispatchingInstance('a')!
    const parts = fleet.instances.get(holder)!
    await loadFleet(fleet, 4_000, 40, runAt(1_000, () => { parts.election.leave().catch(assert.fail) }))
    assert.notEqual(fleet.findDispatchingInstance('a'), holder)
    assertKept(fleet, 1)
  })

  it('lets nobody else claim a domain that was cut off, and none run a task twice when it returns', async () => {
    const fleet = await startFleet()
    const holder = fleet.findDispatchingInstance('a')
    const inside = ['a-0', 'a-1', 'a-2', ...fleet.listTargets('a').map(target => target.info.id)]
    const outside = ['b-0', 'b-1', 'b-2', 'store', ...fleet.listTargets('b').map(target => target.info.id)]
    const cut = runAt(500, () => {
      fleet.network.partition(inside, outside)
      // Entries of targets that the store does not hear from lapse.
      for (const target of fleet.listTargets('a')) fleet.store.remove('targets', target.info.id)
    })
    const heal = runAt(5_500, () => { fleet.network.heal() })
    const relist = runAt(6_500, () => {
      for (const target of fleet.listTargets('a')) fleet.store.put('targets', target.info.id, JSON.stringify(target.info))
    })
    await loadFleet(fleet, 8_000, 40, elapsed => { cut(elapsed); heal(elapsed); relist(elapsed) })
    assert.equal(fleet.findDispatchingInstance('a'), holder)
    assertKept(fleet, 0.97)
  })

  it('takes over without the store by a named successor', async () => {
    const fleet = await startFleet()
    const holder = fleet.findDispatchingInstance('a')!
    await loadFleet(fleet, 5_000, 50, runAt(500, () => {
      fleet.store.fault = 'down'
      fleet.killInstance(holder)
    }))
    assert.notEqual(fleet.findDispatchingInstance('a'), undefined)
    assertKept(fleet, 0.9)
  })

  it('frees the room of starts that are carried out late or never', async () => {
    const fleet = await startFleet()
    await loadFleet(fleet, 4_000, 50, elapsed => { fleet.lateOrders.probability = elapsed > 500 && elapsed < 3_000 ? 0.1 : 0 })
    assertKept(fleet, 0.97)
    const reserved = [...fleet.instances.values()].flatMap(parts => parts.server.listDispatchers()).flatMap(dispatcher => dispatcher.listSessions()).reduce((sum, session) => sum + session.runs.size, 0)
    assert.equal(reserved, 0)
  })

  it('moves work away from a target that hangs, and uses it again afterwards', async () => {
    const fleet = await startFleet()
    const target = fleet.listTargets('a')[0]!
    await loadFleet(fleet, 8_000, 40, elapsed => { target.fault = elapsed > 500 && elapsed < 3_000 ? 'hangs' : 'none' })
    assertKept(fleet, 0.99)
    const after = fleet.history.runs.filter(run => run.target === target.info.id && run.startedAt > fleet.clock.now() - 12_000)
    assert.ok(after.length > 0)
  })

  it('keeps work away from a target that fails all that it starts', async () => {
    const fleet = await startFleet()
    const target = fleet.listTargets('a')[0]!
    target.fault = 'fails'
    await loadFleet(fleet, 4_000, 40)
    assertKept(fleet, 0.97)
    const failed = fleet.history.runs.filter(run => run.how === 'failed').length
    assert.ok(failed < 20, `${failed} runs failed`)
  })

  it('runs a task again elsewhere when its target restarts under the same id', async () => {
    const fleet = await startFleet()
    await loadFleet(fleet, 3_000, 40, runAt(1_000, () => { for (const target of fleet.listTargets('a').slice(0, 3)) target.restart() }))
    assertKept(fleet, 1)
  })

  it('starts nothing at a leaving target', async () => {
    const fleet = await startFleet()
    const target = fleet.listTargets('a')[0]!
    await loadFleet(fleet, 4_000, 40, runAt(1_000, () => { fleet.drainTarget(target) }))
    assertKept(fleet, 1)
  })

  it('sees a leaving target after the store has dropped its history', async () => {
    const fleet = await startFleet()
    const target = fleet.listTargets('a')[0]!
    await loadFleet(fleet, 4_000, 40, runAt(1_000, () => {
      fleet.drainTarget(target)
      fleet.store.compactHistory()
    }))
    assertKept(fleet, 1)
  })

  it('stops the runs of a caller that leaves', async () => {
    const fleet = await startFleet()
    const job = fleet.submit('a-0', 2, 5_000)
    await fleet.advance(300)
    job.leave()
    await fleet.advance(300)
    assert.equal([...fleet.targets.values()].reduce((sum, target) => sum + target.runCount, 0), 0)
    assert.ok(fleet.history.runs.every(run => run.how === 'stopped'))
  })

  it('cancels a job through an instance that does not own it', async () => {
    const fleet = await startFleet()
    const job = fleet.submit('a-0', 2, 5_000)
    await fleet.advance(300)
    const cancelled = fleet.instances.get('b-1')!.owner.cancel(job.jobId, 1_000)
    await fleet.advance(1_100)
    assert.equal(await cancelled, true)
    assert.equal([...fleet.targets.values()].reduce((sum, target) => sum + target.runCount, 0), 0)
    const unknown = fleet.instances.get('b-1')!.owner.cancel('ffffffffffffffff', 500)
    await fleet.advance(1_100)
    assert.equal(await unknown, false)
  })

  it('rejects at once what can not be served in time', async () => {
    const fleet = await startFleet({ ...twoDomains, domains: ['a'] })
    for (let index = 0; index < 40; index++) fleet.submit('a-0', 4, 2_000)
    await fleet.advance(200)
    const rejected = fleet.history.answers.filter(entry => entry.answer.kind === 'rejected')
    assert.ok(rejected.length > 0)
    for (const entry of rejected) assert.ok(entry.answer.kind === 'rejected' && entry.answer.retryAfterMs > 0)
    await fleet.advance(12_000)
    assert.deepEqual(fleet.history.listViolations(), [])
  })
})

describe('the history of a fleet', () => {
  it('flags a job that is answered as failed while its tasks may still be tried', () => {
    const history = new FleetHistory(new ManualClock())
    for (let attempt = 1; attempt <= 3; attempt++) {
      history.recordStart('t', 'spent.0.0.0', attempt)
      history.recordEnd('t', 'spent.0.0.0', attempt, 'failed')
    }
    history.recordAnswer('spent', { kind: 'failed', reason: 'attempts-used' })
    history.recordAnswer('given-up', { kind: 'failed', reason: 'too-late' })
    history.recordAnswer('left', { kind: 'failed', reason: 'cancelled' })
    assert.deepEqual(history.listViolations(), ['given-up was answered as failed, and no task of it has failed 3 times'])
  })
})
