import { test } from 'node:test'
import assert from 'node:assert/strict'
import fc from 'fast-check'
import { placementNames, RunTimeEstimator } from '../src/index.js'
import { type HeapEntry, IndexedHeap } from '../src/indexed-heap.js'
import { DispatcherFixture, createTarget, createTask, wideLimit } from './fixture.js'
import { JobQueue } from '../src/job-queue.js'
import { JobRecord } from '../src/job-record.js'

// Guards against an order that breaks when items move or leave the middle of the heap.
test('a heap yields its items in order after any changes', () => {
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

// Guards against estimates that follow wrong declarations, or that mix up slow targets and slow kinds.
test('run times and speed factors are learned', () => {
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

// Guards against a policy that loses tasks, starts one twice or exceeds the slots of a target.
for (const name of placementNames) {
  test(`policy ${name} runs every task once and within the slots`, async () => {
    const bed = new DispatcherFixture(undefined, undefined, 0, 1, name)
    bed.runner.decide = (order) => {
      const there = [...bed.runner.running.values()].filter(other => other.targetId === order.targetId).length
      assert.ok(there <= 8)
      return { delayMs: 20, result: { kind: 'succeeded', result: order.taskId, runMs: 20 } }
    }
    const key = bed.submit(Array.from({ length: 300 }, () => createTask()))
    await bed.clock.advance(5)
    // A target that goes away must not keep the tasks that wait for it.
    bed.dispatcher.applyTargets([createTarget('t1', { state: 'leaving' }), createTarget('t2')])
    await bed.clock.advance(3_000)
    assert.equal(bed.describeJob(key), 'complete')
    assert.equal(bed.runner.orders.length, 300)
  })
}

// Guards against a short queue that fills slow targets although a fast one is free a moment later.
test('the default policy waits for a faster target only while the queue is short', async () => {
  const bed = new DispatcherFixture()
  bed.dispatcher.applyTargets([createTarget('fast', { slots: 1 }), createTarget('slow', { slots: 8 })])
  bed.runner.decide = (order) => {
    const runMs = order.targetId === 'fast' ? 50 : 1_000
    return { delayMs: runMs, result: { kind: 'succeeded', result: null, runMs } }
  }
  for (let i = 0; i < 20; i++) {
    bed.submit(Array.from({ length: 9 }, () => createTask()))
    await bed.clock.advance(1_500)
  }
  const before = bed.runner.orders.length
  bed.submit([createTask(), createTask()])
  await bed.clock.advance(1_500)
  assert.deepEqual(bed.runner.orders.slice(before).map(order => order.targetId), ['fast', 'fast'])
  const beforeBurst = bed.runner.orders.length
  bed.submit(Array.from({ length: 60 }, () => createTask()))
  await bed.clock.advance(10)
  assert.equal(bed.runner.orders.length - beforeBurst, 9)
})

// Guards against an accelerator task that blocks smaller ones behind it.
test('a task without room does not block others', async () => {
  const bed = new DispatcherFixture()
  bed.runner.decide = () => undefined
  const accelerated = createTask({ demand: { processors: 10, memoryMb: 10, accelerators: 1 }, expectedMs: 9_000 })
  bed.submit([accelerated, accelerated, accelerated, createTask(), createTask()])
  await bed.clock.advance(10)
  assert.equal(bed.runner.orders.filter(order => order.task.demand.accelerators === 1).length, 2)
  assert.equal(bed.runner.orders.filter(order => order.task.demand.accelerators === 0).length, 2)
})

// Guards against a long task that is started last and delays its whole job.
test('within a job the longest expected task goes first', async () => {
  const bed = new DispatcherFixture()
  bed.dispatcher.applyTargets([createTarget('t1', { slots: 1 })])
  bed.submit([createTask(), createTask({ kind: 'audit', expectedMs: 3_000 }), createTask({ kind: 'quote', expectedMs: 700 })])
  await bed.clock.advance(500)
  assert.deepEqual(bed.runner.orders.map(order => order.task.kind), ['audit', 'quote', 'lookup'])
})

// Guards against a start that costs more the more is queued, as a sort or a scan of all jobs would.
test('taking a task costs about the same with 100,000 queued tasks', () => {
  const takeTime = (jobs: number): number => {
    const queue = new JobQueue(() => wideLimit)
    for (let i = 0; i < jobs; i++) {
      const tasks = Array.from({ length: 100 }, () => createTask())
      queue.addJob(new JobRecord({ key: `k${i}`, customer: `c${i % 80}`, repeatable: false, tasks }, i, undefined, () => 100))
    }
    const begin = process.cpuUsage()
    for (let i = 0; i < 5_000; i++) {
      const { queue: customer, part } = queue.findNext()!
      const task = { job: part.job, index: customer.takeFirst(part) }
      queue.recordStart(customer, task)
      queue.recordEnd(task)
    }
    const { user, system } = process.cpuUsage(begin)
    return user + system
  }
  takeTime(100)
  const small = Math.max(takeTime(60), 1_000)
  const large = takeTime(1_000)
  assert.ok(large < small * 10, `${small} us with 6,000 tasks, ${large} us with 100,000`)
})
