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

// Guards against a second key, or a changed body, for work whose first reply was lost.
test('a lost reply is followed by the same key and body through the other server', async context => {
  const first = await start(context, seen => seen.path === '/v1/keys' ? issuedKeyReply : 'reset')
  const second = await start(context, () => completeJobReply)
  const client = createClient(context, [first, second])
  const outcome = await client.submit(request)
  assert.equal(outcome.kind, 'answered')
  const submissions = [...first.receivedRequests, ...second.receivedRequests].filter(seen => seen.path.startsWith('/v1/jobs'))
  assert.equal(submissions.length, 2)
  assert.equal(submissions[0]!.body, submissions[1]!.body)
  assert.deepEqual(client.readCounts(), { askKeys: 1, submit: 1, resubmit: 1, wait: 0, cancel: 0, lost: 1 })
})

// Guards against a client that waits forever on a connection that accepts requests and never replies.
test('a server that hangs is left at the deadline', async context => {
  const hanging = await start(context, seen => seen.path === '/v1/keys' ? issuedKeyReply : 'hang')
  const other = await start(context, () => completeJobReply)
  const client = createClient(context, [hanging, other], { maxWaitMs: 50, replyTimeoutMs: 200 })
  const startedAt = performance.now()
  assert.equal((await client.submit(request)).kind, 'answered')
  assert.ok(performance.now() - startedAt < 2_000)
})

// Guards against "not run" for a job whose first, lost submission may still be admitted.
test('a refusal after a lost reply is not reported as proof that nothing was run', async context => {
  const server = await start(context, (seen, count) => seen.path === '/v1/keys' ? issuedKeyReply : count === 2 ? 'reset' : createErrorReply('QueueFull'))
  assert.equal((await createClient(context, [server]).submit(request)).kind, 'unknown')
  const refusing = await start(context, seen => seen.path === '/v1/keys' ? issuedKeyReply : createErrorReply('QueueFull'))
  assert.equal((await createClient(context, [refusing]).submit(request)).kind, 'refused')
})

// Guards against giving up on passing errors, and against giving up on a job that its owner does not know yet.
test('passing errors and an unknown job are followed by the same submission', async context => {
  const replies: readonly FakeReply[] = [
    issuedKeyReply, createErrorReply('Leaving'), createErrorReply('OutcomeUnknown'),
    { status: 202, body: { state: 'running', key: testKey, done: 0, total: 1 } }, createErrorReply('JobUnknown'), completeJobReply
  ]
  const server = await start(context, (_, count) => replies[count - 1]!)
  const outcome = await createClient(context, [server]).submit(request)
  assert.equal(outcome.kind, 'answered')
  assert.deepEqual(server.receivedRequests.map(seen => seen.method), ['POST', 'POST', 'POST', 'POST', 'GET', 'POST'])
  assert.equal(new Set(server.receivedRequests.slice(1).filter(seen => seen.method === 'POST').map(seen => seen.body)).size, 1)
})

// Guards against a final "owner gone" that is asked about again, or that is called not run.
test('an owner that is gone ends with an unknown outcome', async context => {
  const server = await start(context, seen => seen.path === '/v1/keys' ? issuedKeyReply : createErrorReply('OwnerGone'))
  const outcome = await createClient(context, [server]).submit(request)
  assert.equal(outcome.kind, 'unknown')
  assert.equal(server.receivedRequests.length, 2)
})

// Guards against one request for keys for each of many jobs that start together.
test('jobs that start together share a block of keys', async context => {
  let next = 0
  const server = await start(context, seen => {
    if (seen.path !== '/v1/keys') return completeJobReply
    const { count } = JSON.parse(seen.body) as { count: number }
    return { status: 200, body: { keys: Array.from({ length: count }, () => `gent-1.0.k3j9x2ab.${next++}`), expiresInMs: 3_600_000 } }
  })
  const client = createClient(context, [server], { keyBlockSize: 20 })
  const outcomes = await Promise.all(Array.from({ length: 10 }, async () => await client.submit(request)))
  assert.equal(new Set(outcomes.map(outcome => 'key' in outcome ? outcome.key : undefined)).size, 10)
  assert.equal(client.readCounts().askKeys, 1)
})

// Guards against a job that waits for keys although the client could have asked in time.
test('a new block is asked for before the last one is used up', async context => {
  let next = 0
  const server = await start(context, seen => seen.path !== '/v1/keys'
    ? completeJobReply
    : { status: 200, body: { keys: Array.from({ length: 8 }, () => `gent-1.0.k3j9x2ab.${next++}`), expiresInMs: 3_600_000 } })
  const client = createClient(context, [server], { keyBlockSize: 8 })
  for (let job = 0; job < 6; job++) await client.submit(request)
  assert.equal(client.readCounts().askKeys, 1)
  await client.submit(request)
  assert.equal(client.readCounts().askKeys, 2)
})

// Guards against a client that hides that no server could be reached.
test('without any server the job is reported as not sent', async context => {
  const server = await start(context, () => 'reset')
  server.close()
  const client = createClient(context, [server])
  assert.equal((await client.submitWithKey(testKey, request, { timeoutMs: 300 })).kind, 'unreachable')
})

// Guards against a block of keys whose owner is dead: each further job would wait for it.
test('keys of an owner with a problem are not used for other jobs', async context => {
  let block = 0
  const server = await start(context, seen => {
    if (seen.path === '/v1/keys') return { status: 200, body: { keys: [1, 2, 3, 4].map(number => `gent-1.0.incarnation${block}.${number}`), expiresInMs: 3_600_000, block: block++ } }
    return seen.body.includes('incarnation0') ? createErrorReply('OutcomeUnknown') : completeJobReply
  })
  const client = createClient(context, [server], { keyBlockSize: 4 })
  assert.equal((await client.submit(request, { timeoutMs: 300 })).kind, 'unknown')
  assert.equal((await client.submit(request)).kind, 'answered')
})
