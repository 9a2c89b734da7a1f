import assert from 'node:assert/strict'
import { test } from 'node:test'
import { type History } from '../src/history-records.js'
import { checkExpectations, type ScenarioState } from '../src/scenario-expectations.js'
import { type Expectations } from '../src/scenario-schema.js'

const record = { job: 'j', key: 'gent.0.abcdefgh.0', customer: 'kalibra', repeatable: false, marked: false, tags: ['j#0', 'j#1'] }

const demand = { processors: 1_000, memoryMb: 100, accelerators: 0 }

const history: History = {
  jobs: [record],
  calls: [
    { op: 'submit', sentAt: 0, at: 10, via: 'gent.0#1', job: 'j', reply: { kind: 'answered', status: 503, body: { name: 'QueueFull' } } },
    { op: 'edit', sentAt: 0, at: 10, via: 'gent.0#1', reply: { kind: 'answered', status: 200, body: { version: 2 } } },
    { op: 'edit', sentAt: 0, at: 10, via: 'gent.0#1', reply: { kind: 'answered', status: 409, body: {} } }
  ],
  starts: record.tags.map(tag => ({ at: 100, target: 't1', id: tag, tag, customer: 'kalibra', demand, endedAt: 200, outcome: 'succeeded' })),
  leaving: [],
  configurations: [],
  stops: [],
  faults: []
}

const state: ScenarioState = {
  groups: new Map([['a', [{ job: { record, body: {} }, submittedAt: 0, standing: 'complete', answeredAt: 300 }]]]),
  history,
  marks: new Map([['before', 50], ['after', 150]]),
  lastExitCode: 0
}

const satisfied: Expectations = {
  group: 'a',
  complete: { equals: 1 },
  failed: { atMost: 0 },
  codes: { QueueFull: { equals: 1 } },
  starts: { atLeast: 2, atMost: 2 },
  startsPerTask: { equals: 1 },
  answeredWithinMs: 300,
  edits: { equals: 1 },
  exitCode: 0,
  shareAt: { target: 't1', since: 'before', atMost: 1 },
  startsAt: { target: 't1', since: 'after', equals: 0 },
  parallel: { customer: 'kalibra', equals: 2 }
}

const unsatisfied: ReadonlyArray<readonly [expectations: Expectations, problem: RegExp]> = [
  [{ complete: { equals: 0 } }, /complete jobs: 1, expected 0/],
  [{ unknown: { atLeast: 1 } }, /unknown jobs: 0, expected at least 1/],
  [{ group: 'b', complete: { equals: 1 } }, /group b: complete jobs: 0/],
  [{ codes: { QueueFull: { atMost: 0 } } }, /answered with QueueFull: 1, expected at most 0/],
  [{ starts: { equals: 3 } }, /task starts: 2, expected 3/],
  [{ startsPerTask: { atLeast: 2 } }, /starts of one task: 1/],
  [{ answeredWithinMs: 299 }, /slowest answer in ms: 300/],
  [{ edits: { equals: 2 } }, /accepted edits: 1/],
  [{ exitCode: 1 }, /exit code of the planned stop is 0, expected 1/],
  [{ shareAt: { target: 't1', since: 'before', atMost: 0.9 } }, /share of the starts at t1 since before: 1/],
  [{ shareAt: { target: 't1', since: 'after', atMost: 1 } }, /no starts since after/],
  [{ startsAt: { target: 't1', since: 'before', equals: 0 } }, /starts at t1 since before: 2/],
  [{ parallel: { customer: 'kalibra', atMost: 1 } }, /most parallel tasks of kalibra: 2/]
]

// Guards against expectations that fail for a run that satisfies them.
test('expectations that hold give no problem', () => {
  assert.deepEqual(checkExpectations(satisfied, state), [])
})

// Guards against expectations that no run can fail, which would let every scenario pass.
for (const [expectations, problem] of unsatisfied) {
  test(`an unsatisfied expectation is reported: ${JSON.stringify(expectations)}`, () => {
    const problems = checkExpectations(expectations, state)
    assert.ok(problems.some(text => problem.test(text)), JSON.stringify(problems))
  })
}

// Guards against a misspelled mark that silently selects the whole run.
test('an unknown mark is an error', () => {
  assert.throws(() => checkExpectations({ startsAt: { target: 't1', since: 'never', equals: 0 } }, state), /no mark "never"/)
})
