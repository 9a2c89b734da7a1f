import { createServer, type Server } from 'node:http'
import { type AddressInfo } from 'node:net'
import { after, before, test } from 'node:test'
import assert from 'node:assert/strict'
import { type Settings } from '@sesamereel/protocol'
import { Instance } from '../src/index.js'
import { FakePlatform } from './fake-platform.js'

const tokens = { caller: 'a-token-of-a-caller', operator: 'a-token-of-operators', peer: 'a-token-of-the-peers' }
const demand = { processors: 100, memoryMb: 10, accelerators: 0 }
const task = { kind: 'lookup', payload: { meter: 1 }, demand }
const traceId = '0123456789abcdef0123456789abcdef'

const platform = new FakePlatform()
const instances: Instance[] = []
const addresses: string[] = []
const exportBodies: string[] = []
let targetServer: Server
let collector: Server

before(async () => {
  targetServer = await listen((path, body) => {
    const reply = { boot: 'b', clockMs: performance.now(), freeSlots: 8, leaving: false }
    return path === '/status' ? { ...reply, id: 't', slots: 8, running: [] } : { ...reply, end: { outcome: 'succeeded', result: JSON.parse(body).payload, runMs: 1 } }
  })
  collector = await listen((path, body) => {
    exportBodies.push(body)
    return {}
  })
  const ports = await reservePorts(4)
  platform.instanceList = {
    instances: [0, 1].map(seat => ({ domain: 'd', seat, callerAddress: ports[2 * seat]!, peerAddress: ports[2 * seat + 1]!, state: 'live' as const })),
    targets: [{ id: 't', address: readAddress(targetServer), domain: 'd', state: 'live', slots: 8, connections: 60, capacity: { processors: 1_000, memoryMb: 100, accelerators: 0 } }]
  }
  const platformAddress = await platform.listen()
  for (const { seat, callerAddress, peerAddress } of platform.instanceList.instances) {
    const settings: Settings = {
      domain: 'd',
      seat,
      topology: { domains: [{ name: 'd', seats: 2 }] },
      callerAddress,
      peerAddress,
      platform: { address: platformAddress },
      seedPeers: [],
      callers: [{ token: tokens.caller, customers: '*' }],
      operatorToken: tokens.operator,
      peerToken: tokens.peer,
      traceCollector: `http://${readAddress(collector)}/v1/traces`,
      logLevel: 'silent'
    }
    instances.push(new Instance(settings))
    addresses.push(callerAddress)
  }
  await Promise.all(instances.map(async instance => { await instance.start() }))
  await send(0, 'PUT', '/v1/lists/limits', { baseVersion: 0, editId: 'edit-0001', content: { gold: { processors: 4_000, memoryMb: 400, accelerators: 0, parallel: 8 } } }, tokens.operator)
  await send(0, 'PUT', '/v1/lists/plans', { baseVersion: 1, editId: 'edit-0002', content: { kalibra: 'gold' } }, tokens.operator)
  await waitUntil(async () => (await send(1, 'GET', '/v1/status', undefined, tokens.operator)).body['configurationVersion'] === 2)
})

after(async () => {
  for (const instance of instances) instance.stop()
  await Promise.all(instances.map(async instance => await instance.ended))
  for (const server of [targetServer, collector]) {
    server.closeAllConnections()
    await new Promise(resolve => { server.close(resolve) })
  }
  await platform.stop()
})

// Guards against a job that runs differently, or gets a different answer, when it is submitted
// through an instance that does not own its key.
test('a job gets the same answer through every instance', async () => {
  const [key] = await issueKeys(1)
  const other = 1 - findOwner(key!)
  const job = { key, customer: 'kalibra', tasks: [task, task] }
  const reply = await send(other, 'POST', '/v1/jobs?waitMs=5000', job)
  assert.deepEqual([reply.status, reply.body['results']], [200, [{ meter: 1 }, { meter: 1 }]])
  for (const instance of [0, 1]) assert.deepEqual((await send(instance, 'GET', `/v1/jobs/${key}`)).body, reply.body)
  assert.equal((await send(other, 'POST', '/v1/jobs', { ...job, repeatable: true })).body['code'], 106)
})

