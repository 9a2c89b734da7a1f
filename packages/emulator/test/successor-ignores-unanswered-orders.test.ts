import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedFleet } from '../src/index.js'
import { finish, leave, listStartTargets, startWithLateOrder } from './late-order-fixture.js'

/** Ways in which a domain loses the dispatcher that knows of an unanswered order. Each is called right after the order was sent. */
const ways: Readonly<Record<string, (fleet: EmulatedFleet, first: string, owner: string) => void>> = {
  'is killed': (fleet, first) => { fleet.killInstance(first) },
  'loses power': (fleet, first) => { fleet.powerOffInstance(first) },
  'is stopped and hands its domain over': (fleet, first) => { leave(fleet, first) },
  'is frozen and wakes again': (fleet, first) => {
    const resume = fleet.instances.get(first)!.process.pause()
    fleet.clock.startTimer(7_000, resume)
  },
  'is on a machine that is suspended': (fleet, first) => {
    const resume = fleet.instances.get(first)!.process.suspend()
    fleet.clock.startTimer(7_000, resume)
  },
  'is cut off from all other instances': (fleet, first) => {
    fleet.network.partition([first], [...fleet.instances.keys()].filter(name => name !== first))
  },
  'is cut off from the owner of the job alone': (fleet, first, owner) => { fleet.network.partition([first], [owner]) },
  'is killed while the store is away': (fleet, first) => {
    fleet.store.fault = 'down'
    fleet.clock.startTimer(7_000, () => { fleet.store.fault = 'none' })
    fleet.killInstance(first)
  }
}

/**
 * A task does not start elsewhere while a restarted target may carry out an order that a lost dispatcher left without an
 * answer. Guards against a successor that does not know of such an order, and starts the task once the leases of
 * the earlier dispatcher have expired.
 */
