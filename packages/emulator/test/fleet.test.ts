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

/** Submits a job every `gapMs` through a random live instance, calls `during` before each, and then waits for the jobs to end. */
async function loadFleet (fleet: EmulatedFleet, forMs: number, gapMs: number, during: (elapsedMs: number) => void = () => {}): Promise<void> {
  for (let elapsed = 0; elapsed < forMs; elapsed += gapMs) {
    during(elapsed)
    const instance = fleet.random.pick([...fleet.instances.keys()])
    if (instance !== undefined) fleet.submit(instance, fleet.random.pickInteger(1, 4), fleet.random.pickInteger(50, 400))
    await fleet.advance(gapMs)
  }
  await fleet.advance(9_000)
}

function assertInvariants (fleet: EmulatedFleet, minCompletedFraction: number): void {
  assert.deepEqual(fleet.history.listViolations(), [])
  assert.ok(fleet.history.computeCompletedFraction() >= minCompletedFraction, `${fleet.history.computeCompletedFraction()} of the jobs were completed`)
}

/** Returns a callback that runs an action once, at its first call at or after `timeMs`. */
function runAt (timeMs: number, action: () => void): (elapsedMs: number) => void {
  let hasRun = false
  return elapsed => {
    if (hasRun || elapsed < timeMs) return
    hasRun = true
    action()
  }
}

