import { test } from 'node:test'
import assert from 'node:assert/strict'
import fc from 'fast-check'
import { placementNames, RunTimeEstimator } from '../src/index.js'
import { type HeapEntry, IndexedHeap } from '../src/indexed-heap.js'
import { DispatcherFixture, createTarget, createTask, wideLimit } from './fixture.js'
import { JobQueue } from '../src/job-queue.js'
import { JobRecord } from '../src/job-record.js'

// Guards against a heap order that breaks when an item is updated or removed in the middle.
test('a heap yields its items in key order after any sequence of changes', () => {
  const change = fc.record({ id: fc.nat({ max: 30 }), key: fc.integer({ min: 0, max: 100 }), isRemoval: fc.boolean() })
  fc.assert(fc.property(fc.array(change, { maxLength: 200 }), (changes) => {
    const heap = new IndexedHeap<HeapEntry>()
    const items = Array.from({ length: 31 }, (): HeapEntry => ({ heapKey: 0, heapIndex: -1 }))
    for (const { id, key, isRemoval } of changes) {
      const item = items[id]!
      if (!heap.has(item)) heap.add(item, key)
      else if (isRemoval) heap.remove(item)
      else heap.update(item, key)
    }
    const expected = heap.list().map(item => item.heapKey).sort((a, b) => a - b)
    const actual: number[] = []
    for (let first = heap.getFirst(); first !== undefined; first = heap.getFirst()) {
      actual.push(first.heapKey)
      heap.remove(first)
    }
    assert.deepEqual(actual, expected)
  }))
})

// Guards against estimates that rely on wrong declarations, or that confuse slow targets with slow kinds.
test('run times and slowdown factors are learned', () => {
  const estimator = new RunTimeEstimator()
  assert.equal(estimator.estimateRun('audit', 5_000), 5_000)
  for (let i = 0; i < 200; i++) {
    estimator.observeRun('audit', 'fast', 100)
    estimator.observeRun('audit', 'slow', 300)
  }
  const ratio = estimator.getSlowdownFactor('slow') / estimator.getSlowdownFactor('fast')
  assert.ok(ratio > 2.7 && ratio < 3.3, `ratio ${ratio}`)
  const fast = estimator.estimateRun('audit', 5_000) * estimator.getSlowdownFactor('fast')
  assert.ok(fast > 80 && fast < 120, `${fast} ms`)
})

// Guards against a policy that loses tasks, starts a task twice or exceeds the slots of a target.
for (const name of placementNames) {
  test(`policy ${name} runs every task once and within the slots`, async () => {
    const fixture = new DispatcherFixture(undefined, undefined, 0, 1, name)
    fixture.runner.decide = (order) => {
      const there = [...fixture.runner.running.values()].filter(other => other.targetId === order.targetId).length
      assert.ok(there <= 8)
      return { delayMs: 20, result: { kind: 'succeeded', result: order.taskId, runMs: 20 } }
    }
    const key = fixture.submit(Array.from({ length: 300 }, () => createTask()))
    await fixture.clock.advance(5)
    // Tasks that wait at a target that leaves must be started elsewhere.
    fixture.dispatcher.applyTargets([createTarget('t1', { state: 'leaving' }), createTarget('t2')])
    await fixture.clock.advance(3_000)
    assert.equal(fixture.describeJob(key), 'complete')
    assert.equal(fixture.runner.orders.length, 300)
  })
}

// Guards against a short queue that is started on slow targets although a fast one becomes free shortly after.
test('the default policy waits for a faster target only while the queue is short', async () => {
  const fixture = new DispatcherFixture()
  fixture.dispatcher.applyTargets([createTarget('fast', { slots: 1 }), createTarget('slow', { slots: 8 })])
  fixture.runner.decide = (order) => {
    const runMs = order.targetId === 'fast' ? 50 : 1_000
    return { delayMs: runMs, result: { kind: 'succeeded', result: null, runMs } }
  }
  for (let i = 0; i < 20; i++) {
    fixture.submit(Array.from({ length: 9 }, () => createTask()))
    await fixture.clock.advance(1_500)
  }
  const before = fixture.runner.orders.length
  fixture.submit([createTask(), createTask()])
  await fixture.clock.advance(1_500)
  assert.deepEqual(fixture.runner.orders.slice(before).map(order => order.targetId), ['fast', 'fast'])
  const beforeBurst = fixture.runner.orders.length
  fixture.submit(Array.from({ length: 60 }, () => createTask()))
  await fixture.clock.advance(10)
  assert.equal(fixture.runner.orders.length - beforeBurst, 9)
})

// Guards against a task that needs a busy accelerator and blocks the smaller tasks behind it.
test('a task that fits no free target does not block others', async () => {
  const fixture = new DispatcherFixture()
  fixture.runner.decide = () => undefined
  const accelerated = createTask({ demand: { processors: 10, memoryMb: 10, accelerators: 1 }, expectedMs: 9_000 })
  fixture.submit([accelerated, accelerated, accelerated, createTask(), createTask()])
  await fixture.clock.advance(10)
  assert.equal(fixture.runner.orders.filter(order => order.task.demand.accelerators === 1).length, 2)
  assert.equal(fixture.runner.orders.filter(order => order.task.demand.accelerators === 0).length, 2)
})

// Guards against a long task that starts last and delays its whole job.
test('within a job the task with the longest expected run time starts first', async () => {
  const fixture = new DispatcherFixture()
  fixture.dispatcher.applyTargets([createTarget('t1', { slots: 1 })])
  fixture.submit([createTask(), createTask({ kind: 'audit', expectedMs: 3_000 }), createTask({ kind: 'quote', expectedMs: 700 })])
  await fixture.clock.advance(500)
  assert.deepEqual(fixture.runner.orders.map(order => order.task.kind), ['audit', 'quote', 'lookup'])
})

// Guards against a cost per start that grows with the queue, as with a sort or a scan of all jobs.
test('taking a task takes about as much processor time with 100,000 queued tasks as with few', () => {
  const measureCpuUs = (jobs: number): number => {
    const queue = new JobQueue(() => wideLimit)
    for (let i = 0; i < jobs; i++) {
      const tasks = Array.from({ length: 100 }, () => createTask())
      queue.addJob(new JobRecord({ key: `k${i}`, customer: `c${i % 80}`, repeatable: false, tasks }, i, undefined, () => 100))
    }
    const begin = process.cpuUsage()
    for (let i = 0; i < 5_000; i++) {
      const { queue: customer, group } = queue.findNext()!
      const task = { job: group.job, index: customer.takeFirst(group) }
      queue.recordStart(customer, task)
      queue.recordEnd(task)
    }
    const { user, system } = process.cpuUsage(begin)
    return user + system
  }
  measureCpuUs(100)
  const small = Math.max(measureCpuUs(60), 1_000)
  const large = measureCpuUs(1_000)
  assert.ok(large < small * 10, `${small} us with 6,000 tasks, ${large} us with 100,000`)
})
