import { test, type TestContext } from 'node:test'
import assert from 'node:assert/strict'
import { configurationRow } from '@sesamereel/protocol'
import { type Configuration, emptyConfiguration } from '@sesamereel/state'
import { type EditReply, type ListEdit, PlatformClient, NoopExchangeObserver } from '@sesamereel/transport'
import { ConfigurationStore } from '../src/configuration-store.js'
import { ListEditor } from '../src/list-editor.js'
import { FakePlatform, type WriteFault } from './fake-platform.js'

const gold = { processors: 1_000, memoryMb: 100, accelerators: 0, parallel: 4 }

interface Fixture {
  readonly platform: FakePlatform
  readonly editor: ListEditor
  readonly edit: (edit: Partial<ListEdit> & { readonly content: Record<string, unknown> }) => Promise<EditReply>
}

async function createFixture (t: TestContext): Promise<Fixture> {
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
  const edit: Fixture['edit'] = async partial => await editor.editList({ list: 'limits', baseVersion: 0, editId: `edit-000${edits++}`, dryRun: false, ...partial } as ListEdit)
  return { platform, editor, edit }
}

function describeReply (reply: EditReply): string {
  return reply.kind === 'applied' ? `applied ${reply.version}` : reply.error.name
}

// Guards against an edit that is made twice, or whose outcome is reported wrongly, when replies
// of the store are lost.
const cases: Array<{ readonly faults: WriteFault[], readonly race: boolean, readonly expected: string }> = [
  { faults: ['lost-after'], race: false, expected: 'applied 1' },
  { faults: ['lost-before'], race: false, expected: 'applied 1' },
  { faults: ['lost-before', 'lost-after'], race: false, expected: 'applied 1' },
  { faults: ['lost-before', 'lost-before', 'lost-before'], race: false, expected: 'EditOutcomeUnknown' },
  { faults: ['lost-after'], race: true, expected: 'ListConflict' },
  { faults: ['lost-before'], race: true, expected: 'ListConflict' }
]
for (const { faults, race, expected } of cases) {
  test(`an edit with write faults ${faults.join(', ')}${race ? ' and a competing edit' : ''} gives ${expected}`, async t => {
    const { platform, edit } = await createFixture(t)
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

// Guards against a repeated edit that is refused because of its own first attempt.
test('a repeated edit is reported as applied', async t => {
  const { platform, edit } = await createFixture(t)
  assert.equal(describeReply(await edit({ content: { gold }, editId: 'same-edit' })), 'applied 1')
  assert.equal(describeReply(await edit({ content: { gold }, editId: 'same-edit' })), 'applied 1')
  assert.equal(platform.writeCount, 1)
})

// Guards against an edit that overwrites a competing one, or whose refusal does not report the
// changes.
test('a conflicting edit is refused with the current version and the changes', async t => {
  const { edit } = await createFixture(t)
  await edit({ content: { gold } })
  await edit({ list: 'plans', baseVersion: 1, content: { kalibra: 'gold' } })
  const reply = await edit({ baseVersion: 1, content: { gold: { ...gold, parallel: 9 } } })
  assert.equal(describeReply(reply), 'ListConflict')
  assert.equal(reply.version, 2)
  assert.deepEqual(reply.changes, [{ list: 'plans', name: 'kalibra', before: undefined, after: 'gold' }])
})

// Guards against customers whose plan has no entry in the limits list.
test('an edit that leaves a plan without limits is refused with the path of the field', async t => {
  const { edit } = await createFixture(t)
  await edit({ content: { gold } })
  const wrong = await edit({ list: 'plans', baseVersion: 1, content: { kalibra: 'silver' } })
  assert.deepEqual(wrong.kind === 'refused' && [wrong.error.name, wrong.error.field], ['ListInvalid', 'content.kalibra'])
  await edit({ list: 'plans', baseVersion: 1, content: { kalibra: 'gold' } })
  const emptied = await edit({ baseVersion: 2, content: {} })
  assert.deepEqual(emptied.kind === 'refused' && [emptied.error.name, emptied.error.field], ['ListInvalid', 'content.gold'])
})

// Guards against reporting an unknown outcome for an edit whose write was never sent to the store.
test('while the store is unreachable, an edit is refused and the lists in force are returned', async t => {
  const { platform, editor, edit } = await createFixture(t)
  await edit({ content: { gold } })
  platform.isDown = true
  const reply = await edit({ baseVersion: 1, content: {} })
  assert.equal(describeReply(reply), 'StoreUnavailable')
  assert.equal((await editor.readLists()).version, 1)
})

// Guards against a dry run that writes to the store.
test('a dry run writes nothing', async t => {
  const { platform, edit } = await createFixture(t)
  const reply = await edit({ content: { gold }, dryRun: true })
  assert.deepEqual([reply.kind, reply.version, platform.writeCount], ['applied', 0, 0])
})
