import { test } from 'node:test'
import assert from 'node:assert/strict'
import { type AttemptResult } from '../src/index.js'
import { DispatcherFixture, createConfiguration, createTarget, createTask, succeed, wideLimit } from './fixture.js'

const failed: AttemptResult = { kind: 'failed', message: 'bad seal', runMs: 5 }
const unknown: AttemptResult = { kind: 'unknown', message: 'latest end passed' }

// Guards against a second start when a client resubmits a job, before or after its answer.
test('a resubmission attaches and starts nothing', async () => {
  const fixture = new DispatcherFixture()
  const spec = fixture.createJob([createTask(), createTask()])
  assert.equal(fixture.dispatcher.submit(spec, 'h1').kind, 'accepted')
  assert.equal(fixture.dispatcher.submit(spec, 'h1').kind, 'attached')
  await fixture.clock.advance(200)
  assert.equal(fixture.dispatcher.submit(spec, 'h1').kind, 'attached')
  await fixture.clock.advance(200)
  assert.equal(fixture.runner.orders.length, 2)
  const reply = fixture.dispatcher.fetch(spec.key, 'kalibra')
  assert.deepEqual(reply, { kind: 'state', state: { state: 'complete', key: spec.key, results: ['ok', 'ok'] } })
})

// Guards against a different job that reuses a key.
test('a resubmission with a different body is refused', async () => {
  const fixture = new DispatcherFixture()
  const spec = fixture.createJob([createTask()])
  fixture.dispatcher.submit(spec, 'h1')
  const reply = fixture.dispatcher.submit({ ...spec, tasks: [createTask(), createTask()] }, 'h2')
  assert.equal(reply.kind === 'refused' && reply.error.name, 'KeyReused')
  await fixture.clock.advance(500)
  assert.equal(fixture.runner.orders.length, 1)
})

// Guards against a resubmission that is refused because the plan changed after its admission.
test('a resubmission attaches even when the job would be refused now', () => {
  const fixture = new DispatcherFixture()
  const spec = fixture.createJob([createTask()])
  fixture.dispatcher.submit(spec, 'h1')
  fixture.dispatcher.applyConfiguration(createConfiguration(2, {}))
  assert.equal(fixture.dispatcher.submit(spec, 'h1').kind, 'attached')
})

// Guards against cancelled tasks that start later, and against cancellation messages for tasks that were only queued.
test('cancelling a queued job starts nothing and sends no cancellation', async () => {
  const fixture = new DispatcherFixture()
  const key = fixture.submit([createTask(), createTask()])
  assert.equal(fixture.dispatcher.cancel(key, 'kalibra').kind, 'state')
  await fixture.clock.advance(1_000)
  assert.equal(fixture.runner.orders.length, 0)
  assert.equal(fixture.runner.cancellations.length, 0)
  assert.equal(fixture.describeJob(key), 403)
})

// Guards against a burst of cancellations that sends one message per task.
test('cancelling running jobs sends one batch to each target', async () => {
  const fixture = new DispatcherFixture()
  fixture.runner.decide = () => undefined
  const keys = Array.from({ length: 10 }, () => fixture.submit([createTask(), createTask()]))
  await fixture.clock.advance(10)
  const started = fixture.runner.orders.length
  assert.equal(started, 16)
  for (const key of keys) fixture.dispatcher.cancel(key, 'kalibra')
  await fixture.clock.advance(49)
  assert.equal(fixture.runner.cancellations.length, 0)
  await fixture.clock.advance(1)
  assert.equal(fixture.runner.cancellations.length, 2)
  assert.deepEqual(fixture.runner.cancellations.flatMap(batch => batch.taskIds).sort(), [...fixture.runner.running.keys()].sort())
  // Plan units stay in use until the attempts have ended.
  assert.equal(fixture.dispatcher.readStatus().customers[0]!.used.parallel, 16)
  for (const taskId of [...fixture.runner.running.keys()]) fixture.runner.finish(taskId, { kind: 'cancelled', runMs: 1 })
  await fixture.clock.advance(1)
  assert.deepEqual(fixture.dispatcher.readStatus().customers, [])
  assert.equal(fixture.runner.orders.length, started)
})

