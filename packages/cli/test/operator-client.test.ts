import { test, type TestContext } from 'node:test'
import assert from 'node:assert/strict'
import { type EditOutcome, OperatorClient } from '../src/index.js'
import { createErrorReply, type FakeReply, type ReceivedRequest, startFakeServer } from './fake-server.js'

const edit = { list: 'plans', baseVersion: 4, content: { kalibra: 'large' } } as const

function createLists (version: number, editId: string): FakeReply {
  return { status: 200, body: { version, editId, plans: { kalibra: 'small' }, limits: {} } }
}

async function runEdit (context: TestContext, handle: (request: ReceivedRequest, count: number) => FakeReply): Promise<{ outcome: EditOutcome, puts: number }> {
  const server = await startFakeServer(handle)
  context.after(server.close)
  const client = new OperatorClient({ servers: [server.address], token: 'operator-token-01', replyTimeoutMs: 500, timeoutMs: 1_000 })
  context.after(async () => { await client.close() })
  const outcome = await client.editList(edit, 'edit-id-1')
  return { outcome, puts: server.receivedRequests.filter(seen => seen.method === 'PUT').length }
}

// Guards against an edit that was made but is reported as failed, or made twice, after a lost reply.
test('a lost reply is resolved by reading the edit id back', async context => {
  const { outcome, puts } = await runEdit(context, seen => seen.method === 'PUT' ? 'reset' : createLists(5, 'edit-id-1'))
  assert.deepEqual(outcome, { kind: 'applied', version: 5, editId: 'edit-id-1' })
  assert.equal(puts, 1)
})

// Guards against "conflict" for this very edit when the instance that is read lags behind the store.
test('a conflict after a lost reply is checked until the edit id is seen', async context => {
  const { outcome } = await runEdit(context, (seen, count) => {
    if (seen.method === 'PUT') return count === 1 ? 'reset' : createErrorReply('ListConflict')
    return count < 5 ? createLists(4, 'older-edit') : createLists(5, 'edit-id-1')
  })
  assert.equal(outcome.kind, 'applied')
})

// Guards against a claim about an edit that a later edit of someone else has hidden.
test('an edit that was overtaken before it was confirmed has an unknown outcome', async context => {
  const { outcome } = await runEdit(context, seen => seen.method === 'PUT' ? createErrorReply('EditOutcomeUnknown') : createLists(6, 'other-edit'))
  assert.equal(outcome.kind, 'unknown')
})

// Guards against a conflict that does not say what changed.
test('a conflict shows the current version and the changes', async context => {
  const { outcome } = await runEdit(context, seen => seen.method === 'PUT' ? createErrorReply('ListConflict') : createLists(5, 'other-edit'))
  assert.ok(outcome.kind === 'conflict')
  assert.equal(outcome.current?.version, 5)
  assert.deepEqual(outcome.changes, [{ entry: 'kalibra', kind: 'changed', before: 'small', after: 'large' }])
})

// Guards against an edit that is sent again and again although the store is down.
test('an edit that the store cannot take is refused at once', async context => {
  const { outcome, puts } = await runEdit(context, () => createErrorReply('StoreUnavailable'))
  assert.equal(outcome.kind, 'refused')
  assert.equal(puts, 1)
})
