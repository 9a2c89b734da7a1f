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
  readonly description: string
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
  { description: 'malformed JSON', method: 'POST', path: '/v1/jobs', text: '{"key":', code: 100, field: 'body' },
  { description: 'no body', method: 'POST', path: '/v1/keys', code: 100, field: 'body' },
  { description: 'a body that is not an object', method: 'POST', path: '/v1/jobs', text: '[]', code: 100, field: 'body' },
  { description: 'a missing customer', method: 'POST', path: '/v1/keys', body: { count: 1 }, code: 100, field: 'customer' },
  { description: 'a count of zero', method: 'POST', path: '/v1/keys', body: { customer: 'kalibra', count: 0 }, code: 100, field: 'count' },
  { description: 'an absurd count', method: 'POST', path: '/v1/keys', body: { customer: 'kalibra', count: 1e12 }, code: 100, field: 'count' },
  { description: 'a fraction of a key', method: 'POST', path: '/v1/keys', body: { customer: 'kalibra', count: 1.5 }, code: 100, field: 'count' },
  { description: 'an unknown field', method: 'POST', path: '/v1/keys', body: { customer: 'kalibra', cuont: 3 }, code: 100, field: 'cuont' },
  { description: 'a body too large for keys', method: 'POST', path: '/v1/keys', text: `"${'x'.repeat(5_000)}"`, code: 103, field: 'body' },
  { description: 'a customer of another caller', method: 'POST', path: '/v1/keys', body: { customer: 'guild' }, code: 102, field: 'customer' },
  { description: 'a wrong token', method: 'POST', path: '/v1/keys', body: { customer: 'kalibra' }, token: 'wrong', code: 101, field: 'authorization' },
  { description: 'the token of operators', method: 'POST', path: '/v1/keys', body: { customer: 'kalibra' }, ...operator, code: 101, field: 'authorization' },
  { description: 'a malformed key', method: 'POST', path: '/v1/jobs', body: { ...job, key: 'mine' }, code: 104, field: 'key' },
  { description: 'a job without tasks', method: 'POST', path: '/v1/jobs', body: { ...job, tasks: [] }, code: 100, field: 'tasks' },
  { description: 'too many tasks', method: 'POST', path: '/v1/jobs', body: { ...job, tasks: Array.from({ length: 10_001 }, () => 0) }, code: 103, field: 'tasks' },
  { description: 'a negative demand', method: 'POST', path: '/v1/jobs', body: { ...job, tasks: [task, { ...task, demand: { ...task.demand, memoryMb: -1 } }] }, code: 100, field: 'tasks[1].demand.memoryMb' },
  { description: 'an absurd timeout', method: 'POST', path: '/v1/jobs', body: { ...job, tasks: [{ ...task, timeoutMs: 1e9 }] }, code: 100, field: 'tasks[0].timeoutMs' },
  { description: 'a number beyond the range', method: 'POST', path: '/v1/jobs', text: JSON.stringify(job).replace('{}', '{"a":[1e400]}'), code: 100, field: 'tasks[0].payload.a[0]' },
  { description: 'a deep payload', method: 'POST', path: '/v1/jobs', text: JSON.stringify(job).replace('{}', '['.repeat(50_000) + ']'.repeat(50_000)), code: 100, field: 'tasks[0].payload[0]' },
  { description: 'a negative wait', method: 'POST', path: '/v1/jobs?waitMs=-1', body: job, code: 100, field: 'waitMs' },
  { description: 'an absurd wait', method: 'GET', path: '/v1/jobs/d.0.abcdefgh.7?waitMs=1e9', code: 100, field: 'waitMs' },
  { description: 'two waits', method: 'GET', path: '/v1/jobs/d.0.abcdefgh.7?waitMs=1&waitMs=2', code: 100, field: 'waitMs' },
  { description: 'a malformed key in the path', method: 'GET', path: '/v1/jobs/%2e%2e%2f', code: 104, field: 'key' },
  { description: 'a malformed key to cancel', method: 'DELETE', path: '/v1/jobs/1', code: 104, field: 'key' },
  { description: 'an unknown endpoint', method: 'GET', path: '/v2/jobs', code: 109, field: 'path' },
  { description: 'a wrong method', method: 'PATCH', path: '/v1/keys', code: 109, field: 'path' },
  { description: 'lists with the token of a caller', method: 'GET', path: '/v1/lists', code: 101, field: 'authorization' },
  { description: 'an edit without a base', method: 'PUT', path: '/v1/lists/plans', body: { ...edit, baseVersion: undefined }, ...operator, code: 100, field: 'baseVersion' },
  { description: 'a negative base', method: 'PUT', path: '/v1/lists/plans', body: { ...edit, baseVersion: -1 }, ...operator, code: 100, field: 'baseVersion' },
  { description: 'an edit of no list', method: 'PUT', path: '/v1/lists/seats', body: edit, ...operator, code: 100, field: 'list' },
  { description: 'a plan that is a number', method: 'PUT', path: '/v1/lists/plans', body: { ...edit, content: { kalibra: 3 } }, ...operator, code: 500, field: 'content.kalibra' },
  { description: 'a negative limit', method: 'PUT', path: '/v1/lists/limits', body: { ...edit, content: { gold: { ...limits, parallel: -5 } } }, ...operator, code: 500, field: 'content.gold.parallel' },
  { description: 'a tuning parameter', method: 'PUT', path: '/v1/lists/limits', body: { ...edit, content: { gold: { ...limits, weight: 2 } } }, ...operator, code: 500, field: 'content.gold.weight' },
  { description: 'a malformed trace id', method: 'GET', path: '/v1/traces/xyz', code: 100, field: 'traceId' }
]

