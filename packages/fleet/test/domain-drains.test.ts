import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { decideStartRule, DomainDrains, EventLog } from '../src/index.js'

const drainBoundMs = 5_000

class RecordingLog extends EventLog {
  readonly events: string[] = []
  override log (_category: string, event: string): void { this.events.push(event) }
}

function create (instance = 'i', isEnabled = true): { readonly clock: ManualClock, readonly log: RecordingLog, readonly drains: DomainDrains } {
  const clock = new ManualClock()
  const log = new RecordingLog()
  return { clock, log, drains: new DomainDrains({ instance, domains: ['a', 'b'], drainBoundMs: isEnabled ? drainBoundMs : undefined, clock, log }) }
}

function createRow (domain: string, revision: number): { readonly key: string, readonly domain: string, readonly revision: number } {
  return { key: `drain/${domain}`, domain, revision }
}

describe('state of the drains', () => {
  // Guards against an older list, or one of a peer that the store refuses, that withdraws a drain.
  it('keeps a drain until newer evidence shows its removal', () => {
    const { drains } = create()
    drains.applyList([], 10, 0)
    drains.applyChanges([{ ...createRow('a', 12), deleted: false }])
    assert.equal(drains.isDrained('a'), true)
    drains.applyList([], 11, 0)
    drains.receive({ drains: { listRevision: 10, entries: [] } }, 'peer')
    assert.equal(drains.isDrained('a'), true)
    drains.applyChanges([{ ...createRow('a', 13), deleted: true }])
    assert.equal(drains.isDrained('a'), false)
    drains.receive({ drains: { listRevision: 12, entries: [{ domain: 'a', isDrained: true, rowRevision: 12, seenRevision: 12 }] } }, 'peer')
    assert.equal(drains.isDrained('a'), false, 'the peer has not seen the removal')
  })

  // Guards against the first of several changes of a row being taken for the newest.
  it('goes by the newest of several changes in one reply of a watch', () => {
    const { drains } = create()
    drains.applyChanges([{ ...createRow('a', 5), deleted: false }, { ...createRow('a', 6), deleted: true }])
    assert.equal(drains.isDrained('a'), false)
    drains.applyChanges([{ ...createRow('a', 7), deleted: true }, { ...createRow('a', 8), deleted: false }])
    assert.equal(drains.isDrained('a'), true)
  })

  // A watch reply has a higher revision although it missed the row, so only lists may count as complete.
  it('does not let the changes of another domain withdraw a drain', () => {
    const { drains } = create()
    drains.applyList([createRow('a', 5)], 10, 0)
    const other = create('other').drains
    other.applyList([], 4, 0)
    other.applyChanges([{ ...createRow('b', 20), deleted: false }])
    drains.receive(other.describe(), 'other')
    assert.deepEqual([drains.isDrained('a'), drains.isDrained('b')], [true, true])
    other.receive(drains.describe(), 'i')
    assert.deepEqual([other.isDrained('a'), other.isDrained('b')], [true, true])
  })

  it('learns a drain and its withdrawal from a peer, and keeps no more than the domains of the settings', () => {
    const { drains, log } = create()
    drains.receive({ drains: { listRevision: 7, entries: ['a', 'x', 'y'].map(domain => ({ domain, isDrained: true, rowRevision: 6, seenRevision: 7 })) } }, 'peer')
    assert.equal(drains.isDrained('a'), true)
    assert.deepEqual(drains.describe().drains?.entries.map(entry => entry.domain), ['a'])
    drains.receive({ drains: { listRevision: 9, entries: [] } }, 'peer')
    assert.deepEqual(drains.describe().drains?.entries, [])
    assert.deepEqual(log.events, ['domain-drain-begins', 'domain-drain-ends'])
  })

  // The bound counts from the request for the list: the reply may have waited while the process was paused.
  it('knows when it requested its newest list without the drain, and learns that from no peer', () => {
    const { clock, drains } = create()
    const now = clock.readElapsed()
    drains.applyList([], 1, now)
    drains.applyList([], 2, now + 400)
    drains.applyList([createRow('a', 3)], 3, now + 900)
    drains.receive({ drains: { listRevision: 9, readMsAgo: 0, entries: [] } }, 'peer')
    assert.equal(drains.getAbsentAt('a'), now + 400)
    assert.equal(drains.getAbsentAt('b'), now + 900)
  })

  it('logs a row without effect once for its revision', () => {
    const { drains, log } = create()
    const bad = { ...createRow('a', 3), problem: 'the value is not a JSON object' }
    for (let count = 0; count < 3; count++) drains.applyList([bad, createRow('elsewhere', 2)], 3 + count, 0)
    drains.applyChanges([{ ...bad, deleted: false }])
    assert.deepEqual(log.events, ['drain-ignored', 'drain-ignored'])
    assert.deepEqual(drains.listIgnored().map(row => row.reason), ['the value is not a JSON object', 'unknown domain'])
    assert.equal(drains.isDrained('a'), false)
    drains.applyList([createRow('a', 9)], 9, 0)
    assert.deepEqual([drains.isDrained('a'), drains.listIgnored()], [true, []])
    drains.applyChanges([{ ...bad, revision: 10, deleted: false }])
    assert.equal(drains.isDrained('a'), false, 'the newest revision of the row counts')
  })

  it('has no effect and sends nothing without the setting', () => {
    const { drains, log } = create('i', false)
    drains.applyList([createRow('a', 3)], 3, 0)
    drains.receive({ drains: { listRevision: 9, entries: [{ domain: 'a', isDrained: true, rowRevision: 9, seenRevision: 9 }] } }, 'peer')
    assert.deepEqual([drains.isDrained('a'), drains.describe(), log.events], [false, {}, ['drain-ignored']])
  })

  // A peer that the store refuses may lack a request that is due already.
  it('counts a peer only if its own list is recent, and its message too', () => {
    const { drains, clock } = create()
    const now = clock.readElapsed()
    drains.receive({ drains: { listRevision: 1, entries: [] } }, 'peer', now)
    drains.receive({ drains: { listRevision: 1, readMsAgo: 4_500, entries: [] } }, 'peer', now)
    drains.receive({ drains: { listRevision: 1, readMsAgo: 3_500, entries: [] } }, 'peer', now - 1)
    drains.receive({ drains: { listRevision: 1, readMsAgo: 3_500, entries: [] } }, 'peer')
    assert.equal(drains.hasStateSince(now), false)
    drains.receive({ drains: { listRevision: 1, readMsAgo: 3_500, entries: [] } }, 'peer', now)
    assert.equal(drains.hasStateSince(now), true)
  })
})

describe('starts in a drained domain', () => {
  const inputs = { isDrained: true, beganDrained: false, absentAt: 1_000, now: 4_999, drainBoundMs, marginMs: 1_000 }

  it('are those of started jobs until a second before the bound', () => {
    assert.deepEqual(decideStartRule({ ...inputs, isDrained: false }), { kind: 'all' })
    assert.deepEqual(decideStartRule(inputs), { kind: 'started-jobs', untilElapsed: 5_000 })
    assert.deepEqual(decideStartRule({ ...inputs, now: 5_000 }), { kind: 'none' })
    assert.deepEqual(decideStartRule({ ...inputs, beganDrained: true }), { kind: 'none' })
    assert.deepEqual(decideStartRule({ ...inputs, absentAt: -Infinity }), { kind: 'none' })
  })
})