describe('a fleet of instances', () => {
  it('completes all jobs and runs each task once when there are no faults', async () => {
    const fleet = await startFleet()
    await loadFleet(fleet, 3_000, 40)
    assertInvariants(fleet, 1)
    assert.equal(fleet.history.runs.length, new Set(fleet.history.runs.map(run => run.task)).size)
  })

  it('elects another dispatcher when the instance that ran it never returns', async () => {
    const fleet = await startFleet()
    const dispatchingInstance = fleet.findDispatchingInstance('a')!
    await loadFleet(fleet, 4_000, 40, runAt(1_000, () => { fleet.killInstance(dispatchingInstance) }))
    assert.notEqual(fleet.findDispatchingInstance('a'), undefined)
    assert.notEqual(fleet.findDispatchingInstance('a'), dispatchingInstance)
    // Callers of the killed instance get no answers.
    assertInvariants(fleet, 0.95)
  })

  it('hands over a domain at a planned stop without running a task twice or losing a job', async () => {
    const fleet = await startFleet()
    const dispatchingInstance = fleet.findDispatchingInstance('a')!
    const parts = fleet.instances.get(dispatchingInstance)!
    await loadFleet(fleet, 4_000, 40, runAt(1_000, () => { parts.election.leave().catch(assert.fail) }))
    assert.notEqual(fleet.findDispatchingInstance('a'), dispatchingInstance)
    assertInvariants(fleet, 1)
  })

  it('keeps the dispatcher of a domain that is cut off, and runs no task twice after it is reconnected', async () => {
    const fleet = await startFleet()
    const dispatchingInstance = fleet.findDispatchingInstance('a')
    const inside = ['a-0', 'a-1', 'a-2', ...fleet.listTargets('a').map(target => target.info.id)]
    const outside = ['b-0', 'b-1', 'b-2', 'store', ...fleet.listTargets('b').map(target => target.info.id)]
    const cut = runAt(500, () => {
      fleet.network.partition(inside, outside)
      // Entries of targets that cannot reach the store expire.
      for (const target of fleet.listTargets('a')) fleet.store.remove('targets', target.info.id)
    })
    const heal = runAt(5_500, () => { fleet.network.heal() })
    const relist = runAt(6_500, () => {
      for (const target of fleet.listTargets('a')) fleet.store.put('targets', target.info.id, JSON.stringify(target.info))
    })
    await loadFleet(fleet, 8_000, 40, elapsed => { cut(elapsed); heal(elapsed); relist(elapsed) })
    assert.equal(fleet.findDispatchingInstance('a'), dispatchingInstance)
    assertInvariants(fleet, 0.97)
  })

  it('lets the named successor take over while the store is down', async () => {
    const fleet = await startFleet()
    const dispatchingInstance = fleet.findDispatchingInstance('a')!
    await loadFleet(fleet, 5_000, 50, runAt(500, () => {
      fleet.store.fault = 'down'
      fleet.killInstance(dispatchingInstance)
    }))
    assert.notEqual(fleet.findDispatchingInstance('a'), undefined)
    assertInvariants(fleet, 0.9)
  })

  it('releases the capacity reserved for starts that are carried out late or never', async () => {
    const fleet = await startFleet()
    await loadFleet(fleet, 4_000, 50, elapsed => { fleet.lateOrders.probability = elapsed > 500 && elapsed < 3_000 ? 0.1 : 0 })
    assertInvariants(fleet, 0.97)
    const reserved = [...fleet.instances.values()].flatMap(parts => parts.server.listDispatchers()).flatMap(dispatcher => dispatcher.listSessions()).reduce((sum, session) => sum + session.runs.size, 0)
    assert.equal(reserved, 0)
  })

  it('moves work away from a target that hangs, and uses it again afterwards', async () => {
    const fleet = await startFleet()
    const target = fleet.listTargets('a')[0]!
    await loadFleet(fleet, 8_000, 40, elapsed => { target.fault = elapsed > 500 && elapsed < 3_000 ? 'hangs' : 'none' })
    assertInvariants(fleet, 0.99)
    const after = fleet.history.runs.filter(run => run.target === target.info.id && run.startedAt > fleet.clock.now() - 12_000)
    assert.ok(after.length > 0)
  })

  it('avoids a target that fails every run', async () => {
    const fleet = await startFleet()
    const target = fleet.listTargets('a')[0]!
    target.fault = 'fails'
    await loadFleet(fleet, 4_000, 40)
    assertInvariants(fleet, 0.97)
    const failed = fleet.history.runs.filter(run => run.how === 'failed').length
    assert.ok(failed < 20, `${failed} runs failed`)
  })

  it('runs a task again when its target restarts under the same id', async () => {
    const fleet = await startFleet()
    await loadFleet(fleet, 3_000, 40, runAt(1_000, () => { for (const target of fleet.listTargets('a').slice(0, 3)) target.restart() }))
    assertInvariants(fleet, 1)
  })

  it('starts no tasks on a leaving target', async () => {
    const fleet = await startFleet()
    const target = fleet.listTargets('a')[0]!
    await loadFleet(fleet, 4_000, 40, runAt(1_000, () => { fleet.drainTarget(target) }))
    assertInvariants(fleet, 1)
  })

  it('notices a leaving target after the store has discarded its history of changes', async () => {
    const fleet = await startFleet()
    const target = fleet.listTargets('a')[0]!
    await loadFleet(fleet, 4_000, 40, runAt(1_000, () => {
      fleet.drainTarget(target)
      fleet.store.compactHistory()
    }))
    assertInvariants(fleet, 1)
  })

  it('stops the runs of a job that its caller abandons', async () => {
    const fleet = await startFleet()
    const job = fleet.submit('a-0', 2, 5_000)
    await fleet.advance(300)
    job.abandon()
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
    assert.equal(await cancelled, 'cancelled')
    assert.equal([...fleet.targets.values()].reduce((sum, target) => sum + target.runCount, 0), 0)
    const unknown = fleet.instances.get('b-1')!.owner.cancel('ffffffffffffffff', 500)
    await fleet.advance(1_100)
    assert.equal(await unknown, 'unknown-job')
  })

  it('rejects at once jobs that cannot be completed in time', async () => {
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
  it('reports a job that is answered as failed before one of its tasks has used up its attempts', () => {
    const history = new FleetHistory(new ManualClock())
    for (let attempt = 1; attempt <= 3; attempt++) {
      history.recordStart('t', 'spent.0.0.0', attempt)
      history.recordEnd('t', 'spent.0.0.0', attempt, 'failed')
    }
    for (const [task, crashes] of [['crashed-once.0.0.0', 1], ['crashed-twice.0.0.0', 2]] as const) {
      for (let attempt = 1; attempt <= crashes; attempt++) {
        history.recordStart('t', task, attempt)
        history.recordEnd('t', task, attempt, 'crashed')
      }
    }
    history.recordAnswer('crashed-once', { kind: 'failed', reason: 'targets-lost' })
    history.recordAnswer('crashed-twice', { kind: 'failed', reason: 'targets-lost' })
    history.recordAnswer('spent', { kind: 'failed', reason: 'attempts-used' })
    history.recordAnswer('given-up', { kind: 'failed', reason: 'too-late' })
    history.recordAnswer('left', { kind: 'failed', reason: 'cancelled' })
    assert.deepEqual(history.listViolations(), ['crashed-once', 'given-up'].map(job => `${job} was answered as failed, and no task of it has failed 3 times or crashed 2 targets`))
  })

  it('reports a task that is started three times more after three targets have crashed under it', async () => {
    const clock = new ManualClock()
    const history = new FleetHistory(clock)
    const crash = async (attempt: number): Promise<void> => {
      history.recordStart('t', 'job.0.0.0', attempt)
      history.recordEnd('t', 'job.0.0.0', attempt, 'crashed')
      await clock.advance(1)
    }
    for (let attempt = 1; attempt <= 5; attempt++) await crash(attempt)
    assert.deepEqual(history.listViolations(), [])
    await crash(6)
    assert.deepEqual(history.listViolations(), ['job.0.0.0 was started 3 times more after 3 targets had crashed under it'])
  })
})
