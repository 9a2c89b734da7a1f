import { test } from 'node:test'
import assert from 'node:assert/strict'
import { type AttemptResult, type LendingPeer } from '../src/index.js'
import { DispatcherFixture, createTarget, createTask, succeed } from './fixture.js'

const failed: AttemptResult = { kind: 'failed', message: 'bad seal', runMs: 5 }

// Guards against starts at a leaving target, also when an outdated list shows it as live again.
test('a leaving target gets no tasks until it has a new boot id', async () => {
  const fixture = new DispatcherFixture()
  fixture.dispatcher.applyTargetReport('t1', { boot: 'a', freeSlots: 8, leaving: false })
  fixture.dispatcher.applyTargets([createTarget('t1', { state: 'leaving' }), createTarget('t2')])
  fixture.dispatcher.applyTargets([createTarget('t1'), createTarget('t2')])
  fixture.submit(Array.from({ length: 12 }, () => createTask()))
  await fixture.clock.advance(1_000)
  assert.deepEqual([...new Set(fixture.runner.orders.map(order => order.targetId))], ['t2'])
  fixture.dispatcher.applyTargetReport('t1', { boot: 'b', freeSlots: 8, leaving: false })
  fixture.dispatcher.applyTargetReport('t1', { boot: 'a', freeSlots: 8, leaving: true })
  fixture.submit(Array.from({ length: 12 }, () => createTask()))
  await fixture.clock.advance(1_000)
  assert.ok(fixture.runner.orders.some(order => order.targetId === 't1'))
})

// Guards against a target that fails every task and attracts more because it fails fast.
test('a failing target is ejected, probed by one task and readmitted', async () => {
  const fixture = new DispatcherFixture()
  fixture.dispatcher.applyTargets(['t1', 't2', 't3', 't4', 't5'].map(id => createTarget(id)))
  let isBroken = true
  const startsAt = (): number => fixture.runner.orders.filter(order => order.targetId === 't1').length
  fixture.runner.decide = order => order.targetId === 't1' && isBroken ? { delayMs: 2, result: failed } : succeed
  const load = async (rounds: number): Promise<void> => {
    for (let i = 0; i < rounds; i++) {
      fixture.submit(Array.from({ length: 8 }, () => createTask()), { repeatable: true })
      await fixture.clock.advance(100)
    }
  }
  await load(10)
  const ejectedAfter = startsAt()
  assert.ok(ejectedAfter >= 5 && ejectedAfter <= 14, `${ejectedAfter} starts`)
  assert.deepEqual(fixture.dispatcher.readDemand().ejectedTargets, ['t1'])
  await load(35)
  assert.equal(startsAt(), ejectedAfter)
  await load(15)
  assert.equal(startsAt(), ejectedAfter + 1)
  isBroken = false
  await load(60)
  assert.ok(startsAt() > ejectedAfter + 5)
  assert.deepEqual(fixture.dispatcher.readDemand().ejectedTargets, [])
})

// Guards against a kind of task that fails everywhere and causes the ejection of all targets.
test('a kind that fails at every target ejects at most three', async () => {
  const fixture = new DispatcherFixture()
  fixture.dispatcher.applyTargets(Array.from({ length: 10 }, (_, i) => createTarget(`t${i}`)))
  fixture.runner.decide = order => order.task.kind === 'poison' ? { delayMs: 5, result: failed } : succeed
  for (let i = 0; i < 100; i++) {
    fixture.submit(Array.from({ length: 20 }, () => createTask({ kind: 'poison' })))
    await fixture.clock.advance(50)
  }
  assert.ok(fixture.dispatcher.readDemand().ejectedTargets.length <= 3, fixture.dispatcher.readDemand().ejectedTargets.join())
})

// Guards against instances of a domain that each have to detect a broken target themselves, and against
// a target that stays ejected forever because one peer cannot reach it.
test('an ejection by a peer is taken over until a probe of this instance succeeds', async () => {
  const fixture = new DispatcherFixture()
  const peer: LendingPeer = { seat: 'gent-1.1', sameDomain: true, queuedByCustomer: {}, ejectedTargets: ['t1'] }
  const startsAt = (id: string): number => fixture.runner.orders.filter(order => order.targetId === id).length
  const load = async (rounds: number): Promise<void> => {
    for (let i = 0; i < rounds; i++) {
      fixture.dispatcher.applyPeers([peer])
      fixture.submit(Array.from({ length: 6 }, () => createTask()))
      await fixture.clock.advance(250)
    }
  }
  await load(10)
  assert.equal(startsAt('t1'), 0)
  assert.deepEqual(fixture.dispatcher.readDemand().ejectedTargets, [])
  await load(20)
  assert.ok(startsAt('t1') > 10, `${startsAt('t1')} starts`)
})

// Guards against starts at a target that a peer has seen leaving.
test('a leaving notice that a peer passes on is applied', async () => {
  const fixture = new DispatcherFixture()
  fixture.dispatcher.applyTargetReport('t1', { boot: 'a', freeSlots: 8, leaving: false })
  fixture.dispatcher.applyPeers([{ seat: 'gent-1.1', sameDomain: true, queuedByCustomer: {}, ejectedTargets: [], leavingTargets: [{ id: 't1', epoch: 'a' }] }])
  fixture.submit(Array.from({ length: 6 }, () => createTask()))
  await fixture.clock.advance(1_000)
  assert.deepEqual([...new Set(fixture.runner.orders.map(order => order.targetId))], ['t2'])
})
