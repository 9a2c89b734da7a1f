import { test } from 'node:test'
import assert from 'node:assert/strict'
import { type Fault, type ModelTimes, type Order, SeatWorld } from './seat-world.js'

const faults: readonly Fault[] = ['none', 'store', 'cut-old', 'cut-new', 'pause-old', 'pause-new', 'pause-peer', 'restart-peer', 'start-new']
const correct: ModelTimes = { isolation: 2, hold: 2, quarantine: 5, needsConfirmation: true, skipSettling: false }

/** One step of a sequence that leads from the start to a state. */
interface Step { readonly event: string, readonly earlier: Step | undefined }

interface Exploration { readonly states: number, readonly violation: readonly string[], readonly newAtWork: number, readonly isComplete: boolean }

/** Explores all sequences of faults breadth first, one fault a second, up to a number of states. */
function explore (times: ModelTimes, maxStates: number): Exploration {
  const seen = new Set<string>()
  let newAtWork = 0
  let frontier: Array<{ readonly world: SeatWorld, readonly step: Step }> = [{ world: new SeatWorld(times), step: { event: 'start', earlier: undefined } }]
  while (frontier.length > 0 && seen.size < maxStates) {
    const next: typeof frontier = []
    for (const { world: before, step: earlier } of frontier) {
      for (const [fault, order] of listMoves(before)) {
        const world = before.clone()
        world.advance(fault, order)
        const name = world.describe()
        if (seen.has(name)) continue
        seen.add(name)
        const step: Step = { event: `${fault}, ${order.join(' ')} first`, earlier }
        if (world.isViolated()) return { states: seen.size, violation: listEvents(step), newAtWork, isComplete: false }
        if (world.isNewAtWork()) newAtWork++
        if (!world.isDecided()) next.push({ world, step })
      }
    }
    frontier = next
  }
  return { states: seen.size, violation: [], newAtWork, isComplete: frontier.length === 0 }
}

function listMoves (world: SeatWorld): ReadonlyArray<readonly [Fault, Order]> {
  return faults.flatMap((fault) => world.listOrders(fault).map((order) => [fault, order] as const))
}

function listEvents (last: Step): readonly string[] {
  const events: string[] = []
  for (let step: Step | undefined = last; step !== undefined; step = step.earlier) events.unshift(step.event)
  return events
}

// Guards against two holders of a seat with work at the same time, after any short sequence of
// faults. SEAT_MODEL_STATES=3000000 explores more; the default takes some seconds.
test('an old and a new holder of a seat never have work at the same time', () => {
  const result = explore(correct, Number(process.env['SEAT_MODEL_STATES'] ?? 100_000))
  assert.deepEqual(result.violation, [])
  // Guards against a model in which the new holder never gets to work.
  assert.ok(result.newAtWork > 100, `the new holder was at work in ${result.newAtWork} states`)
  console.log(`explored ${result.states} states${result.isComplete ? ', which are all' : ''}`)
})

// Guards against a model that cannot fail: each of these faults of the rules must be noticed.
for (const [name, fault] of Object.entries({
  'a quarantine that is shorter than the work of the old holder': { quarantine: 2 },
  'a share that is used without confirmation': { needsConfirmation: false },
  'a peer that confirms right after its start': { skipSettling: true }
})) {
  test(`the model notices ${name}`, () => {
    assert.notDeepEqual(explore({ ...correct, ...fault }, 100_000).violation, [])
  })
}
