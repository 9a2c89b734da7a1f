import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkHistory } from '../src/history-checker.js'
import { type CallRecord, type History, type StartRecord } from '../src/history-records.js'

const demand = { processors: 1_000, memoryMb: 100, accelerators: 0 }
const limit = { processors: 2_000, memoryMb: 200, accelerators: 0, parallel: 2 }
const key = 'gent.0.abcdefgh.0'
const lists = { plans: { kalibra: 'standard' }, limits: { standard: limit } }

function createStart (tag: string, at: number, endedAt: number, change: Partial<StartRecord> = {}): StartRecord {
  return { at, endedAt, target: 't1', id: `${key}/${tag}/1`, tag, customer: 'kalibra', demand, outcome: 'succeeded', ...change }
}

function createCall (op: CallRecord['op'], sentAt: number, body: unknown, change: Partial<CallRecord> = {}, status = 200): CallRecord {
  return { op, sentAt, at: sentAt + 10, via: 'gent.0#1', job: 'j', reply: { kind: 'answered', status, body }, ...change }
}

const complete = { state: 'complete', key, results: ['j#0', 'j#1'] }

/** A correct history: one job of two tasks, both lists set, one leaving target, one planned stop. */
const good: History = {
  jobs: [{ job: 'j', key, customer: 'kalibra', repeatable: false, marked: true, tags: ['j#0', 'j#1'] }],
  calls: [
    createCall('submit', 1_000, { state: 'running', key, done: 0, total: 2 }, {}, 202),
    createCall('fetch', 2_000, complete),
    createCall('read-lists', 20_000, { version: 1, ...lists }, { job: undefined })
  ],
  starts: [createStart('j#0', 1_100, 1_500), createStart('j#1', 1_100, 1_500)],
  leaving: [{ target: 't9', visibleAt: 5_000 }],
  configurations: [{ at: 100, version: 1, editId: 'e1', ...lists }],
  stops: [{ process: 'gent.1#2', begunAt: 3_000, endedAt: 4_000, exitCode: 0 }],
  faults: []
}

const repeatable: History = { ...good, jobs: [{ ...good.jobs[0]!, repeatable: true, marked: false }] }

const notRun = { error: { code: 202, name: 'QueueFull', notRun: true } }

const broken = { kind: 'reset', message: 'other side closed' } as const

const lowered = { standard: { ...limit, parallel: 1 } }

function withCalls (...calls: readonly CallRecord[]): History {
  return { ...good, calls: [...good.calls, ...calls] }
}

