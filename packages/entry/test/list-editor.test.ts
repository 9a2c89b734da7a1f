import { test, type TestContext } from 'node:test'
import assert from 'node:assert/strict'
import { configurationRow } from '@sesamereel/protocol'
import { type Configuration, emptyConfiguration } from '@sesamereel/state'
import { type EditReply, type ListEdit, PlatformClient, NoopExchangeObserver } from '@sesamereel/transport'
import { ConfigurationStore } from '../src/configuration-store.js'
import { ListEditor } from '../src/list-editor.js'
import { FakePlatform, type WriteFault } from './fake-platform.js'

const gold = { processors: 1_000, memoryMb: 100, accelerators: 0, parallel: 4 }

interface Prepared {
  readonly platform: FakePlatform
  readonly editor: ListEditor
  readonly edit: (edit: Partial<ListEdit> & { readonly content: Record<string, unknown> }) => Promise<EditReply>
}

async function prepare (t: TestContext): Promise<Prepared> {
  const platform = new FakePlatform()
  const client = new PlatformClient(await platform.listen(), new NoopExchangeObserver())
  t.after(async () => {
    await client.close()
    await platform.stop()
  })
  let inForce: Configuration = emptyConfiguration
  const editor = new ListEditor({
    store: new ConfigurationStore(client),
    readInForce: () => inForce,
    explainStarting: () => undefined,
    applyIfNewer: configuration => { if (configuration.version > inForce.version) inForce = configuration },
    describeInstance: () => ({}),
    observeEdit: () => {}
  })
  let edits = 0
  const edit: Prepared['edit'] = async partial => await editor.editList({ list: 'limits', baseVersion: 0, editId: `edit-000${edits++}`, dryRun: false, ...partial } as ListEdit)
  return { platform, editor, edit }
}

function describeReply (reply: EditReply): string {
  return reply.kind === 'applied' ? `applied ${reply.version}` : reply.error.name
}

// Guards against an edit that is reported wrongly, or made twice, when replies of the store are lost.
const cases: Array<{ readonly faults: WriteFault[], readonly race: boolean, readonly expected: string }> = [
  { faults: ['lost-after'], race: false, expected: 'applied 1' },
  { faults: ['lost-before'], race: false, expected: 'applied 1' },
  { faults: ['lost-before', 'lost-after'], race: false, expected: 'applied 1' },
  { faults: ['lost-before', 'lost-before', 'lost-before'], race: false, expected: 'EditOutcomeUnknown' },
  { faults: ['lost-after'], race: true, expected: 'ListConflict' },
  { faults: ['lost-before'], race: true, expected: 'ListConflict' }
]
for (const { faults, race, expected } of cases) {
  test(`an edit with writes ${faults.join(', ')}${race ? ' and a competing edit' : ''} gives ${expected}`, async t => {
    const { platform, edit } = await prepare(t)
    platform.writeFaults = [...faults]
    const other = { version: 1, editId: 'other-edit', plans: {}, limits: {} }
    if (race) platform.onWriteFault = () => { platform.write(configurationRow, other) }
    const reply = await edit({ content: { gold } })
    assert.equal(describeReply(reply), expected)
    const row = platform.read(configurationRow).value as Configuration | null
    if (expected === 'applied 1') assert.deepEqual([row?.editId, platform.writeCount], ['edit-0000', 1])
    else assert.notEqual(row?.editId, 'edit-0000')
  })
}

// Guards against a repeated edit that conflicts with itself.
test('the same edit again is reported as applied', async t => {
  const { platform, edit } = await prepare(t)
  assert.equal(describeReply(await edit({ content: { gold }, editId: 'same-edit' })), 'applied 1')
  assert.equal(describeReply(await edit({ content: { gold }, editId: 'same-edit' })), 'applied 1')
  assert.equal(platform.writeCount, 1)
})

// Guards against a loser of a race that overwrites the winner, or that does not learn what changed.
test('the loser of a race gets the current version and what changed', async t => {
  const { edit } = await prepare(t)
  await edit({ content: { gold } })
  await edit({ list: 'plans', baseVersion: 1, content: { kalibra: 'gold' } })
  const reply = await edit({ baseVersion: 1, content: { gold: { ...gold, parallel: 9 } } })
  assert.equal(describeReply(reply), 'ListConflict')
  assert.equal(reply.version, 2)
  assert.deepEqual(reply.changes, [{ list: 'plans', name: 'kalibra', before: undefined, after: 'gold' }])
})

// Guards against two lists that contradict each other.
test('a plan without limits is refused with the field', async t => {
  const { edit } = await prepare(t)
  await edit({ content: { gold } })
  const wrong = await edit({ list: 'plans', baseVersion: 1, content: { kalibra: 'silver' } })
  assert.deepEqual(wrong.kind === 'refused' && [wrong.error.name, wrong.error.field], ['ListInvalid', 'content.kalibra'])
  await edit({ list: 'plans', baseVersion: 1, content: { kalibra: 'gold' } })
  const emptied = await edit({ baseVersion: 2, content: {} })
  assert.deepEqual(emptied.kind === 'refused' && [emptied.error.name, emptied.error.field], ['ListInvalid', 'content.gold'])
})

// Guards against an edit that is reported as unknown although the store was never asked to write.
test('without the store an edit is proven not made, and the lists in force are shown', async t => {
  const { platform, editor, edit } = await prepare(t)
  await edit({ content: { gold } })
  platform.isDown = true
  const reply = await edit({ baseVersion: 1, content: {} })
  assert.equal(describeReply(reply), 'StoreUnavailable')
  assert.equal((await editor.readLists()).version, 1)
})

// Guards against a dry run that writes.
test('a dry run writes nothing', async t => {
  const { platform, edit } = await prepare(t)
  const reply = await edit({ content: { gold }, dryRun: true })
  assert.deepEqual([reply.kind, reply.version, platform.writeCount], ['applied', 0, 0])
})
