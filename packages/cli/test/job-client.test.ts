import { test, type TestContext } from 'node:test'
import assert from 'node:assert/strict'
import { JobClient, type JobClientOptions } from '../src/index.js'
import { completeJobReply, createErrorReply, type FakeReply, type FakeServer, issuedKeyReply, type ReceivedRequest, startFakeServer, testKey } from './fake-server.js'

const request = { customer: 'kalibra', tasks: [{ kind: 'lookup', demand: { processors: 100, memoryMb: 64, accelerators: 0 } }] }

async function start (context: TestContext, handle: (request: ReceivedRequest, count: number) => FakeReply): Promise<FakeServer> {
  const server = await startFakeServer(handle)
  context.after(server.close)
  return server
}

function createClient (context: TestContext, servers: readonly FakeServer[], options: Partial<JobClientOptions> = {}): JobClient {
  const client = new JobClient({ servers: servers.map(server => server.address), token: 'caller-token-0001', ...options })
  context.after(async () => { await client.close() })
  return client
}

// Guards against a resubmission with a new key or a changed body after the first reply was lost.
test('after a lost reply the job is resubmitted to the other server with the same key and body', async context => {
  const first = await start(context, received => received.path === '/v1/keys' ? issuedKeyReply : 'reset')
  const second = await start(context, () => completeJobReply)
  const client = createClient(context, [first, second])
  const outcome = await client.submit(request)
  assert.equal(outcome.kind, 'answered')
  const submissions = [...first.receivedRequests, ...second.receivedRequests].filter(received => received.path.startsWith('/v1/jobs'))
  assert.equal(submissions.length, 2)
  assert.equal(submissions[0]!.body, submissions[1]!.body)
  assert.deepEqual(client.readCounts(), { askKeys: 1, submit: 1, resubmit: 1, wait: 0, cancel: 0, lost: 1 })
})

// Guards against a client that waits forever for a server that accepts requests and never replies.
test('the client switches to another server when a request times out', async context => {
  const hanging = await start(context, received => received.path === '/v1/keys' ? issuedKeyReply : 'hang')
  const other = await start(context, () => completeJobReply)
  const client = createClient(context, [hanging, other], { maxWaitMs: 50, replyTimeoutMs: 200 })
  const startedAt = performance.now()
  assert.equal((await client.submit(request)).kind, 'answered')
  assert.ok(performance.now() - startedAt < 2_000)
})

// Guards against reporting "not run" for a job when its first submission got no reply and may still be admitted.
test('a refusal after a lost reply is not reported as proof that nothing was run', async context => {
  const server = await start(context, (received, count) => received.path === '/v1/keys' ? issuedKeyReply : count === 2 ? 'reset' : createErrorReply('QueueFull'))
  assert.equal((await createClient(context, [server]).submit(request)).kind, 'unknown')
  const refusing = await start(context, received => received.path === '/v1/keys' ? issuedKeyReply : createErrorReply('QueueFull'))
  assert.equal((await createClient(context, [refusing]).submit(request)).kind, 'refused')
})

// Guards against giving up after transient errors, or when the owner does not know the job yet.
test('transient errors and an unknown job lead to the same submission again', async context => {
  const replies: readonly FakeReply[] = [
    issuedKeyReply, createErrorReply('Leaving'), createErrorReply('OutcomeUnknown'),
    { status: 202, body: { state: 'running', key: testKey, done: 0, total: 1 } }, createErrorReply('JobUnknown'), completeJobReply
  ]
  const server = await start(context, (_, count) => replies[count - 1]!)
  const outcome = await createClient(context, [server]).submit(request)
  assert.equal(outcome.kind, 'answered')
  assert.deepEqual(server.receivedRequests.map(received => received.method), ['POST', 'POST', 'POST', 'POST', 'GET', 'POST'])
  assert.equal(new Set(server.receivedRequests.slice(1).filter(received => received.method === 'POST').map(received => received.body)).size, 1)
})

// Guards against retrying after OwnerGone, which is final, and against reporting such a job as not run.
test('OwnerGone ends the job with an unknown outcome', async context => {
  const server = await start(context, received => received.path === '/v1/keys' ? issuedKeyReply : createErrorReply('OwnerGone'))
  const outcome = await createClient(context, [server]).submit(request)
  assert.equal(outcome.kind, 'unknown')
  assert.equal(server.receivedRequests.length, 2)
})

// Guards against a separate request for keys for each of many jobs that are submitted at the same time.
test('jobs that are submitted at the same time share a block of keys', async context => {
  let next = 0
  const server = await start(context, received => {
    if (received.path !== '/v1/keys') return completeJobReply
    const { count } = JSON.parse(received.body) as { count: number }
    return { status: 200, body: { keys: Array.from({ length: count }, () => `gent-1.0.k3j9x2ab.${next++}`), expiresInMs: 3_600_000 } }
  })
  const client = createClient(context, [server], { keyBlockSize: 20 })
  const outcomes = await Promise.all(Array.from({ length: 10 }, async () => await client.submit(request)))
  assert.equal(new Set(outcomes.map(outcome => 'key' in outcome ? outcome.key : undefined)).size, 10)
  assert.equal(client.readCounts().askKeys, 1)
})

// Guards against a job that waits for keys that could have been requested in advance.
test('a new block of keys is requested before the last one is used up', async context => {
  let next = 0
  const server = await start(context, received => received.path !== '/v1/keys'
    ? completeJobReply
    : { status: 200, body: { keys: Array.from({ length: 8 }, () => `gent-1.0.k3j9x2ab.${next++}`), expiresInMs: 3_600_000 } })
  const client = createClient(context, [server], { keyBlockSize: 8 })
  for (let job = 0; job < 6; job++) await client.submit(request)
  assert.equal(client.readCounts().askKeys, 1)
  await client.submit(request)
  assert.equal(client.readCounts().askKeys, 2)
})

// Guards against a client that hides that no server could be reached.
test('a job is reported as unreachable when no server can be reached', async context => {
  const server = await start(context, () => 'reset')
  server.close()
  const client = createClient(context, [server])
  assert.equal((await client.submitWithKey(testKey, request, { timeoutMs: 300 })).kind, 'unreachable')
})

// Guards against using the remaining keys of an owner that does not respond: each further job would wait for it.
test('remaining keys of a failed owner are not used for other jobs', async context => {
  let block = 0
  const server = await start(context, received => {
    if (received.path === '/v1/keys') return { status: 200, body: { keys: [1, 2, 3, 4].map(number => `gent-1.0.incarnation${block}.${number}`), expiresInMs: 3_600_000, block: block++ } }
    return received.body.includes('incarnation0') ? createErrorReply('OutcomeUnknown') : completeJobReply
  })
  const client = createClient(context, [server], { keyBlockSize: 4 })
  assert.equal((await client.submit(request, { timeoutMs: 300 })).kind, 'unknown')
  assert.equal((await client.submit(request)).kind, 'answered')
})
