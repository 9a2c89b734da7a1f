import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { type Dispatcher } from '@sesamereel/fleet'
import { EmulatedFleet } from '../src/index.js'

/** Time in milliseconds from one restart of a target to the next. */
const restartIntervalMs = 1_500

async function startFleet (): Promise<EmulatedFleet> {
  const fleet = new EmulatedFleet({ domains: ['a'], instancesPerDomain: 3, targetsPerDomain: 3, seed: 1 })
  await fleet.advance(3_500)
  return fleet
}

async function restartTargets (fleet: EmulatedFleet, ids: readonly string[], count: number): Promise<void> {
  for (let restart = 0; restart < count; restart++) {
    for (const id of ids) fleet.targets.get(id)!.restart()
    await fleet.advance(restartIntervalMs)
  }
}

function findDispatcher (fleet: EmulatedFleet): Dispatcher {
  return fleet.instances.get(fleet.findDispatchingInstance('a')!)!.server.findDispatcher('a')!
}

function countUsable (fleet: EmulatedFleet): number {
  return findDispatcher(fleet).listSessions().filter(session => session.isUsable(fleet.clock.now())).length
}

/**
 * Each incarnation of a target gets a higher token, and the tokens of a dispatcher are limited. Guards against tokens that
 * reach into those of a successor, and against targets that stay unused once the tokens have run out.
 */
describe('targets that restart several times under one dispatcher', () => {
  it('accept the orders of a successor that takes over without the store', async () => {
    const fleet = await startFleet()
    fleet.store.fault = 'down'
    await restartTargets(fleet, [...fleet.targets.keys()], 3)
    const holder = fleet.findDispatchingInstance('a')!
    fleet.killInstance(holder)
    await fleet.advance(4_000)
    assert.notEqual(fleet.findDispatchingInstance('a'), undefined)
    assert.equal(countUsable(fleet), 3)
    fleet.submit(fleet.findDispatchingInstance('a')!, 6, 300)
    await fleet.advance(2_000)
    assert.equal(fleet.history.runs.filter(run => run.how === 'done').length, 6)
    assert.deepEqual(fleet.history.listViolations(), [])
  })

  it('stay in use, as the holder renews its claim for a higher token', async () => {
    const fleet = await startFleet()
    const dispatcher = findDispatcher(fleet)
    const { token } = dispatcher
    await restartTargets(fleet, ['target-a-0'], 12)
    assert.equal(findDispatcher(fleet), dispatcher)
    assert.ok(dispatcher.token > token)
    assert.equal(countUsable(fleet), 3)
  })

  it('are left out for 13.5 s beyond the last token while the store is away, and the others serve', async () => {
    const fleet = await startFleet()
    fleet.store.fault = 'down'
    await restartTargets(fleet, ['target-a-0'], 4)
    assert.equal(countUsable(fleet), 2)
    fleet.submit([...fleet.instances.keys()][0]!, 4, 300)
    await fleet.advance(2_000)
    assert.equal(fleet.history.runs.filter(run => run.how === 'done').length, 4)
    await fleet.advance(12_000)
    assert.equal(countUsable(fleet), 3)
    assert.deepEqual(fleet.history.listViolations(), [])
  })
})