// Guards against invalid input that is accepted, that crashes a handler, or whose error does not name the field to correct.
for (const { description, method, path, body, text, token, code, field } of badInputs) {
  test(`${method} ${path.slice(0, 30)} with ${description} gives code ${code}`, async () => {
    const before = services.submittedJobs.length + services.edits.length
    const reply = await services.send(method, path, text ?? (body === undefined ? undefined : JSON.stringify(body)), token)
    assert.equal(reply.body['code'], code, JSON.stringify(reply.body))
    assert.equal(reply.body['field'], field, JSON.stringify(reply.body))
    assert.equal(reply.body['notRun'], true)
    assert.equal(services.submittedJobs.length + services.edits.length, before)
  })
}

// Guards against invalid UTF-8 in a payload that is silently replaced before it reaches a target.
test('bytes that are not UTF-8 are refused', async () => {
  const init = { method: 'POST', headers: { authorization: `Bearer ${callerToken}` }, body: new Uint8Array([0x22, 0xff, 0x22]) }
  const reply = await (await fetch(`http://${services.address}/v1/jobs`, init)).json() as Record<string, unknown>
  assert.deepEqual([reply['code'], reply['field'], reply['notRun']], [100, 'body', true])
})

// Guards against a second job with the same key, and against defaults that change between resubmissions.
test('a resubmission attaches to the job, and a different body with its key is refused', async () => {
  assert.equal((await services.send('POST', '/v1/jobs', JSON.stringify(job))).status, 202)
  assert.equal((await services.send('POST', '/v1/jobs', JSON.stringify(job))).status, 202)
  const reply = await services.send('POST', '/v1/jobs', JSON.stringify({ ...job, repeatable: true }))
  assert.deepEqual([reply.status, reply.body['code'], reply.body['notRun']], [409, 106, true])
})

// Guards against connections held open by an incomplete header, and against bytes that are not HTTP.
test('an incomplete header times out, and bytes that are not HTTP get a numbered error', async () => {
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

// Guards against any input that crashes the server or makes it respond with an unexpected error.
test('no request causes an internal error', async () => {
  const paths = fc.oneof(
    fc.constantFrom('/v1/keys', '/v1/jobs', '/v1/jobs/d.0.abcdefgh.7', '/v1/lists', '/v1/lists/plans', '/v1/lists/limits', '/v1/status', '/v1/traces/00', '/metrics', '/ready', '/live'),
    fc.webPath()
  )
  const queries = fc.oneof(fc.constant(''), fc.webQueryParameters().map(query => `?${query}`), fc.integer().map(wait => `?waitMs=${wait}`))
  const bodies = fc.oneof(
    fc.constant(undefined),
    fc.string(),
    fc.json(),
    // Valid bodies with one field replaced by an arbitrary value get past the first checks.
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
