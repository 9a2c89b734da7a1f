import { test, type TestContext } from 'node:test'
import assert from 'node:assert/strict'
import { type EditOutcome, OperatorClient } from '../src/index.js'
import { createErrorReply, type FakeReply, type ReceivedRequest, startFakeServer } from './fake-server.js'

const edit = { list: 'plans', baseVersion: 4, content: { kalibra: 'large' } } as const

function createLists (version: number, editId: string): FakeReply {
  return { status: 200, body: { version, editId, plans: { kalibra: 'small' }, limits: {} } }
}

async function runEdit (context: TestContext, handle: (request: ReceivedRequest, count: number) => FakeReply): Promise<{ outcome: EditOutcome, putCount: number }> {
  const server = await startFakeServer(handle)
  context.after(server.close)
  const client = new OperatorClient({ servers: [server.address], token: 'operator-token-01', replyTimeoutMs: 500, timeoutMs: 1_000 })
  context.after(async () => { await client.close() })
  const outcome = await client.editList(edit, 'edit-id-1')
  return { outcome, putCount: server.receivedRequests.filter(received => received.method === 'PUT').length }
}

// Guards against reporting an applied edit as failed, or applying it twice, after a lost reply.
test('a lost reply is resolved by reading the edit id back', async context => {
  const { outcome, putCount } = await runEdit(context, received => received.method === 'PUT' ? 'reset' : createLists(5, 'edit-id-1'))
  assert.deepEqual(outcome, { kind: 'applied', version: 5, editId: 'edit-id-1' })
  assert.equal(putCount, 1)
})

// Guards against reporting a conflict of the edit with itself when the instance that replies lags behind the store.
test('after a lost reply and a conflict the client retries until the edit id appears', async context => {
  const { outcome } = await runEdit(context, (received, count) => {
    if (received.method === 'PUT') return count === 1 ? 'reset' : createErrorReply('ListConflict')
    return count < 5 ? createLists(4, 'older-edit') : createLists(5, 'edit-id-1')
  })
  assert.equal(outcome.kind, 'applied')
})

// Guards against a definite outcome for an edit when a later edit has replaced its id in the lists.
test('an edit has an unknown outcome when later edits were applied before it was confirmed', async context => {
  const { outcome } = await runEdit(context, received => received.method === 'PUT' ? createErrorReply('EditOutcomeUnknown') : createLists(6, 'other-edit'))
  assert.equal(outcome.kind, 'unknown')
})

// Guards against a conflict without the current version or the changes.
test('a conflict shows the current version and the changes', async context => {
  const { outcome } = await runEdit(context, received => received.method === 'PUT' ? createErrorReply('ListConflict') : createLists(5, 'other-edit'))
  assert.ok(outcome.kind === 'conflict')
  assert.equal(outcome.current?.version, 5)
  assert.deepEqual(outcome.changes, [{ entry: 'kalibra', kind: 'changed', before: 'small', after: 'large' }])
})

// Guards against retrying an edit although the store is unavailable.
test('an edit that the store cannot take is refused at once', async context => {
  const { outcome, putCount } = await runEdit(context, () => createErrorReply('StoreUnavailable'))
  assert.equal(outcome.kind, 'refused')
  assert.equal(putCount, 1)
})
