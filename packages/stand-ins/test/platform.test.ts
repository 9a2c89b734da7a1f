import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { type RunningStandIn, startPlatform } from '../src/index.js'

async function send (platform: RunningStandIn, server: 'api' | 'admin', method: 'GET' | 'POST' | 'PUT', path: string, body?: unknown, headers: Record<string, string> = {}): Promise<{ status: number, body: Record<string, unknown>, etag: string }> {
  const reply = await request(`http://${platform.addresses[server]!}${path}`, { method, headers, ...(body === undefined ? {} : { body: JSON.stringify(body) }), reset: true })
  const text = await reply.body.text()
  return { status: reply.statusCode, body: text === '' ? {} : JSON.parse(text) as Record<string, unknown>, etag: String(reply.headers['etag']) }
}

const row = { table: 'seats', key: 'gent.0' }

// Guards against a table service that lets two claims of one row through, or that forgets a write whose reply was lost.
test('a transaction is atomic, idempotent and survives a lost reply', async () => {
  const platform = await startPlatform({})
  try {
    const transact = async (attemptId: string, version: number): ReturnType<typeof send> => await send(platform, 'api', 'POST', '/tables/transact', { attemptId, checks: [{ ...row, version }], writes: [{ ...row, value: attemptId }] })
    const both = await Promise.all([transact('a', 0), transact('b', 0)])
    assert.deepEqual(both.map(({ status }) => status).sort(), [200, 409])
    const winner = both[0]!.status === 200 ? 'a' : 'b'
    assert.equal((await transact(winner, 0)).status, 200)
    await send(platform, 'admin', 'PUT', '/faults', { loseReplies: true })
    await assert.rejects(transact('c', 1))
    await send(platform, 'admin', 'PUT', '/faults', { loseReplies: false })
    const read = await send(platform, 'api', 'POST', '/tables/read', { rows: [row, { table: 'x', key: 'y' }] })
    assert.deepEqual(read.body['rows'], [{ ...row, version: 2, value: 'c' }, { table: 'x', key: 'y', version: 0, value: null }])
    await send(platform, 'admin', 'PUT', '/faults', { staleReadMs: 60_000 })
    const stale = await send(platform, 'api', 'POST', '/tables/read', { rows: [row] })
    assert.equal((stale.body['rows'] as Array<{ version: number }>)[0]!.version, 0)
  } finally {
    await platform.close()
  }
})

// Guards against faults that do not take effect: a scenario with them would pass without testing anything.
test('faults of the platform take effect and end', async () => {
  const platform = await startPlatform({})
  const read = async (): ReturnType<typeof send> => await send(platform, 'api', 'GET', '/instances')
  try {
    await send(platform, 'admin', 'PUT', '/faults', { down: 'refuse' })
    await assert.rejects(read())
    await send(platform, 'admin', 'PUT', '/faults', { down: 'error' })
    assert.equal((await read()).status, 503)
    await send(platform, 'admin', 'PUT', '/faults', { down: 'error', parts: ['tables'] })
    assert.equal((await read()).status, 200)
    await send(platform, 'admin', 'PUT', '/faults', { down: 'off', parts: ['instances'], slowMs: 200 })
    const began = performance.now()
    await read()
    assert.ok(performance.now() - began >= 195)
  } finally {
    await platform.close()
  }
})

// Guards against a list that shows targets of other domains, hides instances, or never changes its tag.
test('the instance list is filtered by domain, tagged, translated and late', async () => {
  const target = (id: string, domain: string): object => ({ id, address: '127.0.0.1:1', domain, state: 'live', slots: 8, connections: 60, capacity: { processors: 1, memoryMb: 1, accelerators: 0 } })
  const instance = { domain: 'gent', seat: 0, peerAddress: '127.0.0.1:2', callerAddress: '127.0.0.1:3', state: 'live' }
  const platform = await startPlatform({})
  try {
    await send(platform, 'admin', 'PUT', '/list', { instances: [instance], targets: [target('a', 'gent'), target('b', 'brugge')] })
    await send(platform, 'admin', 'PUT', '/views', { brugge: { '127.0.0.1:2': '127.0.0.1:9' } })
    const first = await send(platform, 'api', 'GET', '/instances?domain=brugge')
    const list = first.body as unknown as { instances: Array<{ peerAddress: string }>, targets: Array<{ id: string }> }
    assert.deepEqual(list.targets.map(({ id }) => id), ['b'])
    assert.deepEqual(list.instances.map(({ peerAddress }) => peerAddress), ['127.0.0.1:9'])
    assert.equal((await send(platform, 'api', 'GET', '/instances?domain=brugge', undefined, { 'if-none-match': first.etag })).status, 304)
    await send(platform, 'admin', 'PUT', '/faults', { listLagMs: 300 })
    // The first list must be older than the lag, or the lag would hide it too.
    await delay(320)
    await send(platform, 'admin', 'PUT', '/list', { instances: [], targets: [] })
    assert.equal((await send(platform, 'api', 'GET', '/instances?domain=brugge', undefined, { 'if-none-match': first.etag })).status, 304)
    await delay(320)
    assert.deepEqual((await send(platform, 'api', 'GET', '/instances?domain=brugge')).body, { instances: [], targets: [] })
  } finally {
    await platform.close()
  }
})