// Guards against running or hanging on requests with an unknown customer, an unknown key or an
// excessive demand.
test('invalid requests are refused with their result codes', async () => {
  assert.equal((await send(0, 'POST', '/v1/keys', { customer: 'nobody' })).body['code'], 102)
  const [key] = await issueKeys(1)
  const submit = async (change: object): Promise<unknown> => (await send(0, 'POST', '/v1/jobs?waitMs=100', { key, customer: 'kalibra', tasks: [task], ...change })).body['code']
  assert.equal(await submit({ tasks: [{ ...task, demand: { ...demand, processors: 5_000 } }] }), 107)
  assert.equal(await submit({ tasks: [{ ...task, demand: { ...demand, processors: 2_000 } }] }), 108)
  // An unknown customer has no keys, so the key always belongs to another customer.
  assert.equal(await submit({ customer: 'nobody' }), 105)
  assert.equal(await submit({ key: `${key!.slice(0, key!.lastIndexOf('.'))}.900000` }), 105)
  assert.equal((await send(1, 'GET', `/v1/jobs/${key}`)).body['code'], 304)
})

// Guards against a hop that drops the trace context, and against spans that are not readable or
// not exported.
test('one trace covers all hops from the caller to the target', async () => {
  const [key] = await issueKeys(1)
  const owner = findOwner(key!)
  await send(1 - owner, 'POST', '/v1/jobs?waitMs=5000', { key, customer: 'kalibra', tasks: [task] }, tokens.caller, { traceparent: `00-${traceId}-0123456789abcdef-01` })
  const spans = (await Promise.all([0, 1].map(async instance => (await send(instance, 'GET', `/v1/traces/${traceId}`)).body['spans'] as Array<{ name: string, spanId: string, parentSpanId: string }>))).flat()
  const spanNames: string[] = []
  for (let parent = '0123456789abcdef', found; (found = spans.find(span => span.parentSpanId === parent)) !== undefined; parent = found.spanId) spanNames.push(found.name)
  assert.deepEqual(spanNames, ['entry.submitJob', 'owner.job', 'target.task'])
  await waitUntil(async () => ['entry.submitJob', 'owner.job', 'target.task'].every(name => exportBodies.some(body => body.includes(traceId) && body.includes(`"${name}"`))))
})

// Guards against a planned stop that loses answers, does not release its seat, or ends with an error.
test('answers of a stopped owner are available through another instance', async () => {
  const [key, unused] = await issueKeys(2)
  const owner = findOwner(key!)
  const job = { key, customer: 'kalibra', tasks: [task] }
  const reply = await send(owner, 'POST', '/v1/jobs?waitMs=5000', job)
  instances[owner]!.stop()
  assert.equal(await instances[owner]!.ended, 0)
  assert.deepEqual((await send(1 - owner, 'GET', `/v1/jobs/${key}`)).body, reply.body)
  assert.deepEqual((await send(1 - owner, 'POST', '/v1/jobs', job)).body, reply.body)
  assert.equal((await send(1 - owner, 'POST', '/v1/jobs', { ...job, tasks: [task, task] })).body['code'], 106)
  const lost = await send(1 - owner, 'POST', '/v1/jobs', { ...job, key: unused })
  assert.equal(lost.body['notRun'], false)
  assert.equal((platform.read({ table: 'seats', key: `d.${owner}` }).value as { state: string }).state, 'released')
})

async function issueKeys (count: number): Promise<string[]> {
  return (await send(0, 'POST', '/v1/keys', { customer: 'kalibra', count })).body['keys'] as string[]
}

function findOwner (key: string): number {
  return Number(key.split('.')[1])
}

async function send (instance: number, method: string, path: string, body?: unknown, token = tokens.caller, headers: Record<string, string> = {}): Promise<{ readonly status: number, readonly body: Record<string, unknown> }> {
  const response = await fetch(`http://${addresses[instance]}${path}`, { method, headers: { authorization: `Bearer ${token}`, ...headers }, ...(body === undefined ? {} : { body: JSON.stringify(body) }) })
  return { status: response.status, body: await response.json() as Record<string, unknown> }
}

async function listen (handle: (path: string, body: string) => object): Promise<Server> {
  const server = createServer((request, response) => {
    let body = ''
    request.on('data', chunk => { body += String(chunk) })
    request.on('end', () => { response.end(JSON.stringify(handle(request.url!, body))) })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return server
}

function readAddress (server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

/** Reserves free ports, because peers need each other's addresses before they start. */
async function reservePorts (count: number): Promise<string[]> {
  const servers = await Promise.all(Array.from({ length: count }, async () => await listen(() => ({}))))
  const reserved = servers.map(readAddress)
  await Promise.all(servers.map(async server => await new Promise(resolve => { server.close(resolve) })))
  return reserved
}

async function waitUntil (check: () => Promise<boolean>): Promise<void> {
  const deadline = performance.now() + 10_000
  while (!await check()) {
    assert.ok(performance.now() < deadline, 'not reached within 10 s')
    await new Promise(resolve => { setTimeout(resolve, 50) })
  }
}
