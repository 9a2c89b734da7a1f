import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { Directory, directoryTable, EventLog, MetadataStore, type RowsReply, type StoreRow, type WatchReply, type WriteReply } from '../src/index.js'

class RecordingLog extends EventLog {
  readonly events: string[] = []
  override log (category: string, event: string): void { this.events.push(event) }
}

class NoStore extends MetadataStore {
  override async list (): Promise<RowsReply> { return { kind: 'unavailable', message: 'not used' } }
  override async watch (): Promise<WatchReply> { return { kind: 'unavailable', message: 'not used' } }
  override async read (): Promise<RowsReply> { return { kind: 'unavailable', message: 'not used' } }
  override async write (): Promise<WriteReply> { return { kind: 'conflict' } }
}

const instance = { instance: 'a-1', incarnation: 'a-1/1', domain: 'a', address: '127.0.0.1:7720', power: 2, startedMs: 1_000 }
const dispatcher = { domain: 'a', instance: 'a-1', incarnation: 'a-1/1', address: '127.0.0.1:7720', successors: [{ ...instance, instance: 'a-2', incarnation: 'a-2/1' }] }

const log = new RecordingLog()

/** @returns a directory that has read the rows, with the given values by their keys; later ones have higher revisions */
function readDirectory (values: Readonly<Record<string, unknown>>): Directory {
  const directory = new Directory(new NoStore(), new ManualClock(), log)
  directory.onRows(buildRows(values), 100)
  return directory
}

function buildRows (values: Readonly<Record<string, unknown>>, firstRevision = 1): ReadonlyMap<string, StoreRow> {
  const rows = Object.entries(values).map(([key, value], index) => ({ key, value: typeof value === 'string' ? value : JSON.stringify(value), revision: firstRevision + index }))
  return new Map(rows.map(row => [row.key, row]))
}

/**
 * Guards against odd entries among those of the instances and dispatchers: a successor that is no object made every
 * observer throw, and a row under another's key took the place of a dispatcher or of an instance.
 */
describe(`the table ${directoryTable}`, () => {
  it('leaves out successors that are not instances', () => {
    const odd = [null, 7, 'a-3', [], {}, { ...instance, power: 'much' }, { ...instance, address: undefined }]
    const directory = readDirectory({ 'dispatcher/a': { ...dispatcher, successors: [...odd, ...dispatcher.successors] } })
    assert.deepEqual(directory.findDispatcher('a')?.successors, dispatcher.successors)
  })

  it('keeps the dispatcher of a domain when the row of another key names the domain', () => {
    const directory = readDirectory({ 'dispatcher/a': dispatcher, 'dispatcher/z': { ...dispatcher, incarnation: 'odd' } })
    assert.equal(directory.findDispatcher('a')?.incarnation, 'a-1/1')
    assert.equal(directory.findDispatcher('z'), undefined)
  })

  it('keeps the entry of an instance when the row of another key names the instance', () => {
    const directory = readDirectory({ 'instance/a-1': instance, 'instance/z': { ...instance, incarnation: 'odd' } })
    assert.deepEqual(directory.listInstances(), [instance])
  })

  it('leaves out rows with fields that are missing, of another type or not finite', () => {
    const fields = ['instance', 'incarnation', 'domain', 'address', 'power', 'startedMs'] as const
    for (const field of fields) {
      for (const value of [undefined, null, {}, [], true, -1]) {
        const directory = readDirectory({ 'instance/a-1': { ...instance, [field]: value } })
        if (field !== 'startedMs' || value !== -1) assert.deepEqual(directory.listInstances(), [], `${field}: ${String(value)}`)
      }
    }
    const infinite = readDirectory({ 'instance/a-1': JSON.stringify(instance).replace('"power":2', '"power":1e999') })
    assert.deepEqual(infinite.listInstances(), [])
    const values = ['null', '[]', '7', '\u0000', '['.repeat(60_000), `{"a":${'['.repeat(30_000)}${']'.repeat(30_000)}}`]
    for (const value of values) {
      const directory = readDirectory({ 'instance/a-1': value, 'dispatcher/a': value })
      assert.deepEqual(directory.listInstances(), [])
      assert.equal(directory.findDispatcher('a'), undefined)
    }
  })

  it('is parsed only where it has changed', () => {
    let readCount = 0
    const odd = { key: 'instance/odd', revision: 1, get value () { readCount++; return '[' } }
    const rows = new Map<string, StoreRow>([[odd.key, odd]])
    const directory = new Directory(new NoStore(), new ManualClock(), log)
    directory.onRows(rows, 1)
    const readsOfOneParse = readCount
    for (let revision = 2; revision < 50; revision++) {
      rows.set('instance/a-1', { key: 'instance/a-1', value: JSON.stringify(instance), revision })
      directory.onRows(rows, revision)
    }
    assert.deepEqual(directory.listInstances(), [instance])
    assert.equal(readCount, readsOfOneParse)
  })

  it('leaves out a row that is far too long', () => {
    const directory = readDirectory({ 'instance/a-1': { ...instance, later: 'x'.repeat(60_000) } })
    assert.deepEqual(directory.listInstances(), [])
  })

  it('logs an unreadable row once, however often it is written again', () => {
    log.events.length = 0
    const directory = readDirectory({ 'instance/a-1': '[' })
    for (let revision = 2; revision < 50; revision++) directory.onRows(buildRows({ 'instance/a-1': `[${revision}` }, revision), revision)
    assert.equal(log.events.filter(event => event === 'directory-row-unreadable').length, 1)
  })
})
