import { test } from 'node:test'
import assert from 'node:assert/strict'
import { type AttemptResult } from '../src/index.js'
import { DispatcherFixture, createConfiguration, createTarget, createTask, succeed, wideLimit } from './fixture.js'

const failed: AttemptResult = { kind: 'failed', message: 'bad seal', runMs: 5 }
const unknown: AttemptResult = { kind: 'unknown', message: 'latest end passed' }

// Guards against a second start when a client resubmits, before and after the answer.
test('a resubmission attaches and starts nothing', async () => {
  const bed = new DispatcherFixture()
  const spec = bed.createJob([createTask(), createTask()])
  assert.equal(bed.dispatcher.submit(spec, 'h1').kind, 'accepted')
  assert.equal(bed.dispatcher.submit(spec, 'h1').kind, 'attached')
  await bed.clock.advance(200)
  assert.equal(bed.dispatcher.submit(spec, 'h1').kind, 'attached')
  await bed.clock.advance(200)
  assert.equal(bed.runner.orders.length, 2)
  const reply = bed.dispatcher.fetch(spec.key, 'kalibra')
  assert.deepEqual(reply, { kind: 'state', state: { state: 'complete', key: spec.key, results: ['ok', 'ok'] } })
})

// Guards against a different job that takes over a key.
test('a resubmission with a different body is refused', async () => {
  const bed = new DispatcherFixture()
  const spec = bed.createJob([createTask()])
  bed.dispatcher.submit(spec, 'h1')
  const reply = bed.dispatcher.submit({ ...spec, tasks: [createTask(), createTask()] }, 'h2')
  assert.equal(reply.kind === 'refused' && reply.error.name, 'KeyReused')
  await bed.clock.advance(500)
  assert.equal(bed.runner.orders.length, 1)
})

// Guards against a resubmission that is refused because the plan changed after its admission.
test('a resubmission attaches even when the job would be refused now', () => {
  const bed = new DispatcherFixture()
  const spec = bed.createJob([createTask()])
  bed.dispatcher.submit(spec, 'h1')
  bed.dispatcher.applyConfiguration(createConfiguration(2, {}))
  assert.equal(bed.dispatcher.submit(spec, 'h1').kind, 'attached')
})

// Guards against cancelled work that starts later, and against messages for work that was only queued.
test('cancelling before the run starts nothing and sends nothing', async () => {
  const bed = new DispatcherFixture()
  const key = bed.submit([createTask(), createTask()])
  assert.equal(bed.dispatcher.cancel(key, 'kalibra').kind, 'state')
  await bed.clock.advance(1_000)
  assert.equal(bed.runner.orders.length, 0)
  assert.equal(bed.runner.cancellations.length, 0)
  assert.equal(bed.describeJob(key), 403)
})

// Guards against a burst of cancellations that sends a message for each task.
test('cancelling running jobs sends one batch to each target', async () => {
  const bed = new DispatcherFixture()
  bed.runner.decide = () => undefined
  const keys = Array.from({ length: 10 }, () => bed.submit([createTask(), createTask()]))
  await bed.clock.advance(10)
  const started = bed.runner.orders.length
  assert.equal(started, 16)
  for (const key of keys) bed.dispatcher.cancel(key, 'kalibra')
  await bed.clock.advance(49)
  assert.equal(bed.runner.cancellations.length, 0)
  await bed.clock.advance(1)
  assert.equal(bed.runner.cancellations.length, 2)
  assert.deepEqual(bed.runner.cancellations.flatMap(batch => batch.taskIds).sort(), [...bed.runner.running.keys()].sort())
  // The units are held until the attempts have ended.
  assert.equal(bed.dispatcher.readStatus().customers[0]!.used.parallel, 16)
  for (const taskId of [...bed.runner.running.keys()]) bed.runner.finish(taskId, { kind: 'cancelled', runMs: 1 })
  await bed.clock.advance(1)
  assert.deepEqual(bed.dispatcher.readStatus().customers, [])
  assert.equal(bed.runner.orders.length, started)
})

