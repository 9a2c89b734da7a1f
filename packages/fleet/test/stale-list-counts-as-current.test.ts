import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { MetadataStore, NoopLog, type RowsReply, TableObserver, TableWatch, type WatchReply, type WriteReply } from '../src/index.js'

/** A store whose lists have the revision that the test sets, and whose watch calls fail. */
class LaggingStore extends MetadataStore {
  revision = 10
  listCount = 0

  override async list (): Promise<RowsReply> {
    this.listCount++
    return { kind: 'rows', rows: [], revision: this.revision }
  }

  override async read (): Promise<RowsReply> { return { kind: 'unavailable', message: 'down' } }
  override async watch (): Promise<WatchReply> { return { kind: 'unavailable', message: 'down' } }
  override async write (): Promise<WriteReply> { return { kind: 'conflict' } }
}

class SilentObserver extends TableObserver {
  override onRows (): void {}
}

/**
 * A list reply that is older than the known revision is not applied. Guards against counting the copy
 * as current because of it: a successor would trust a list that lacks a target of its predecessor.
 */
describe('a copy of a table', () => {
  it('does not become current by a list reply that is older than the copy', async () => {
    const clock = new ManualClock()
    const store = new LaggingStore()
    const watch = new TableWatch(store, 'targets', { relistIntervalMs: 1_000, batchingPauseMs: 0, random: () => 0.5 }, clock, new NoopLog(), new SilentObserver())
    watch.start()
    await clock.advance(10)
    assert.equal(store.listCount, 1)
    store.revision = 8
    await clock.advance(5_000)
    const ageMs = watch.measureAge()
    watch.close()
    assert.ok(store.listCount > 1)
    assert.ok(ageMs >= 5_000, `${ageMs} ms after ${store.listCount - 1} outdated replies`)
  })
})
