import { test, type TestContext } from 'node:test'
import assert from 'node:assert/strict'
import { type AttemptResult, SystemClock } from '@sesamereel/coordination'
import { NoopExchangeObserver, TargetClient } from '../src/index.js'
import { FakeTarget } from './fake-target.js'

const clock = new SystemClock()
const demand = { processors: 100, memoryMb: 10, accelerators: 0 }
let attempts = 0

async function prepare (t: TestContext, connections = 60): Promise<{ readonly target: FakeTarget, readonly client: TargetClient, readonly port: number }> {
  const target = new FakeTarget()
  const address = await target.listen()
  const client = new TargetClient({ clock, observer: new NoopExchangeObserver(), domainSeatCount: 3, onReply: () => {} })
  t.after(async () => {
    await client.stop()
    await target.stop().catch(() => {})
  })
  client.applyTargets([{ id: 't1', address, domain: 'd', state: 'live', slots: 8, connections, capacity: demand }])
  return { target, client, port: Number(address.split(':')[1]) }
}

/** Runs one attempt and fails when it is reported twice. */
async function run (client: TargetClient, times: { startMs?: number, timeoutMs?: number, lateMs?: number, taskId?: string } = {}): Promise<AttemptResult> {
  let reports = 0
  const order = {
    taskId: times.taskId ?? `d.0.abcdefgh.0/${attempts++}/0`,
    customer: 'c',
    targetId: 't1',
    task: { kind: 'k', payload: null, demand, expectedMs: 20, timeoutMs: times.timeoutMs ?? 1_000 },
    startDeadline: clock.now() + (times.startMs ?? 500),
    lateAfterMs: times.lateMs ?? 150
  }
  return await new Promise((resolve, reject) => {
    client.startAttempt(order, result => {
      if (++reports > 1) reject(new Error('reported twice'))
      setTimeout(() => { resolve(result) }, 50)
    })
  })
}

// Guards against a start before the target's clock is known, and against a start deadline in the wrong clock.
test('polls an unknown clock and starts within the deadline', async t => {
  const { target, client } = await prepare(t)
  const deadline = clock.now() + 500
  assert.equal((await run(client)).kind, 'succeeded')
  assert.deepEqual(target.messages, ['GET /status', 'POST /tasks'])
  assert.ok(target.starts[0]!.startBy <= deadline + target.clockOffsetMs + 1)
})

// Guards against a second start or a lost result when the connection breaks while the task runs.
test('finds the result of a task whose connection broke', async t => {
  const { target, client } = await prepare(t)
  target.fault = { task: 'receive', connection: 'break' }
  target.runMs = 300
  const result = await run(client)
  assert.equal(result.kind, 'succeeded')
  assert.equal(target.startedCount, 1)
})

// Guards against waiting for a connection that became unresponsive after the target got the start.
test('finds the result of a task on a silent connection', async t => {
  const { target, client } = await prepare(t)
  target.fault = { task: 'receive', connection: 'silent' }
  const since = clock.now()
  assert.equal((await run(client)).kind, 'succeeded')
  assert.ok(clock.now() - since < 600)
})

// Guards against calling a task 'not started' that a delayed start message can still start.
test('deletes a task that the target has not seen', async t => {
  const { target, client } = await prepare(t)
  target.fault = { task: 'ignore', connection: 'silent' }
  assert.deepEqual(await run(client, { taskId: 'd.0.abcdefgh.0/900/0' }), { kind: 'not-started', reason: 'not-seen' })
  assert.deepEqual(target.messages.slice(-2), ['GET /tasks', 'DELETE /tasks'])
  target.fault = { task: 'receive', connection: 'reply' }
  assert.deepEqual(await run(client, { taskId: 'd.0.abcdefgh.0/900/0' }), { kind: 'not-started', reason: 'deleted' })
  assert.equal(target.startedCount, 0)
})

// Guards against a start after the owner's deadline.
test('a start that arrives late is proven not started', async t => {
  const { target, client } = await prepare(t)
  assert.equal((await run(client)).kind, 'succeeded')
  target.clockOffsetMs += 10_000
  assert.deepEqual(await run(client), { kind: 'not-started', reason: 'late' })
  assert.deepEqual(await run(client, { startMs: -5 }), { kind: 'not-started', reason: 'late' })
  assert.equal(target.startedCount, 1)
})

// Guards against taking a rebooted target's 'not seen' for a proof that the task never started.
test('a reboot while the task runs gives unknown at once', async t => {
  const { target, client, port } = await prepare(t)
  target.runMs = 2_000
  const pending = run(client, { timeoutMs: 3_000 })
  await new Promise(resolve => { setTimeout(resolve, 80) })
  await target.stop()
  const next = new FakeTarget()
  next.boot = 'boot-2'
  await next.listen(port)
  t.after(async () => { await next.stop() })
  const since = clock.now()
  assert.equal((await pending).kind, 'unknown')
  assert.ok(clock.now() - since < 1_000)
  assert.ok(!next.messages.includes('DELETE /tasks'))
})

// Guards against releasing the units of a task that may still run at an unreachable target.
test('a lost target gives unknown only after the latest end', async t => {
  const { target, client } = await prepare(t)
  target.runMs = 1_500
  const since = clock.now()
  const pending = run(client, { startMs: 300, timeoutMs: 400 })
  await new Promise(resolve => { setTimeout(resolve, 80) })
  await target.stop()
  assert.equal((await pending).kind, 'unknown')
  assert.ok(clock.now() - since >= 700)
  // Nothing can be sent to a closed port, which proves the next attempt not started.
  assert.deepEqual(await run(client), { kind: 'not-started', reason: 'no-connection' })
})

// Guards against a target that runs out of connections: 12 among 3 seats leaves fewer than 4 for each.
test('keeps below its part of the connections under load', async t => {
  const { target, client } = await prepare(t, 12)
  const results = await Promise.all(Array.from({ length: 40 }, async () => await run(client, { startMs: 2_000, lateMs: 3_000 })))
  assert.ok(results.every(result => result.kind === 'succeeded'))
  assert.ok(target.maxOpenSockets < 4, `${target.maxOpenSockets} connections`)
})

// Guards against a running task that is not stopped, and against a wrong result for a cancelled one.
test('cancels running tasks with one message', async t => {
  const { target, client } = await prepare(t)
  target.runMs = 400
  const ids = ['d.0.abcdefgh.0/901/0', 'd.0.abcdefgh.0/902/0']
  const pending = ids.map(async taskId => await run(client, { taskId, lateMs: 2_000 }))
  await new Promise(resolve => { setTimeout(resolve, 100) })
  client.cancelAttempts('t1', ids)
  for (const result of await Promise.all(pending)) assert.equal(result.kind, 'cancelled')
  assert.equal(target.messages.filter(message => message === 'POST /cancellations').length, 1)
})
