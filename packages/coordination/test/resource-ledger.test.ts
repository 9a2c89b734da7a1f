import { test } from 'node:test'
import assert from 'node:assert/strict'
import fc from 'fast-check'
import { type Command, LedgerSimulation, type SimulationOptions } from './ledger-simulation.js'

const correct: SimulationOptions = { clockDriftMarginMs: 200, countFromArrival: false, skipQuarantine: false }

// Actions that move units are frequent; faults that empty the ledgers are rare.
const action = fc.oneof(
  { weight: 20, arbitrary: fc.constantFrom('start', 'deliver') },
  { weight: 16, arbitrary: fc.constantFrom('borrow', 'advance', 'renew', 'finish') },
  { weight: 4, arbitrary: fc.constantFrom('jump', 'return') },
  { weight: 2, arbitrary: fc.constantFrom('drop', 'pause', 'crash', 'limit') }
) as fc.Arbitrary<Command[0]>
const command: fc.Arbitrary<Command> = fc.tuple(action, fc.nat(3), fc.nat(60), fc.nat(60))
// The rates of two clocks differ by up to 1.2%, which stays below the margin of 200 ms in 14 s.
const rates = fc.array(fc.constantFrom(0.994, 1, 1.006), { minLength: 2, maxLength: 4 })

let startsOnLoans = 0

function runSimulations (options: SimulationOptions, runs: number, seed: number): { failed: boolean, report: string | undefined } {
  const details = fc.check(fc.property(rates, fc.integer({ min: 2, max: 12 }), fc.array(command, { minLength: 50, maxLength: 200, size: 'max' }), (seatRates, limit, commands) => {
    const simulation = new LedgerSimulation(options, seatRates, limit)
    for (const next of commands) {
      simulation.run(next)
      simulation.check()
    }
    startsOnLoans += simulation.startsOnLoans
  }), { numRuns: runs, seed, endOnFailure: true })
  return { failed: details.failed, report: fc.defaultReportMessage(details) }
}

// Guards against any order of lost, repeated and late messages, pauses, crashes and limit changes in
// which the seats together use more than the plan.
test('the use over all seats never exceeds the limit', () => {
  const details = runSimulations(correct, 10_000, 20_261)
  assert.equal(details.failed, false, details.report)
  // Guards against a simulation that passes because hardly any unit is borrowed.
  assert.ok(startsOnLoans > 10_000, `only ${startsOnLoans} starts used a loan`)
})

// Guards against a property that cannot fail: the check must detect each of these faults of the
// algorithm.
for (const [name, fault] of Object.entries({
  'a missing clock drift margin': { clockDriftMarginMs: 0 },
  'a term that is counted from the arrival of the grant': { countFromArrival: true },
  'a missing quarantine for a new holder of a seat': { skipQuarantine: true }
})) {
  test(`the property detects ${name}`, () => {
    assert.equal(runSimulations({ ...correct, ...fault }, 30_000, 7).failed, true)
  })
}
