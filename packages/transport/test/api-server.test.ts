import { connect } from 'node:net'
import { once } from 'node:events'
import { after, before, test } from 'node:test'
import assert from 'node:assert/strict'
import fc from 'fast-check'
import { callerToken, FakeServices, operatorToken } from './fake-services.js'

let services: FakeServices
before(async () => { services = await new FakeServices(1_000).start() })
after(async () => { await services.stop() })

const task = { kind: 'lookup', payload: {}, demand: { processors: 100, memoryMb: 10, accelerators: 0 } }
const job = { key: 'd.0.abcdefgh.7', customer: 'kalibra', tasks: [task] }
const limits = { processors: 1, memoryMb: 1, accelerators: 0, parallel: 1 }

interface BadInput {
  readonly what: string
  readonly method: string
  readonly path: string
  readonly body?: unknown
  readonly text?: string
  readonly token?: string
  readonly code: number
  readonly field: string
}

const operator = { token: operatorToken }
const edit = { baseVersion: 0, editId: 'edit-0001', content: {} }
const badInputs: BadInput[] = [
  { what: 'malformed JSON', method: 'POST', path: '/v1/jobs', text: '{"key":', code: 100, field: 'body' },
  { what: 'no body', method: 'POST', path: '/v1/keys', code: 100, field: 'body' },
  { what: 'a body that is not an object', method: 'POST', path: '/v1/jobs', text: '[]', code: 100, field: 'body' },
  { what: 'a missing customer', method: 'POST', path: '/v1/keys', body: { count: 1 }, code: 100, field: 'customer' },
  { what: 'a count of zero', method: 'POST', path: '/v1/keys', body: { customer: 'kalibra', count: 0 }, code: 100, field: 'count' },
  { what: 'an absurd count', method: 'POST', path: '/v1/keys', body: { customer: 'kalibra', count: 1e12 }, code: 100, field: 'count' },
  { what: 'a fraction of a key', method: 'POST', path: '/v1/keys', body: { customer: 'kalibra', count: 1.5 }, code: 100, field: 'count' },
  { what: 'an unknown field', method: 'POST', path: '/v1/keys', body: { customer: 'kalibra', cuont: 3 }, code: 100, field: 'cuont' },
  { what: 'a body too large for keys', method: 'POST', path: '/v1/keys', text: `"${'x'.repeat(5_000)}"`, code: 103, field: 'body' },
  { what: 'a customer of another caller', method: 'POST', path: '/v1/keys', body: { customer: 'guild' }, code: 102, field: 'customer' },
  { what: 'a wrong token', method: 'POST', path: '/v1/keys', body: { customer: 'kalibra' }, token: 'wrong', code: 101, field: 'authorization' },
  { what: 'the token of operators', method: 'POST', path: '/v1/keys', body: { customer: 'kalibra' }, ...operator, code: 101, field: 'authorization' },
  { what: 'a malformed key', method: 'POST', path: '/v1/jobs', body: { ...job, key: 'mine' }, code: 104, field: 'key' },
  { what: 'a job without tasks', method: 'POST', path: '/v1/jobs', body: { ...job, tasks: [] }, code: 100, field: 'tasks' },
  { what: 'too many tasks', method: 'POST', path: '/v1/jobs', body: { ...job, tasks: Array.from({ length: 10_001 }, () => 0) }, code: 103, field: 'tasks' },
  { what: 'a negative demand', method: 'POST', path: '/v1/jobs', body: { ...job, tasks: [task, { ...task, demand: { ...task.demand, memoryMb: -1 } }] }, code: 100, field: 'tasks[1].demand.memoryMb' },
  { what: 'an absurd timeout', method: 'POST', path: '/v1/jobs', body: { ...job, tasks: [{ ...task, timeoutMs: 1e9 }] }, code: 100, field: 'tasks[0].timeoutMs' },
  { what: 'a number beyond the range', method: 'POST', path: '/v1/jobs', text: JSON.stringify(job).replace('{}', '{"a":[1e400]}'), code: 100, field: 'tasks[0].payload.a[0]' },
  { what: 'a deep payload', method: 'POST', path: '/v1/jobs', text: JSON.stringify(job).replace('{}', '['.repeat(50_000) + ']'.repeat(50_000)), code: 100, field: 'tasks[0].payload[0]' },
  { what: 'a negative wait', method: 'POST', path: '/v1/jobs?waitMs=-1', body: job, code: 100, field: 'waitMs' },
  { what: 'an absurd wait', method: 'GET', path: '/v1/jobs/d.0.abcdefgh.7?waitMs=1e9', code: 100, field: 'waitMs' },
  { what: 'two waits', method: 'GET', path: '/v1/jobs/d.0.abcdefgh.7?waitMs=1&waitMs=2', code: 100, field: 'waitMs' },
  { what: 'a malformed key in the path', method: 'GET', path: '/v1/jobs/%2e%2e%2f', code: 104, field: 'key' },
  { what: 'a malformed key to cancel', method: 'DELETE', path: '/v1/jobs/1', code: 104, field: 'key' },
  { what: 'an unknown endpoint', method: 'GET', path: '/v2/jobs', code: 109, field: 'path' },
  { what: 'a wrong method', method: 'PATCH', path: '/v1/keys', code: 109, field: 'path' },
  { what: 'lists with the token of a caller', method: 'GET', path: '/v1/lists', code: 101, field: 'authorization' },
  { what: 'an edit without a base', method: 'PUT', path: '/v1/lists/plans', body: { ...edit, baseVersion: undefined }, ...operator, code: 100, field: 'baseVersion' },
  { what: 'a negative base', method: 'PUT', path: '/v1/lists/plans', body: { ...edit, baseVersion: -1 }, ...operator, code: 100, field: 'baseVersion' },
  { what: 'an edit of no list', method: 'PUT', path: '/v1/lists/seats', body: edit, ...operator, code: 100, field: 'list' },
  { what: 'a plan that is a number', method: 'PUT', path: '/v1/lists/plans', body: { ...edit, content: { kalibra: 3 } }, ...operator, code: 500, field: 'content.kalibra' },
  { what: 'a negative limit', method: 'PUT', path: '/v1/lists/limits', body: { ...edit, content: { gold: { ...limits, parallel: -5 } } }, ...operator, code: 500, field: 'content.gold.parallel' },
  { what: 'a tuning parameter', method: 'PUT', path: '/v1/lists/limits', body: { ...edit, content: { gold: { ...limits, weight: 2 } } }, ...operator, code: 500, field: 'content.gold.weight' },
  { what: 'a malformed trace id', method: 'GET', path: '/v1/traces/xyz', code: 100, field: 'traceId' }
]

