import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { type MetadataStore, NoopLog, type StoreRow, type TargetInfo, TargetList } from '../src/index.js'

const info: TargetInfo = { id: 't', address: 't', service: 's', domain: 'a', draining: false, capacity: { processors: 32_000, memoryMb: 100, accelerators: 0 }, labels: [], revision: 1 }

function createRows (...targets: readonly TargetInfo[]): ReadonlyMap<string, StoreRow> {
  return new Map(targets.map(target => [target.id, { key: target.id, value: JSON.stringify(target), revision: target.revision }]))
}

/**
 * The entry of a draining target also disappears when the target is cut off from the store, and its
 * runs live on for up to a lease after that. Guards against a successor that starts their tasks again
 * because every target that is still listed has answered.
 */
describe('the list of targets', () => {
  it('is not complete directly after a draining target has disappeared, as its runs may exist', async () => {
    const clock = new ManualClock()
    const list = new TargetList({} as unknown as MetadataStore, 'targets', row => JSON.parse(row.value!) as TargetInfo, clock, new NoopLog())
    const other = { ...info, id: 'u' }
    list.setFollowing(true)
    list.onRows(createRows(info, other))
    await clock.advance(40_000)
    list.onRows(createRows({ ...info, draining: true, revision: 2 }, other))
    await clock.advance(500)
    assert.equal(list.isComplete('a'), true)
    list.onRows(createRows(other))
    await clock.advance(100)
    const isComplete = list.isComplete('a')
    list.close()
    assert.equal(isComplete, false)
  })
})