// Guards against partial answers and against queued tasks of a failed job that still start.
test('a failed task fails the job without results and drops its queued rest', async () => {
  const bed = new DispatcherFixture()
  bed.dispatcher.applyTargets([createTarget('t1', { slots: 2 })])
  bed.runner.decide = order => order.taskId.endsWith('/1/0') ? { delayMs: 150, result: failed } : succeed
  const key = bed.submit(Array.from({ length: 20 }, () => createTask()))
  await bed.clock.advance(2_000)
  const reply = bed.dispatcher.fetch(key, 'kalibra')
  assert.ok(reply.kind === 'state' && reply.state.state === 'failed')
  assert.equal(reply.state.failure.code, 400)
  assert.equal(reply.state.failure.taskIndex, 1)
  assert.equal('results' in reply.state, false)
  assert.ok(bed.runner.orders.length <= 4, `${bed.runner.orders.length} starts`)
  assert.equal(bed.dispatcher.readStatus().queued, 0)
})

// Guards against a second attempt of work that is not repeatable, and a job that never ends.
test('an unknown outcome fails a job that is not repeatable', async () => {
  const bed = new DispatcherFixture()
  bed.runner.decide = () => ({ delayMs: 11_000, result: unknown })
  const key = bed.submit([createTask()])
  await bed.clock.advance(30_000)
  assert.equal(bed.describeJob(key), 402)
  assert.equal(bed.runner.orders.length, 1)
})

// Guards against two live attempts of a repeatable task, and against more than three.
test('a repeatable task is tried at most three times, one after the other', async () => {
  const bed = new DispatcherFixture()
  let most = 0
  bed.runner.decide = () => {
    most = Math.max(most, bed.runner.running.size)
    return { delayMs: 50, result: bed.runner.orders.length % 2 === 0 ? failed : unknown }
  }
  const key = bed.submit([createTask()], { repeatable: true })
  await bed.clock.advance(20_000)
  assert.equal(bed.describeJob(key), 404)
  assert.equal(bed.runner.orders.length, 3)
  assert.equal(most, 1)
  assert.notEqual(bed.runner.orders[0]!.targetId, bed.runner.orders[1]!.targetId)
  assert.equal(new Set(bed.runner.orders.map(order => order.taskId)).size, 3)
})

// Guards against a refusal that counts as an attempt, and against losing the task.
test('an attempt that did not start is sent elsewhere without limit', async () => {
  const bed = new DispatcherFixture()
  bed.runner.decide = () => bed.runner.orders.length <= 5 ? { delayMs: 1, result: { kind: 'not-started', reason: 'slots' } } : succeed
  const key = bed.submit([createTask()])
  await bed.clock.advance(2_000)
  assert.equal(bed.describeJob(key), 'complete')
  assert.equal(bed.runner.orders.length, 6)
})

// Guards against jobs that wait for ever for something that cannot happen.
test('demand above the plan or every target is refused and not run', async () => {
  const bed = new DispatcherFixture()
  const names = [
    { demand: { processors: 100_001, memoryMb: 1, accelerators: 0 }, name: 'DemandAbovePlan' },
    { demand: { processors: 40_000, memoryMb: 1, accelerators: 0 }, name: 'DemandAboveTargets' },
    { demand: { processors: 1, memoryMb: 1, accelerators: 2 }, name: 'DemandAboveTargets' }
  ]
  for (const { demand, name } of names) {
    const reply = bed.dispatcher.submit(bed.createJob([createTask(), createTask({ demand })]), 'h')
    assert.equal(reply.kind === 'refused' && reply.error.name, name)
    assert.equal(reply.kind === 'refused' && reply.error.notRun, true)
  }
  const large = bed.createJob(Array.from({ length: 10_001 }, () => createTask()))
  const reply = bed.dispatcher.submit(large, 'h')
  assert.equal(reply.kind === 'refused' && reply.error.name, 'JobTooLarge')
  await bed.clock.advance(1_000)
  assert.equal(bed.runner.orders.length, 0)
})

// Guards against a customer that fills the memory of an instance.
test('work beyond 100,000 queued tasks is refused', () => {
  const bed = new DispatcherFixture()
  const tasks = Array.from({ length: 10_000 }, () => createTask())
  for (let i = 0; i < 10; i++) bed.submit(tasks)
  const reply = bed.dispatcher.submit(bed.createJob([createTask()]), 'h')
  assert.equal(reply.kind === 'refused' && reply.error.name, 'QueueFull')
})

