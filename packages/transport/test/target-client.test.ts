import { test, type TestContext } from 'node:test'
import assert from 'node:assert/strict'
import { type AttemptResult, SystemClock } from '@sesamereel/coordination'
import { NoopExchangeObserver, TargetClient } from '../src/index.js'
import { FakeTarget } from './fake-target.js'

const clock = new SystemClock()
const demand = { processors: 100, memoryMb: 10, accelerators: 0 }
let attempts = 0

async function startTargetAndClient (t: TestContext, connections = 60): Promise<{ readonly target: FakeTarget, readonly client: TargetClient, readonly port: number }> {
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

/** Runs one attempt; rejects if its result is reported twice. */
async function runAttempt (client: TargetClient, times: { startMs?: number, timeoutMs?: number, lateMs?: number, taskId?: string } = {}): Promise<AttemptResult> {
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

// Guards against a start before the target's clock is known, and against a start deadline on the wrong clock.
test('polls an unknown clock and starts within the deadline', async t => {
  const { target, client } = await startTargetAndClient(t)
  const deadline = clock.now() + 500
  assert.equal((await runAttempt(client)).kind, 'succeeded')
  assert.deepEqual(target.messages, ['GET /status', 'POST /tasks'])
  assert.ok(target.starts[0]!.startBy <= deadline + target.clockOffsetMs + 1)
})

// Guards against a second start or a lost result when the connection breaks while the task runs.
test('finds the result of a task whose connection broke', async t => {
  const { target, client } = await startTargetAndClient(t)
  target.fault = { task: 'receive', connection: 'break' }
  target.runMs = 300
  const result = await runAttempt(client)
  assert.equal(result.kind, 'succeeded')
  assert.equal(target.startedCount, 1)
})

// Guards against waiting for a connection that became unresponsive after the target received the start request.
test('finds the result of a task on an unresponsive connection', async t => {
  const { target, client } = await startTargetAndClient(t)
  target.fault = { task: 'receive', connection: 'silent' }
  const startedAt = clock.now()
  assert.equal((await runAttempt(client)).kind, 'succeeded')
  assert.ok(clock.now() - startedAt < 600)
})

// Guards against reporting a task as not started while a delayed start request can still start it.
test('deletes a task that the target has not seen', async t => {
  const { target, client } = await startTargetAndClient(t)
  target.fault = { task: 'ignore', connection: 'silent' }
  assert.deepEqual(await runAttempt(client, { taskId: 'd.0.abcdefgh.0/900/0' }), { kind: 'not-started', reason: 'not-seen' })
  assert.deepEqual(target.messages.slice(-2), ['GET /tasks', 'DELETE /tasks'])
  target.fault = { task: 'receive', connection: 'reply' }
  assert.deepEqual(await runAttempt(client, { taskId: 'd.0.abcdefgh.0/900/0' }), { kind: 'not-started', reason: 'deleted' })
  assert.equal(target.startedCount, 0)
})

// Guards against a start after the start deadline of the job's owner.
test('reports an attempt as not started when its start request arrives late', async t => {
  const { target, client } = await startTargetAndClient(t)
  assert.equal((await runAttempt(client)).kind, 'succeeded')
  target.clockOffsetMs += 10_000
  assert.deepEqual(await runAttempt(client), { kind: 'not-started', reason: 'late' })
  assert.deepEqual(await runAttempt(client, { startMs: -5 }), { kind: 'not-started', reason: 'late' })
  assert.equal(target.startedCount, 1)
})

// Guards against taking 'not-seen' from a restarted target as proof that the task never started.
test('reports unknown at once when the target restarts while the task runs', async t => {
  const { target, client, port } = await startTargetAndClient(t)
  target.runMs = 2_000
  const pending = runAttempt(client, { timeoutMs: 3_000 })
  await new Promise(resolve => { setTimeout(resolve, 80) })
  await target.stop()
  const restarted = new FakeTarget()
  restarted.boot = 'boot-2'
  await restarted.listen(port)
  t.after(async () => { await restarted.stop() })
  const startedAt = clock.now()
  assert.equal((await pending).kind, 'unknown')
  assert.ok(clock.now() - startedAt < 1_000)
  assert.ok(!restarted.messages.includes('DELETE /tasks'))
})

// Guards against releasing the units of a task that may still be running on an unreachable target.
test('reports unknown for an unreachable target only after the latest end of the attempt', async t => {
  const { target, client } = await startTargetAndClient(t)
  target.runMs = 1_500
  const startedAt = clock.now()
  const pending = runAttempt(client, { startMs: 300, timeoutMs: 400 })
  await new Promise(resolve => { setTimeout(resolve, 80) })
  await target.stop()
  assert.equal((await pending).kind, 'unknown')
  assert.ok(clock.now() - startedAt >= 700)
  // Nothing can be sent to a closed port, so the next attempt is certain not to have started.
  assert.deepEqual(await runAttempt(client), { kind: 'not-started', reason: 'no-connection' })
})

// Guards against exhausting the connections of a target: 12 connections for 3 seats leave fewer than 4 for each.
test('uses less than its share of the connections under load', async t => {
  const { target, client } = await startTargetAndClient(t, 12)
  const results = await Promise.all(Array.from({ length: 40 }, async () => await runAttempt(client, { startMs: 2_000, lateMs: 3_000 })))
  assert.ok(results.every(result => result.kind === 'succeeded'))
  assert.ok(target.maxOpenSockets < 4, `${target.maxOpenSockets} connections`)
})

// Guards against a cancelled task that keeps running, and against a wrong result for it.
test('cancels running tasks with one message', async t => {
  const { target, client } = await startTargetAndClient(t)
  target.runMs = 400
  const ids = ['d.0.abcdefgh.0/901/0', 'd.0.abcdefgh.0/902/0']
  const pending = ids.map(async taskId => await runAttempt(client, { taskId, lateMs: 2_000 }))
  await new Promise(resolve => { setTimeout(resolve, 100) })
  client.cancelAttempts('t1', ids)
  for (const result of await Promise.all(pending)) assert.equal(result.kind, 'cancelled')
  assert.equal(target.messages.filter(message => message === 'POST /cancellations').length, 1)
})