// Guards against input that is accepted, that crashes a handler, or whose error does not say what to correct.
for (const { what, method, path, body, text, token, code, field } of badInputs) {
  test(`${method} ${path.slice(0, 30)} with ${what} gives code ${code}`, async () => {
    const before = services.submittedJobs.length + services.edits.length
    const reply = await services.send(method, path, text ?? (body === undefined ? undefined : JSON.stringify(body)), token)
    assert.equal(reply.body['code'], code, JSON.stringify(reply.body))
    assert.equal(reply.body['field'], field, JSON.stringify(reply.body))
    assert.equal(reply.body['notRun'], true)
    assert.equal(services.submittedJobs.length + services.edits.length, before)
  })
}

// Guards against a payload whose bytes are silently replaced before they reach a target.
test('bytes that are not UTF-8 are refused', async () => {
  const init = { method: 'POST', headers: { authorization: `Bearer ${callerToken}` }, body: new Uint8Array([0x22, 0xff, 0x22]) }
  const reply = await (await fetch(`http://${services.address}/v1/jobs`, init)).json() as Record<string, unknown>
  assert.deepEqual([reply['code'], reply['field'], reply['notRun']], [100, 'body', true])
})

// Guards against a second job under a key, and against defaults that change between resubmissions.
test('a resubmission attaches and another body is refused', async () => {
  assert.equal((await services.send('POST', '/v1/jobs', JSON.stringify(job))).status, 202)
  assert.equal((await services.send('POST', '/v1/jobs', JSON.stringify(job))).status, 202)
  const reply = await services.send('POST', '/v1/jobs', JSON.stringify({ ...job, repeatable: true }))
  assert.deepEqual([reply.status, reply.body['code'], reply.body['notRun']], [409, 106, true])
})

// Guards against connections that are held open by half a header, and against bytes that are not HTTP.
test('half a header is cut off and garbage gets a numbered error', async () => {
  for (const bytes of ['GET /live HTTP/1.1\r\nHost:', '\x16\x03\x01 not http\r\n\r\n']) {
    const [host, port] = services.address.split(':') as [string, string]
    const socket = connect(Number(port), host)
    socket.write(bytes)
    let text = ''
    socket.on('data', chunk => { text += chunk.toString() })
    await once(socket, 'close')
    assert.match(text, /"code":100/)
  }
})

// Guards against any input that crashes the server or that it answers with an unexpected error.
test('no request makes the server fail', async () => {
  const paths = fc.oneof(
    fc.constantFrom('/v1/keys', '/v1/jobs', '/v1/jobs/d.0.abcdefgh.7', '/v1/lists', '/v1/lists/plans', '/v1/lists/limits', '/v1/status', '/v1/traces/00', '/metrics', '/ready', '/live'),
    fc.webPath()
  )
  const queries = fc.oneof(fc.constant(''), fc.webQueryParameters().map(query => `?${query}`), fc.integer().map(wait => `?waitMs=${wait}`))
  const bodies = fc.oneof(
    fc.constant(undefined),
    fc.string(),
    fc.json(),
    // Valid bodies with one part replaced by anything reach past the first checks.
    fc.tuple(fc.constantFrom('key', 'customer', 'repeatable', 'tasks', 'count', 'baseVersion', 'editId', 'content', 'dryRun', '__proto__'), fc.jsonValue())
      .map(([name, value]) => `${JSON.stringify({ ...job, ...edit }).slice(0, -1)},${JSON.stringify(name)}:${JSON.stringify(value)}}`),
    fc.jsonValue().map(payload => JSON.stringify({ ...job, tasks: [{ ...task, payload }] })),
    fc.tuple(fc.string(), fc.jsonValue()).map(([name, value]) => JSON.stringify({ ...edit, content: { [name]: value } }))
  )
  await fc.assert(fc.asyncProperty(fc.constantFrom('GET', 'POST', 'PUT', 'DELETE'), paths, queries, bodies, fc.boolean(), async (method, path, query, body, asOperator) => {
    const response = await fetch(`http://${services.address}${path.startsWith('/') ? path : `/${path}`}${query}`, {
      method,
      headers: { authorization: `Bearer ${asOperator ? operatorToken : callerToken}` },
      ...(method === 'GET' || body === undefined ? {} : { body })
    })
    const text = await response.text()
    assert.ok(response.status < 500, `${method} ${path}${query} ${body}: ${response.status} ${text}`)
    if (response.status >= 400) assert.equal(typeof (JSON.parse(text) as { code: unknown }).code, 'number')
  }), { numRuns: 600, seed: 7 })
  assert.deepEqual(services.errors, [])
})