/** Hand-made bad histories, each with the invariant that it violates and a part of the message. */
const bad: ReadonlyArray<readonly [name: string, invariant: string, message: RegExp, history: History]> = [
  ['a task that started twice', 'I1', /started 2 times/, { ...good, starts: [...good.starts, createStart('j#0', 1_600, 1_700)] }],
  ['a second start under another key of the dispatcher', 'I1', /started 2 times/, { ...good, starts: [...good.starts, createStart('j#0', 9_000, 9_100, { id: 'gent.1.zzzzzzzz.4/0/1' })] }],
  ['a start that nobody asked for', 'I1', /no caller submitted/, { ...good, starts: [...good.starts, createStart('other#0', 1_600, 1_700)] }],
  ['a marked task that started twice', 'I5', /marked as non-idempotent/, { ...good, starts: [...good.starts, createStart('j#1', 1_600, 1_700)] }],
  ['two live attempts of a repeatable task', 'I1', /alive at once/, { ...repeatable, starts: [...good.starts, createStart('j#0', 1_499, 1_700)] }],
  ['an attempt beside one that never ended', 'I1', /alive at once/, { ...repeatable, starts: [createStart('j#1', 1_100, 1_500), createStart('j#0', 1_100, Infinity, { outcome: 'none' }), createStart('j#0', 1_700, 1_800)] }],
  ['too many attempts', 'I1', /had 4 attempts/, { ...repeatable, starts: [...good.starts, ...[2_000, 3_000, 4_000].map(at => createStart('j#0', at, at + 100))] }],
  ['a partial answer', 'I2', /1 results of 2/, withCalls(createCall('fetch', 2_500, { ...complete, results: ['j#0'] }))],
  ['an answer with a hole', 'I2', /without result 1/, withCalls(createCall('fetch', 2_500, { ...complete, results: ['j#0', null] }))],
  ['a failed answer with results', 'I2', /carries results/, { ...good, calls: [createCall('fetch', 2_500, { state: 'failed', key, failure: { code: 400 }, results: ['j#0'] })] }],
  ['a failed answer without a reason', 'I2', /without a failure/, { ...good, calls: [createCall('fetch', 2_500, { state: 'failed', key })] }],
  ['a complete answer before the work was done', 'I2', /had not succeeded/, withCalls(createCall('submit', 1_200, complete))],
  ['a complete answer for a task that failed', 'I2', /had not succeeded/, { ...good, starts: [good.starts[0]!, createStart('j#1', 1_100, 1_500, { outcome: 'failed' })] }],
  ['results of another caller', 'I3', /instead of j#0/, withCalls(createCall('fetch', 2_500, { ...complete, results: ['k#0', 'j#1'] }))],
  ['swapped results', 'I3', /instead of j#0/, withCalls(createCall('fetch', 2_500, { ...complete, results: ['j#1', 'j#0'] }))],
  ['the answer to another key', 'I3', /has key/, withCalls(createCall('fetch', 2_500, { ...complete, key: 'gent.0.abcdefgh.1' }))],
  ['an answer that changed', 'I3', /an earlier one was complete/, withCalls(createCall('fetch', 2_500, { state: 'failed', key, failure: { code: 403 } }))],
  ['"not run" for a job that ran', 'I4', /rejected by gent.0#1 as not run/, { ...good, calls: [createCall('submit', 1_000, notRun, {}, 503)] }],
  ['"not run" for a resubmission of a job that ran', 'I4', /rejected by gent.0#1 as not run/, withCalls(createCall('submit', 3_000, notRun, {}, 503))],
  ['"not run" in a bare error', 'I4', /rejected by gent.0#1 as not run/, { ...good, calls: [createCall('submit', 1_000, notRun.error, {}, 503)] }],
  ['a start at a leaving target', 'I6', /leaving target t9/, { ...good, starts: [...good.starts.slice(1), createStart('j#0', 8_001, 8_100, { target: 't9' })] }],
  ['a late start after a cut ended', 'I6', /leaving target t9/, { ...good, faults: [{ kind: 'cut', from: 4_000, to: 9_000, hidesList: true, hidesConfiguration: true }], starts: [...good.starts.slice(1), createStart('j#0', 12_001, 12_100, { target: 't9' })] }],
  ['a planned stop that had to be killed', 'I7', /exit code null/, { ...good, stops: [{ ...good.stops[0]!, exitCode: null }] }],
  ['a request that a planned stop cut off', 'I7', /cut off a submit/, withCalls(createCall('submit', 2_900, undefined, { via: 'gent.1#2', at: 3_500, reply: broken }))],
  ['a version that fell', 'I8', /reverted from version 1 to 0/, withCalls(createCall('read-lists', 21_000, { version: 0, plans: {}, limits: {} }, { job: undefined }))],
  ['an instance that applies an older version than it did', 'I8', /reverted from version 1 to 0/, withCalls(createCall('read-lists', 21_000, { version: 1, inForce: 0, ...lists }, { job: undefined }))],
  ['one version with two contents', 'I8', /another content/, withCalls(createCall('read-lists', 21_000, { version: 1, ...lists, limits: lowered }, { job: undefined }))],
  ['a version that is in force too late', 'I8', /still applies version 1/, { ...good, configurations: [...good.configurations, { at: 14_000, version: 2, editId: 'e2', ...lists, limits: lowered }] }],
  ['an edit that reverted the other list', 'I8', /reverted the other/, { ...good, configurations: [...good.configurations, { at: 19_000, version: 2, editId: 'e2', plans: { guild: 'standard' }, limits: lowered }] }],
  ['a version that was written twice', 'I8', /after version 1/, { ...good, configurations: [...good.configurations, { at: 19_000, version: 1, editId: 'e2', ...lists }] }],
  ['an accepted edit that was never committed', 'I8', /had not committed/, withCalls(createCall('edit', 21_000, { version: 2 }, { job: undefined }))],
  ...(['processors', 'memoryMb', 'accelerators'] as const).map(name => [
    `use above the plan in ${name}`, 'I9', /its plan allows/, { ...good, starts: [createStart('j#0', 1_100, 1_500, { demand: { ...demand, [name]: 1_900 } }), createStart('j#1', 1_499, 1_600)] }
  ] as const),
  ['use above the plan in parallel tasks', 'I9', /its plan allows/, { ...good, jobs: [{ ...good.jobs[0]!, tags: ['j#0', 'j#1', 'j#2'] }], starts: [0, 1, 2].map(i => createStart(`j#${i}`, 1_100 + i, 1_500, { demand: { processors: 0, memoryMb: 0, accelerators: 0 } })) }],
  ['use by a customer without a plan', 'I9', /guild used/, { ...good, starts: [...good.starts.slice(1), createStart('j#0', 1_100, 1_200, { customer: 'guild' })] }],
  ['use above a lowered limit that is in force', 'I9', /"parallel":1\}/, { ...good, configurations: [...good.configurations, { at: 10_000, version: 2, editId: 'e2', ...lists, limits: lowered }], starts: [createStart('j#0', 26_001, 27_000), createStart('j#1', 26_500, 27_000)] }]
]

// Guards against a checker that flags correct histories, which would hide real violations among false ones.
test('a correct history has no violation', () => {
  assert.deepEqual(checkHistory(good), [])
  assert.deepEqual(checkHistory({ ...repeatable, starts: [...good.starts, createStart('j#0', 1_500, 1_700)] }), [])
  const unknown = createCall('submit', 900, undefined, { reply: { kind: 'timeout', message: '' } })
  assert.deepEqual(checkHistory(withCalls(createCall('submit', 950, notRun, {}, 503), unknown)), [])
  const cut = { kind: 'cut', from: 4_000, to: 9_000, hidesList: true, hidesConfiguration: true }
  assert.deepEqual(checkHistory({ ...good, faults: [cut], starts: [...good.starts.slice(1), createStart('j#0', 11_999, 12_100, { target: 't9' })], calls: [] }), [])
  const newer = { at: 10_000, version: 2, editId: 'e2', ...lists, limits: lowered }
  assert.deepEqual(checkHistory({ ...good, calls: [], configurations: [...good.configurations, newer], starts: [createStart('j#0', 24_000, 25_999), createStart('j#1', 25_000, 25_999)] }), [])
})

// Guards against a checker that misses a violation: every run of the history would then look correct.
for (const [name, invariant, message, history] of bad) {
  test(`the checker flags ${name}`, () => {
    const found = checkHistory(history)
    assert.ok(found.some(violation => violation.invariant === invariant && message.test(violation.message)), JSON.stringify(found))
  })
}
