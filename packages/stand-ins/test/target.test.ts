import assert from 'node:assert/strict'
import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { test } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import { startTarget } from '../src/index.js'

interface Reply { boot: string, clockMs: number, freeSlots: number, refused?: string, end?: { outcome: string, result?: unknown }, task?: { state: string } }

async function call (address: string, method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, body?: unknown): Promise<Reply> {
  const reply = await request(`http://${address}${path}`, { method, ...(body === undefined ? {} : { body: JSON.stringify(body) }), reset: true })
  return await reply.body.json() as Reply
}

async function readRecords (admin: string): Promise<ReadonlyArray<Record<string, unknown>>> {
  const reply = await request(`http://${admin}/records`)
  return (await reply.body.text()).trim().split('\n').map(line => JSON.parse(line) as Record<string, unknown>)
}

const demand = { processors: 1_000, memoryMb: 100, accelerators: 0 }

async function createStart (address: string, payload: unknown, change: object = {}): Promise<object> {
  const { boot, clockMs } = await call(address, 'GET', '/status')
  return { customer: 'kalibra', kind: 'lookup', payload, demand, boot, startBy: clockMs + 1_000, leaseMs: 1_000, ...change }
}

// Guards against a stand-in that starts what a real target would refuse: then a test of rejections proves nothing.
test('a target refuses what its guards forbid and says why', async () => {
  const target = await startTarget({ id: 't1', slots: 1, capacity: { processors: 4_000, memoryMb: 1_000, accelerators: 0 } })
  const api = target.addresses['api']!
  try {
    const post = async (id: string, change: object, payload: unknown = {}): Promise<Reply> => await call(api, 'POST', `/tasks/${encodeURIComponent(id)}`, await createStart(api, payload, change))
    assert.equal((await post('k/0/1', { boot: 'other' })).refused, 'boot')
    assert.equal((await post('k/0/1', { startBy: 0 })).refused, 'late')
    assert.equal((await post('k/0/1', { demand: { ...demand, memoryMb: 2_000 } })).refused, 'resources')
    assert.equal((await call(api, 'DELETE', '/tasks/k%2F0%2F1')).task?.state, 'not-seen')
    assert.equal((await post('k/0/1', {})).refused, 'deleted')
    const running = post('k/1/1', {}, { workMs: 200 })
    await delay(50)
    assert.equal((await post('k/2/1', {})).refused, 'slots')
    assert.equal((await call(api, 'GET', '/tasks/k%2F1%2F1')).task?.state, 'running')
    assert.equal((await running).end?.outcome, 'succeeded')
    await call(target.addresses['admin']!, 'PUT', '/faults', { leaving: true })
    assert.equal((await post('k/3/1', {})).refused, 'leaving')
    const starts = (await readRecords(target.addresses['admin']!)).filter(({ kind }) => kind === 'start')
    assert.deepEqual(starts.map(({ id }) => id), ['k/1/1'])
  } finally {
    await target.close()
  }
})

// Guards against wrong ends of tasks, and against a stand-in that hides duplicate starts by deduplication.
test('a target runs, fails, stops and counts every start', async () => {
  const target = await startTarget({ id: 't1', speed: 2 })
  const api = target.addresses['api']!
  try {
    const run = async (id: string, payload: unknown, change: object = {}): Promise<Reply> => await call(api, 'POST', `/tasks/${id}`, await createStart(api, payload, change))
    const began = performance.now()
    assert.deepEqual((await run('a', { workMs: 400, result: 'r' })).end?.result, 'r')
    const took = performance.now() - began
    assert.ok(took >= 195 && took < 380, `a speed of 2 halves 400 ms, took ${took}`)
    assert.equal((await run('b', { fail: 'broken' })).end?.outcome, 'failed')
    assert.equal((await run('c', { workMs: 5_000 }, { leaseMs: 50 })).end?.outcome, 'timed-out')
    assert.equal((await run('d', { workMs: 100, memoryMb: 500 })).end?.outcome, 'over-memory')
    const cancelled = run('e', { workMs: 2_000 })
    await delay(50)
    await call(api, 'POST', '/cancellations', { ids: ['e', 'f'] })
    assert.equal((await cancelled).end?.outcome, 'cancelled')
    assert.equal((await run('f', {})).refused, 'deleted')
    await run('a', {})
    const starts = (await readRecords(target.addresses['admin']!)).filter(({ kind, id }) => kind === 'start' && id === 'a')
    assert.equal(starts.length, 2)
  } finally {
    await target.close()
  }
})

async function startProgram (settings: object): Promise<{ child: ChildProcess, addresses: Record<string, string> }> {
  const main = fileURLToPath(new URL('../src/main.js', import.meta.url))
  const child = spawn(process.execPath, [main, 'target', JSON.stringify(settings)], { stdio: ['pipe', 'pipe', 'inherit'] })
  const [line] = await once(child.stdout, 'data') as [Buffer]
  return { child, addresses: (JSON.parse(line.toString()) as { addresses: Record<string, string> }).addresses }
}

// Guards against a target that goes on with expired work after a freeze, and against records that
// count the time of the freeze as use.
test('a frozen target stops expired tasks before it goes on', async () => {
  const { child, addresses } = await startProgram({ id: 't1' })
  try {
    const api = addresses['api']!
    const short = call(api, 'POST', '/tasks/short', await createStart(api, { workMs: 300 }, { leaseMs: 500 }))
    const long = call(api, 'POST', '/tasks/long', await createStart(api, { workMs: 300 }, { leaseMs: 9_000 }))
    await delay(100)
    child.kill('SIGSTOP')
    const frozenAt = Date.now()
    await delay(1_000)
    const late = call(api, 'POST', '/tasks/late', { customer: 'c', kind: 'k', payload: {}, demand, boot: 'x', startBy: 0, leaseMs: 1 })
    child.kill('SIGCONT')
    const resumedAt = performance.now()
    assert.equal((await short).end?.outcome, 'timed-out')
    assert.equal((await long).end?.outcome, 'succeeded')
    assert.ok(performance.now() - resumedAt > 100, 'work does not advance during a freeze')
    assert.equal((await late).refused, 'boot')
    const end = (await readRecords(addresses['admin']!)).find(({ kind, id }) => kind === 'end' && id === 'short')
    assert.ok(Math.abs(Number(end?.['at']) - frozenAt) < 200, 'the use ends when the freeze begins')
  } finally {
    child.stdin?.end()
    await once(child, 'exit')
  }
})