// Guards against partial results, and against queued tasks of a failed job that still start.
test('a failed task fails the job without results and drops its queued tasks', async () => {
  const fixture = new DispatcherFixture()
  fixture.dispatcher.applyTargets([createTarget('t1', { slots: 2 })])
  fixture.runner.decide = order => order.taskId.endsWith('/1/0') ? { delayMs: 150, result: failed } : succeed
  const key = fixture.submit(Array.from({ length: 20 }, () => createTask()))
  await fixture.clock.advance(2_000)
  const reply = fixture.dispatcher.fetch(key, 'kalibra')
  assert.ok(reply.kind === 'state' && reply.state.state === 'failed')
  assert.equal(reply.state.failure.code, 400)
  assert.equal(reply.state.failure.taskIndex, 1)
  assert.equal('results' in reply.state, false)
  assert.ok(fixture.runner.orders.length <= 4, `${fixture.runner.orders.length} starts`)
  assert.equal(fixture.dispatcher.readStatus().queued, 0)
})

// Guards against a second attempt of a task that is not repeatable, and against a job that never ends.
test('an unknown outcome fails a job that is not repeatable', async () => {
  const fixture = new DispatcherFixture()
  fixture.runner.decide = () => ({ delayMs: 11_000, result: unknown })
  const key = fixture.submit([createTask()])
  await fixture.clock.advance(30_000)
  assert.equal(fixture.describeJob(key), 402)
  assert.equal(fixture.runner.orders.length, 1)
})

// Guards against two attempts of a repeatable task at the same time, and against more than three in all.
test('a repeatable task is tried at most three times, one after the other', async () => {
  const fixture = new DispatcherFixture()
  let most = 0
  fixture.runner.decide = () => {
    most = Math.max(most, fixture.runner.running.size)
    return { delayMs: 50, result: fixture.runner.orders.length % 2 === 0 ? failed : unknown }
  }
  const key = fixture.submit([createTask()], { repeatable: true })
  await fixture.clock.advance(20_000)
  assert.equal(fixture.describeJob(key), 404)
  assert.equal(fixture.runner.orders.length, 3)
  assert.equal(most, 1)
  assert.notEqual(fixture.runner.orders[0]!.targetId, fixture.runner.orders[1]!.targetId)
  assert.equal(new Set(fixture.runner.orders.map(order => order.taskId)).size, 3)
})

// Guards against a refused start that counts as an attempt, and against losing the task.
test('a task whose attempts did not start is retried without limit', async () => {
  const fixture = new DispatcherFixture()
  fixture.runner.decide = () => fixture.runner.orders.length <= 5 ? { delayMs: 1, result: { kind: 'not-started', reason: 'slots' } } : succeed
  const key = fixture.submit([createTask()])
  await fixture.clock.advance(2_000)
  assert.equal(fixture.describeJob(key), 'complete')
  assert.equal(fixture.runner.orders.length, 6)
})

// Guards against jobs that wait forever because their demand can never be met.
test('demand above the plan or every target is refused and not run', async () => {
  const fixture = new DispatcherFixture()
  const names = [
    { demand: { processors: 100_001, memoryMb: 1, accelerators: 0 }, name: 'DemandAbovePlan' },
    { demand: { processors: 40_000, memoryMb: 1, accelerators: 0 }, name: 'DemandAboveTargets' },
    { demand: { processors: 1, memoryMb: 1, accelerators: 2 }, name: 'DemandAboveTargets' }
  ]
  for (const { demand, name } of names) {
    const reply = fixture.dispatcher.submit(fixture.createJob([createTask(), createTask({ demand })]), 'h')
    assert.equal(reply.kind === 'refused' && reply.error.name, name)
    assert.equal(reply.kind === 'refused' && reply.error.notRun, true)
  }
  const large = fixture.createJob(Array.from({ length: 10_001 }, () => createTask()))
  const reply = fixture.dispatcher.submit(large, 'h')
  assert.equal(reply.kind === 'refused' && reply.error.name, 'JobTooLarge')
  await fixture.clock.advance(1_000)
  assert.equal(fixture.runner.orders.length, 0)
})

// Guards against a customer that exhausts the memory of an instance.
test('a job that would exceed 100,000 queued tasks is refused', () => {
  const fixture = new DispatcherFixture()
  const tasks = Array.from({ length: 10_000 }, () => createTask())
  for (let i = 0; i < 10; i++) fixture.submit(tasks)
  const reply = fixture.dispatcher.submit(fixture.createJob([createTask()]), 'h')
  assert.equal(reply.kind === 'refused' && reply.error.name, 'QueueFull')
})

