import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { MetadataStore, NoopLog, type RowsReply, type StoreRow, type TargetInfo, TargetList, type WatchReply, type WriteReply } from '../src/index.js'

/** Targets of a large deployment, each of which writes its row again at this interval in milliseconds. */
const targetCount = 400
const rowIntervalMs = 1_500

/** A store with the rows of the targets; it counts the rows that it sends. */
class BusyStore extends MetadataStore {
  sentRows = 0
  readonly #clock: ManualClock

  constructor (clock: ManualClock) {
    super()
    this.#clock = clock
  }

  override async list (): Promise<RowsReply> {
    this.sentRows += targetCount
    return { kind: 'rows', rows: this.#listRows(), revision: this.#readRevision() }
  }

  override async watch (table: string, after: number, waitMs: number): Promise<WatchReply> {
    await new Promise<void>(resolve => { this.#clock.startTimer(Math.min(waitMs, 5), resolve) })
    const changed = this.#listRows().filter(row => row.revision > after)
    this.sentRows += changed.length
    return { kind: 'changes', changes: changed.map(row => ({ ...row, deleted: false })), revision: this.#readRevision() }
  }

  override async read (): Promise<RowsReply> { return { kind: 'unavailable', message: 'not used' } }
  override async write (): Promise<WriteReply> { return { kind: 'conflict' } }

  /** Rows are written one after the other. */
  #readRevision (): number {
    return targetCount + Math.floor(this.#clock.now() / rowIntervalMs * targetCount)
  }

  #listRows (): StoreRow[] {
    const newest = this.#readRevision()
    return Array.from({ length: targetCount }, (_, index) => ({ key: `t${index}`, value: '{}', revision: newest - (newest - index) % targetCount }))
  }
}

/** @returns the rows that one instance reads in a second, and those that it decodes */
async function measureReads (isFollowing: boolean): Promise<{ readonly read: number, readonly decoded: number }> {
  const clock = new ManualClock()
  const store = new BusyStore(clock)
  let decoded = 0
  const decode = (row: StoreRow): TargetInfo => {
    decoded++
    return { id: row.key, address: row.key, service: 's', domain: 'a', draining: false, capacity: { processors: 1, memoryMb: 1, accelerators: 0 }, labels: [], revision: row.revision }
  }
  const list = new TargetList(store, 'targets', decode, clock, new NoopLog(), () => 0.5)
  list.start()
  list.setFollowing(isFollowing)
  await clock.advance(100_000)
  list.close()
  return { read: store.sentRows / 100, decoded: decoded / 100 }
}

/**
 * On a large deployment hundreds of targets write their rows every second. Guards against each instance
 * reading and decoding all of them: the cost of the fleet then grows with instances times targets.
 */
describe('an instance that does not dispatch', () => {
  it('reads the list of targets rarely', async () => {
    const { read } = await measureReads(false)
    assert.ok(read <= targetCount / 10 + 5, `${read} rows a second`)
  })

  it('decodes only changed rows when it follows the list', async () => {
    const { decoded } = await measureReads(true)
    // Each target writes its row every 1.5 s.
    assert.ok(decoded <= targetCount / (rowIntervalMs / 1_000) * 1.1, `${decoded} rows a second`)
  })
})
