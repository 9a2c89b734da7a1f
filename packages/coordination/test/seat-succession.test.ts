import { test } from 'node:test'
import assert from 'node:assert/strict'
import { type Fault, type ModelTimes, type RequestOrder, SeatSuccessionModel } from './seat-succession-model.js'

const faults: readonly Fault[] = ['none', 'store', 'cut-old', 'cut-new', 'pause-old', 'pause-new', 'pause-peer', 'restart-peer', 'start-new']
const correct: ModelTimes = { isolation: 2, workDuration: 2, quarantine: 5, needsConfirmation: true, skipsSettleTime: false }

/** One step of the sequence that leads from the start to a state. */
interface Step { readonly event: string, readonly earlier: Step | undefined }

interface Exploration { readonly states: number, readonly violation: readonly string[], readonly newHolderWorkingStates: number, readonly isComplete: boolean }

/**
 * Explores all sequences of faults breadth-first, with one fault per second, until `maxStates`
 * states have been seen.
 */
function explore (times: ModelTimes, maxStates: number): Exploration {
  const seen = new Set<string>()
  let newHolderWorkingStates = 0
  let frontier: Array<{ readonly model: SeatSuccessionModel, readonly step: Step }> = [{ model: new SeatSuccessionModel(times), step: { event: 'start', earlier: undefined } }]
  while (frontier.length > 0 && seen.size < maxStates) {
    const next: typeof frontier = []
    for (const { model: before, step: earlier } of frontier) {
      for (const [fault, order] of listMoves(before)) {
        const model = before.clone()
        model.advance(fault, order)
        const name = model.describeState()
        if (seen.has(name)) continue
        seen.add(name)
        const step: Step = { event: `${fault}, ${order.join(' ')} first`, earlier }
        if (model.isViolated()) return { states: seen.size, violation: listEvents(step), newHolderWorkingStates, isComplete: false }
        if (model.isNewHolderWorking()) newHolderWorkingStates++
        if (!model.isDecided()) next.push({ model, step })
      }
    }
    frontier = next
  }
  return { states: seen.size, violation: [], newHolderWorkingStates, isComplete: frontier.length === 0 }
}

function listMoves (model: SeatSuccessionModel): ReadonlyArray<readonly [Fault, RequestOrder]> {
  return faults.flatMap((fault) => model.listOrders(fault).map((order) => [fault, order] as const))
}

function listEvents (last: Step): readonly string[] {
  const events: string[] = []
  for (let step: Step | undefined = last; step !== undefined; step = step.earlier) events.unshift(step.event)
  return events
}

// Guards against two holders of a seat that have work at the same time, after any short sequence of
// faults. SEAT_MODEL_STATES=3000000 explores more states; the default takes some seconds.
test('an old and a new holder of a seat never have work at the same time', () => {
  const result = explore(correct, Number(process.env['SEAT_MODEL_STATES'] ?? 100_000))
  assert.deepEqual(result.violation, [])
  // Guards against a model in which the new holder never starts work.
  assert.ok(result.newHolderWorkingStates > 100, `the new holder was at work in ${result.newHolderWorkingStates} states`)
  console.log(`explored ${result.states} states${result.isComplete ? ', which are all' : ''}`)
})

// Guards against a model that cannot fail: it must detect each of these faults of the rules.
for (const [name, fault] of Object.entries({
  'a quarantine that is shorter than the work of the old holder': { quarantine: 2 },
  'a share that is used without confirmation': { needsConfirmation: false },
  'a peer that confirms right after its start': { skipsSettleTime: true }
})) {
  test(`the model detects ${name}`, () => {
    assert.notDeepEqual(explore({ ...correct, ...fault }, 100_000).violation, [])
  })
}