// Guards against queued tasks that wait forever after their plan was lowered or their targets were removed.
test('a change that makes a queued task impossible fails its job', async () => {
  const fixture = new DispatcherFixture()
  fixture.isShareUsable = false
  const heavy = fixture.submit([createTask(), createTask({ demand: { processors: 20_000, memoryMb: 1, accelerators: 0 } })])
  const light = fixture.submit([createTask()])
  fixture.dispatcher.applyConfiguration(createConfiguration(2, { kalibra: { ...wideLimit, processors: 10_000 } }))
  assert.equal(fixture.describeJob(heavy), 406)
  assert.equal(fixture.describeJob(light), 'running')
  fixture.dispatcher.applyTargets([createTarget('t1', { capacity: { processors: 500, memoryMb: 1000, accelerators: 0 } })])
  await fixture.clock.advance(5_000)
  assert.equal(fixture.describeJob(light), 'running')
  await fixture.clock.advance(10_000)
  assert.equal(fixture.describeJob(light), 406)
  assert.equal(fixture.runner.orders.length, 0)
})

// Guards against a burst of one customer that takes the fair share of the others.
test('a burst of one customer leaves another its fair share', async () => {
  const fixture = new DispatcherFixture()
  fixture.dispatcher.applyConfiguration(createConfiguration(2, { kalibra: wideLimit, guild: wideLimit }))
  fixture.submit(Array.from({ length: 2_000 }, () => createTask()))
  await fixture.clock.advance(1_000)
  const key = fixture.submit(Array.from({ length: 16 }, () => createTask()), { customer: 'guild' })
  const before = fixture.runner.orders.length
  await fixture.clock.advance(300)
  const guild = fixture.runner.orders.slice(before).filter(order => order.customer === 'guild').length
  assert.equal(guild, 16)
  await fixture.clock.advance(100)
  assert.equal(fixture.describeJob(key, 'guild'), 'complete')
})

// Guards against a small job that waits behind a large one, and against a large one that starves.
test('the job with less remaining work goes first, until the other has waited long enough', async () => {
  const fixture = new DispatcherFixture()
  const large = fixture.submit(Array.from({ length: 400 }, () => createTask()))
  await fixture.clock.advance(10)
  const small = fixture.submit(Array.from({ length: 16 }, () => createTask()))
  await fixture.clock.advance(250)
  assert.equal(fixture.describeJob(small), 'complete')
  assert.equal(fixture.describeJob(large), 'running')
  for (let i = 0; i < 60; i++) {
    fixture.submit(Array.from({ length: 16 }, () => createTask()))
    await fixture.clock.advance(100)
  }
  assert.equal(fixture.describeJob(large), 'complete')
})

// Guards against a planned stop that interrupts jobs or keeps accepting new ones forever.
test('drain issues no keys, finishes accepted jobs and then accepts none', async () => {
  const fixture = new DispatcherFixture()
  const late = fixture.createJob([createTask()])
  const never = fixture.createJob([createTask()])
  const key = fixture.submit([createTask()])
  await fixture.clock.advance(10)
  let isDrained = false
  const drained = fixture.dispatcher.drain().then(() => { isDrained = true })
  const issued = fixture.dispatcher.issueKeys('kalibra', 1)
  assert.equal(issued.kind === 'refused' && issued.error.name, 'Leaving')
  assert.equal(fixture.dispatcher.submit(late, 'h').kind, 'accepted')
  await fixture.clock.advance(50)
  assert.equal(isDrained, false)
  await fixture.clock.advance(200)
  assert.equal(isDrained, true)
  await drained
  assert.equal(fixture.describeJob(key), 'complete')
  assert.equal(fixture.describeJob(late.key), 'complete')
  const refused = fixture.dispatcher.submit(never, 'h')
  assert.equal(refused.kind === 'refused' && refused.error.name, 'Leaving')
  assert.equal(fixture.dispatcher.submit(late, 'h').kind, 'attached')
})

// Guards against a caller that waits forever, or longer than it asked to.
test('waiting ends with the answer or after the requested time', async () => {
  const fixture = new DispatcherFixture()
  const key = fixture.submit([createTask()])
  const short = fixture.dispatcher.waitForAnswer(key, 'kalibra', 50)
  const long = fixture.dispatcher.waitForAnswer(key, 'kalibra', 30_000)
  await fixture.clock.advance(50)
  const first = await short
  assert.equal(first.kind === 'state' && first.state.state, 'running')
  await fixture.clock.advance(60)
  const second = await long
  assert.equal(second.kind === 'state' && second.state.state, 'complete')
})

// Guards against starts by a process that was paused and whose seat may have a new holder.
test('nothing starts while the own share is not usable', async () => {
  const fixture = new DispatcherFixture()
  fixture.isShareUsable = false
  const key = fixture.submit([createTask()])
  await fixture.clock.advance(1_000)
  assert.equal(fixture.runner.orders.length, 0)
  fixture.isShareUsable = true
  await fixture.clock.advance(300)
  assert.equal(fixture.describeJob(key), 'complete')
})
