import { test } from 'node:test'
import assert from 'node:assert/strict'
import fc from 'fast-check'
import { type Command, LedgerWorld, type WorldOptions } from './ledger-world.js'

const correct: WorldOptions = { marginMs: 200, countFromArrival: false, skipQuarantine: false }

// Frequent: what moves units. Rare: faults that empty the ledgers.
const action = fc.oneof(
  { weight: 20, arbitrary: fc.constantFrom('start', 'deliver') },
  { weight: 16, arbitrary: fc.constantFrom('borrow', 'advance', 'renew', 'finish') },
  { weight: 4, arbitrary: fc.constantFrom('jump', 'return') },
  { weight: 2, arbitrary: fc.constantFrom('drop', 'pause', 'crash', 'limit') }
) as fc.Arbitrary<Command[0]>
const command: fc.Arbitrary<Command> = fc.tuple(action, fc.nat(3), fc.nat(60), fc.nat(60))
// Two clocks differ by up to 1.2%, below the margin of 200 ms in 14 s.
const rates = fc.array(fc.constantFrom(0.994, 1, 1.006), { minLength: 2, maxLength: 4 })

let startsOnLoans = 0

function runWorld (options: WorldOptions, runs: number, seed: number): { failed: boolean, report: string | undefined } {
  const details = fc.check(fc.property(rates, fc.integer({ min: 2, max: 12 }), fc.array(command, { minLength: 50, maxLength: 200, size: 'max' }), (seatRates, limit, commands) => {
    const world = new LedgerWorld(options, seatRates, limit)
    for (const next of commands) {
      world.run(next)
      world.check()
    }
    startsOnLoans += world.startsOnLoans
  }), { numRuns: runs, seed, endOnFailure: true })
  return { failed: details.failed, report: fc.defaultReportMessage(details) }
}

// Guards against any order of lost, repeated and late messages, pauses, crashes and changes
// of limit in which the seats together use more than the plan.
test('the use over all seats never exceeds the limit', () => {
  const details = runWorld(correct, 10_000, 20_261)
  assert.equal(details.failed, false, details.report)
  // Guards against a simulation that passes because nothing is ever borrowed.
  assert.ok(startsOnLoans > 10_000, `only ${startsOnLoans} starts used a loan`)
})

// Guards against a property that cannot fail: each fault of the algorithm must be noticed.
for (const [name, fault] of Object.entries({
  'no margin': { marginMs: 0 },
  'the term counted from the arrival of the grant': { countFromArrival: true },
  'no quarantine for a new holder of a seat': { skipQuarantine: true }
})) {
  test(`the property notices ${name}`, () => {
    assert.equal(runWorld({ ...correct, ...fault }, 30_000, 7).failed, true)
  })
}
