import assert from 'node:assert/strict'
import { test } from 'node:test'
import { buildHistory } from '../src/history-builder.js'

const demand = { processors: 1_000, memoryMb: 100, accelerators: 0 }
const lists = { version: 1, editId: 'e', plans: {}, limits: {} }

// Guards against starts without an end that hide overlaps, and against ends of a killed target that
// are taken for tasks that run forever.
test('a history joins starts, ends, kills, lists and stops', () => {
  const start = { kind: 'start', target: 't1', boot: 'b', customer: 'c', demand }
  const history = buildHistory({
    jobs: [],
    calls: [],
    faults: [],
    processes: [
      { at: 50, process: 't1', event: 'killed' },
      { at: 60, process: 'gent.0#1', event: 'stop-begun' },
      { at: 70, process: 'gent.0#1', event: 'stopped', exitCode: 0 }
    ],
    records: [
      { at: 10, ...start, id: 'k/0/1', tag: 'j#0' },
      { at: 20, kind: 'end', target: 't1', boot: 'b', id: 'k/0/1', outcome: 'succeeded' },
      { at: 30, ...start, id: 'k/0/1', tag: 'j#0' },
      { at: 40, ...start, target: 't2', id: 'k/1/1', tag: 'j#1' },
      { at: 45, kind: 'list-served', visibleAt: 44, leaving: ['t2'] },
      { at: 55, kind: 'list-served', visibleAt: 54, leaving: ['t2', 't3'] },
      { at: 5, kind: 'write', rows: [{ table: 'seats', key: 'gent.0', value: {} }, { table: 'configuration', key: 'current', value: lists }] }
    ]
  })
  assert.deepEqual(history.starts.map(({ tag, at, endedAt, outcome }) => [tag, at, endedAt, outcome]), [
    ['j#0', 10, 20, 'succeeded'], ['j#0', 30, 50, 'none'], ['j#1', 40, Infinity, 'none']
  ])
  assert.deepEqual(history.leaving, [{ target: 't2', visibleAt: 44 }, { target: 't3', visibleAt: 54 }])
  assert.deepEqual(history.configurations, [{ at: 5, ...lists }])
  assert.deepEqual(history.stops, [{ process: 'gent.0#1', begunAt: 60, endedAt: 70, exitCode: 0 }])
})
