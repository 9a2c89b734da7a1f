import { test } from 'node:test'
import assert from 'node:assert/strict'
import { type AttemptResult, type LendingPeer } from '../src/index.js'
import { DispatcherFixture, createTarget, createTask, succeed } from './fixture.js'

const failed: AttemptResult = { kind: 'failed', message: 'bad seal', runMs: 5 }

// Guards against work for a leaving target, also when the list lags and calls it live again.
test('a leaving target gets nothing until it has a new boot id', async () => {
  const bed = new DispatcherFixture()
  bed.dispatcher.applyTargetReport('t1', { boot: 'a', freeSlots: 8, leaving: false })
  bed.dispatcher.applyTargets([createTarget('t1', { state: 'leaving' }), createTarget('t2')])
  bed.dispatcher.applyTargets([createTarget('t1'), createTarget('t2')])
  bed.submit(Array.from({ length: 12 }, () => createTask()))
  await bed.clock.advance(1_000)
  assert.deepEqual([...new Set(bed.runner.orders.map(order => order.targetId))], ['t2'])
  bed.dispatcher.applyTargetReport('t1', { boot: 'b', freeSlots: 8, leaving: false })
  bed.dispatcher.applyTargetReport('t1', { boot: 'a', freeSlots: 8, leaving: true })
  bed.submit(Array.from({ length: 12 }, () => createTask()))
  await bed.clock.advance(1_000)
  assert.ok(bed.runner.orders.some(order => order.targetId === 't1'))
})

// Guards against a target that fails everything and attracts work because it is fast.
test('a failing target is ejected, probed by one task and readmitted', async () => {
  const bed = new DispatcherFixture()
  bed.dispatcher.applyTargets(['t1', 't2', 't3', 't4', 't5'].map(id => createTarget(id)))
  let isBroken = true
  const startsAt = (): number => bed.runner.orders.filter(order => order.targetId === 't1').length
  bed.runner.decide = order => order.targetId === 't1' && isBroken ? { delayMs: 2, result: failed } : succeed
  const load = async (rounds: number): Promise<void> => {
    for (let i = 0; i < rounds; i++) {
      bed.submit(Array.from({ length: 8 }, () => createTask()), { repeatable: true })
      await bed.clock.advance(100)
    }
  }
  await load(10)
  const ejectedAfter = startsAt()
  assert.ok(ejectedAfter >= 5 && ejectedAfter <= 14, `${ejectedAfter} starts`)
  assert.deepEqual(bed.dispatcher.readDemand().ejectedTargets, ['t1'])
  await load(35)
  assert.equal(startsAt(), ejectedAfter)
  await load(15)
  assert.equal(startsAt(), ejectedAfter + 1)
  isBroken = false
  await load(60)
  assert.ok(startsAt() > ejectedAfter + 5)
  assert.deepEqual(bed.dispatcher.readDemand().ejectedTargets, [])
})

// Guards against a kind of work that fails everywhere and takes all targets out of service.
test('a kind that fails at every target ejects at most three', async () => {
  const bed = new DispatcherFixture()
  bed.dispatcher.applyTargets(Array.from({ length: 10 }, (_, i) => createTarget(`t${i}`)))
  bed.runner.decide = order => order.task.kind === 'poison' ? { delayMs: 5, result: failed } : succeed
  for (let i = 0; i < 100; i++) {
    bed.submit(Array.from({ length: 20 }, () => createTask({ kind: 'poison' })))
    await bed.clock.advance(50)
  }
  assert.ok(bed.dispatcher.readDemand().ejectedTargets.length <= 3, bed.dispatcher.readDemand().ejectedTargets.join())
})

// Guards against each instance of a domain that finds a broken target anew, and against one
// that keeps the target out of service for ever because a peer cannot reach it.
test('an ejection by a peer is taken over until an own probe succeeds', async () => {
  const bed = new DispatcherFixture()
  const peer: LendingPeer = { seat: 'gent-1.1', sameDomain: true, queuedByCustomer: {}, ejectedTargets: ['t1'] }
  const startsAt = (id: string): number => bed.runner.orders.filter(order => order.targetId === id).length
  const load = async (rounds: number): Promise<void> => {
    for (let i = 0; i < rounds; i++) {
      bed.dispatcher.applyPeers([peer])
      bed.submit(Array.from({ length: 6 }, () => createTask()))
      await bed.clock.advance(250)
    }
  }
  await load(10)
  assert.equal(startsAt('t1'), 0)
  assert.deepEqual(bed.dispatcher.readDemand().ejectedTargets, [])
  await load(20)
  assert.ok(startsAt('t1') > 10, `${startsAt('t1')} starts`)
})

// Guards against a target that a peer saw leaving and that still gets work here.
test('a mark of a leaving target that a peer passes on counts', async () => {
  const bed = new DispatcherFixture()
  bed.dispatcher.applyTargetReport('t1', { boot: 'a', freeSlots: 8, leaving: false })
  bed.dispatcher.applyPeers([{ seat: 'gent-1.1', sameDomain: true, queuedByCustomer: {}, ejectedTargets: [], leavingTargets: [{ id: 't1', epoch: 'a' }] }])
  bed.submit(Array.from({ length: 6 }, () => createTask()))
  await bed.clock.advance(1_000)
  assert.deepEqual([...new Set(bed.runner.orders.map(order => order.targetId))], ['t2'])
})
