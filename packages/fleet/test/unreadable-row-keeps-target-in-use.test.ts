import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { EventLog, MetadataStore, type RowsReply, type StoreRow, type TargetInfo, TargetList, type WatchReply, type WriteReply } from '../src/index.js'

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

/** A row with this value names no target. */
const odd = '['

function decode (row: StoreRow): TargetInfo | undefined {
  if (row.value === odd) return undefined
  return { id: row.key, address: row.key, service: 's', domain: 'a', draining: false, capacity: { processors: 1, memoryMb: 1, accelerators: 0 }, labels: [], revision: row.revision }
}

interface ListFixture {
  readonly clock: ManualClock
  readonly log: RecordingLog
  readonly list: TargetList
  /** Passes rows with these values, each with a new revision, to the list. */
  readonly write: (values: Readonly<Record<string, string>>) => void
}

function createList (): ListFixture {
  const clock = new ManualClock()
  const log = new RecordingLog()
  const list = new TargetList(new NoStore(), 'targets', decode, clock, log)
  let revision = 0
  const write = (values: Readonly<Record<string, string>>): void => {
    const rows = Object.entries(values).map(([key, value]) => ({ key, value, revision: ++revision }))
    list.onRows(new Map(rows.map(row => [row.key, row])))
  }
  return { clock, log, list, write }
}

function describeTargets (list: TargetList): string {
  return list.listTargets('a').map(({ id, draining }) => `${id}${draining ? ' draining' : ''}`).join()
}

/**
 * An odd row replaces the row of a target in use. Guards against new tasks there, and against a successor that
 * does not ask the target for the runs that it still has.
 */
describe('a target whose row becomes unreadable', () => {
  it('gets no more tasks and stays listed while it may have runs; the others hold', async () => {
    const { clock, list, write } = createList()
    write({ t1: 'good', t2: 'good' })
    write({ t1: odd, t2: 'good' })
    assert.equal(describeTargets(list), 't1 draining,t2')
    await clock.advance(10_000)
    write({ t1: odd, t2: 'good' })
    assert.equal(describeTargets(list), 't1 draining,t2')
    await clock.advance(25_000)
    write({ t1: odd, t2: 'good' })
    assert.equal(describeTargets(list), 't2')
    list.close()
  })

  it('is used again once its row is readable', async () => {
    const { clock, list, write } = createList()
    write({ t1: 'good' })
    write({ t1: odd })
    await clock.advance(1_000)
    write({ t1: 'good' })
    assert.equal(describeTargets(list), 't1')
    list.close()
  })

  it('is logged once, also when it is readable in between', () => {
    const { list, log, write } = createList()
    for (let count = 0; count < 50; count++) {
      write({ t1: odd, t2: odd })
      write({ t1: 'good', t2: odd })
    }
    assert.equal(log.events.filter(event => event === 'target-row-unreadable').length, 2)
    list.close()
  })

  it('leaves nothing behind when its row is gone', async () => {
    const { clock, list, write } = createList()
    write({ t1: 'good' })
    write({ t1: odd })
    write({})
    await clock.advance(3_000)
    write({})
    assert.equal(describeTargets(list), '')
    list.close()
  })
})