describe('a start order without an answer whose dispatcher is lost', () => {
  it('is not followed by a start elsewhere while a restarted target out of reach may carry it out', async () => {
    const play = await startWithLateOrder(1, ['a'])
    const { fleet, first, target } = play
    fleet.killInstance(first)
    fleet.network.partition([target], [...fleet.instances.keys()])
    await fleet.advance(2_000)
    fleet.targets.get(target)!.restart()
    await fleet.advance(6_000)
    assert.deepEqual(fleet.history.listViolations(), [])
  })

  for (const [way, lose] of Object.entries(ways)) {
    it(`is not followed by a start elsewhere when the dispatcher ${way}, in one domain or two`, async () => {
      for (const domains of [['a'], ['a', 'b']]) {
        for (const seed of [1, 2, 3]) {
          const play = await startWithLateOrder(seed, domains)
          lose(play.fleet, play.first, play.owner)
          // The target is out of reach, so that nothing but the knowledge of the order keeps the task from a second run.
          play.fleet.network.partition([play.target], [...play.fleet.instances.keys()])
          await finish(play)
          assert.ok(listStartTargets(play.fleet, play.jobId).includes(play.target), 'the order was carried out late')
        }
      }
    })
  }

  it('is not followed by a start elsewhere when the successor of the dispatcher is lost as well', async () => {
    const play = await startWithLateOrder(1, ['a'])
    play.fleet.killInstance(play.first)
    play.fleet.network.partition([play.target], [...play.fleet.instances.keys()])
    await play.fleet.advance(1_500)
    play.fleet.killInstance([...play.fleet.instances.keys()].find(name => name === play.fleet.findDispatchingInstance('a') && name !== play.owner)!)
    await finish(play)
    assert.ok(listStartTargets(play.fleet, play.jobId).includes(play.target), 'the order was carried out late')
  })

  it('is not followed by a start elsewhere when the lost instance also owned the job, and its caller repeats it', async () => {
    for (const seed of [1, 2, 3]) {
      const play = await startWithLateOrder(seed, ['a'], true)
      const { fleet, first, target, jobId } = play
      fleet.killInstance(first)
      fleet.network.partition([target], [...fleet.instances.keys()])
      await fleet.advance(1_300)
      fleet.submit(fleet.listInstances('a').find(name => name !== first)!, 1, 6_000, jobId)
      await finish(play)
      assert.ok(listStartTargets(fleet, jobId).includes(target), 'the order was carried out late')
    }
  })

  it('is not followed by a start elsewhere when all instances of the domain lose power, and the caller repeats the job in another one', async () => {
    for (const seed of [1, 2, 3]) {
      const play = await startWithLateOrder(seed, ['a', 'b'])
      const { fleet, target, jobId } = play
      for (const instance of fleet.listInstances('a')) fleet.powerOffInstance(instance)
      fleet.network.partition([target], [...fleet.instances.keys()])
      await fleet.advance(1_300)
      fleet.submit(fleet.listInstances('b')[0]!, 1, 6_000, jobId)
      await finish(play)
      assert.ok(listStartTargets(fleet, jobId).includes(target), 'the order was carried out late')
    }
  })

  it('is not followed by a start elsewhere when all instances are stopped and started one after the other', async () => {
    for (const seed of [1, 2, 3, 4]) {
      const { fleet, target, jobId } = await startWithLateOrder(seed, ['a'], false, 20_000, [7_000, 8_000])
      fleet.network.partition([target], [...fleet.instances.keys()])
      for (const instance of [...fleet.instances.keys()]) {
        leave(fleet, instance)
        await fleet.advance(600)
        fleet.startInstance(instance, 'a')
        await fleet.advance(600)
      }
      fleet.targets.get(target)!.restart()
      fleet.submit(fleet.listInstances('a')[0]!, 1, 20_000, jobId)
      await fleet.advance(9_000)
      assert.deepEqual(fleet.history.listViolations(), [])
      assert.ok(listStartTargets(fleet, jobId).includes(target), 'the order was carried out late')
    }
  })

  it('is not followed by a start elsewhere when all other instances were replaced before the dispatcher is lost', async () => {
    for (const seed of [1, 2, 3]) {
      const { fleet, first, target, jobId } = await startWithLateOrder(seed, ['a'], false, 20_000, [7_000, 8_000])
      fleet.network.partition([target], [...fleet.instances.keys()])
      await fleet.advance(300)
      const others = fleet.listInstances('a').filter(name => name !== first)
      for (const instance of others) fleet.killInstance(instance)
      await fleet.advance(500)
      for (const instance of others) fleet.startInstance(instance, 'a')
      await fleet.advance(2_000)
      fleet.killInstance(first)
      await fleet.advance(1_300)
      fleet.submit(others[0]!, 1, 20_000, jobId)
      await fleet.advance(1_000)
      fleet.targets.get(target)!.restart()
      await fleet.advance(9_000)
      assert.deepEqual(fleet.history.listViolations(), [])
      assert.ok(listStartTargets(fleet, jobId).includes(target), 'the order was carried out late')
    }
  })

  it('lets the task start at the target itself once that is back', async () => {
    const play = await startWithLateOrder(1, ['a'], false, 4_000)
    play.fleet.killInstance(play.first)
    await play.fleet.advance(1_500)
    assert.deepEqual(listStartTargets(play.fleet, play.jobId), [], 'the target is down')
    await finish(play)
    assert.deepEqual(new Set(listStartTargets(play.fleet, play.jobId)), new Set([play.target]))
    assert.deepEqual(play.fleet.history.answers.map(({ answer }) => answer), [{ kind: 'completed' }])
  })
})

/**
 * A stop that a target has accepted holds only for the incarnation that has accepted it. Guards against a dispatcher that
 * starts the task elsewhere after the stop, and against a target that restarts then.
 */
describe('a start order without an answer whose target has accepted a stop', () => {
  it('is not followed by a start elsewhere', async () => {
    for (const seed of [1, 2, 3, 4]) {
      const fleet = new EmulatedFleet({ domains: ['a'], instancesPerDomain: 2, targetsPerDomain: 3, seed })
      await fleet.advance(3_500)
      fleet.lateOrders.delayMs = [2_000, 5_000]
      fleet.lateOrders.probability = 1
      const { jobId } = fleet.submit('a-0', 1, 6_000)
      await fleet.advance(20)
      fleet.lateOrders.probability = 0
      const session = fleet.instances.get(fleet.findDispatchingInstance('a')!)!.server.findDispatcher('a')!.listSessions().find(({ runs }) => runs.size > 0)!
      await fleet.advance(1_000)
      const target = fleet.targets.get(session.info.id)!
      target.crash()
      fleet.network.partition([session.info.id], [...fleet.instances.keys()])
      await fleet.advance(500)
      target.restart()
      await fleet.advance(13_000)
      assert.deepEqual(fleet.history.listViolations(), [])
      assert.ok(listStartTargets(fleet, jobId).includes(session.info.id))
    }
  })
})