// Guards against queued work that waits for ever after its plan was lowered or its target taken away.
test('a change that makes a queued task impossible fails its job', async () => {
  const bed = new DispatcherFixture()
  bed.isShareUsable = false
  const heavy = bed.submit([createTask(), createTask({ demand: { processors: 20_000, memoryMb: 1, accelerators: 0 } })])
  const light = bed.submit([createTask()])
  bed.dispatcher.applyConfiguration(createConfiguration(2, { kalibra: { ...wideLimit, processors: 10_000 } }))
  assert.equal(bed.describeJob(heavy), 406)
  assert.equal(bed.describeJob(light), 'running')
  bed.dispatcher.applyTargets([createTarget('t1', { capacity: { processors: 500, memoryMb: 1000, accelerators: 0 } })])
  await bed.clock.advance(5_000)
  assert.equal(bed.describeJob(light), 'running')
  await bed.clock.advance(10_000)
  assert.equal(bed.describeJob(light), 406)
  assert.equal(bed.runner.orders.length, 0)
})

// Guards against one customer's burst that delays the others by more than their share.
test('a burst of one customer leaves the other its part', async () => {
  const bed = new DispatcherFixture()
  bed.dispatcher.applyConfiguration(createConfiguration(2, { kalibra: wideLimit, guild: wideLimit }))
  bed.submit(Array.from({ length: 2_000 }, () => createTask()))
  await bed.clock.advance(1_000)
  const key = bed.submit(Array.from({ length: 16 }, () => createTask()), { customer: 'guild' })
  const before = bed.runner.orders.length
  await bed.clock.advance(300)
  const guild = bed.runner.orders.slice(before).filter(order => order.customer === 'guild').length
  assert.equal(guild, 16)
  await bed.clock.advance(100)
  assert.equal(bed.describeJob(key, 'guild'), 'complete')
})

// Guards against a small job that waits behind a large one, and a large one that starves.
test('the job with less remaining work goes first, until the other has aged', async () => {
  const bed = new DispatcherFixture()
  const large = bed.submit(Array.from({ length: 400 }, () => createTask()))
  await bed.clock.advance(10)
  const small = bed.submit(Array.from({ length: 16 }, () => createTask()))
  await bed.clock.advance(250)
  assert.equal(bed.describeJob(small), 'complete')
  assert.equal(bed.describeJob(large), 'running')
  for (let i = 0; i < 60; i++) {
    bed.submit(Array.from({ length: 16 }, () => createTask()))
    await bed.clock.advance(100)
  }
  assert.equal(bed.describeJob(large), 'complete')
})

// Guards against a planned stop that interrupts work or takes new work for ever.
test('drain issues no keys, finishes accepted jobs and then accepts none', async () => {
  const bed = new DispatcherFixture()
  const late = bed.createJob([createTask()])
  const never = bed.createJob([createTask()])
  const key = bed.submit([createTask()])
  await bed.clock.advance(10)
  let isDrained = false
  const drained = bed.dispatcher.drain().then(() => { isDrained = true })
  const issued = bed.dispatcher.issueKeys('kalibra', 1)
  assert.equal(issued.kind === 'refused' && issued.error.name, 'Leaving')
  assert.equal(bed.dispatcher.submit(late, 'h').kind, 'accepted')
  await bed.clock.advance(50)
  assert.equal(isDrained, false)
  await bed.clock.advance(200)
  assert.equal(isDrained, true)
  await drained
  assert.equal(bed.describeJob(key), 'complete')
  assert.equal(bed.describeJob(late.key), 'complete')
  const refused = bed.dispatcher.submit(never, 'h')
  assert.equal(refused.kind === 'refused' && refused.error.name, 'Leaving')
  assert.equal(bed.dispatcher.submit(late, 'h').kind, 'attached')
})

// Guards against a caller that waits for ever, or longer than it asked to.
test('waiting ends with the answer or after the time', async () => {
  const bed = new DispatcherFixture()
  const key = bed.submit([createTask()])
  const short = bed.dispatcher.waitForAnswer(key, 'kalibra', 50)
  const long = bed.dispatcher.waitForAnswer(key, 'kalibra', 30_000)
  await bed.clock.advance(50)
  const first = await short
  assert.equal(first.kind === 'state' && first.state.state, 'running')
  await bed.clock.advance(60)
  const second = await long
  assert.equal(second.kind === 'state' && second.state.state, 'complete')
})

// Guards against starts by a process that was paused and may have a successor.
test('nothing starts while the own share is not usable', async () => {
  const bed = new DispatcherFixture()
  bed.isShareUsable = false
  const key = bed.submit([createTask()])
  await bed.clock.advance(1_000)
  assert.equal(bed.runner.orders.length, 0)
  bed.isShareUsable = true
  await bed.clock.advance(300)
  assert.equal(bed.describeJob(key), 'complete')
})
