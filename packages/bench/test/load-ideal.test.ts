import { test } from 'node:test'
import assert from 'node:assert/strict'
import fc from 'fast-check'
import { computeIdealResponseMs } from '../src/load-ideal.js'

const demand = { processors: 100, memoryMb: 100, accelerators: 0 }
const unlimited = { processors: 1e6, memoryMb: 1e6, accelerators: 0, parallel: 1_000 }

function createTasks (works: readonly number[]): Array<{ workMs: number, demand: typeof demand }> {
  return works.map(workMs => ({ workMs, demand }))
}

// Guards against a bound that ignores the plan, the number of slots, the fastest target or the client delay.
test('the lower bound depends on tasks, plan, targets and client delay', () => {
  const slotSpeeds = [[2, 1], [1, 1, 1]]
  const compute = (works: readonly number[], limit = unlimited): number => computeIdealResponseMs({ tasks: createTasks(works), limit, slotSpeeds, clientDelayMs: 1 })
  assert.equal(compute([100]), 52)
  assert.equal(compute([100, 100, 100]), 102) // the same bound in both domains
  assert.equal(compute([100, 100], { ...unlimited, parallel: 1 }), 102)
  assert.equal(compute([100, 100], { ...unlimited, memoryMb: 50 }), 202)
})

/** Computes the time that a schedule takes: tasks start in the given order, each on the given slot, at most `parallel` at a time. */
function computeMakespan (works: readonly number[], slots: readonly number[], speeds: readonly number[], parallel: number): number {
  const slotFreeAt = speeds.map(() => 0)
  const running: number[] = []
  let end = 0
  works.forEach((work, index) => {
    const slot = slots[index]! % speeds.length
    running.sort((a, b) => a - b)
    const permitAt = running.length < parallel ? 0 : running[running.length - parallel]!
    const endsAt = Math.max(slotFreeAt[slot]!, permitAt) + work / speeds[slot]!
    slotFreeAt[slot] = endsAt
    running.push(endsAt)
    end = Math.max(end, endsAt)
  })
  return end
}

// Guards against a lower bound that is too high, which would hide a slow scheduler.
test('no schedule is faster than the lower bound', () => {
  const work = fc.integer({ min: 1, max: 1_000 })
  const speed = fc.double({ min: 0.25, max: 2, noNaN: true })
  const task = fc.tuple(work, fc.nat(20))
  fc.assert(fc.property(fc.array(task, { minLength: 1, maxLength: 12 }), fc.array(speed, { minLength: 1, maxLength: 6 }), fc.integer({ min: 1, max: 8 }), (tasks, speeds, parallel) => {
    const sorted = [...speeds].sort((a, b) => b - a)
    const works = tasks.map(([workMs]) => workMs)
    const ideal = computeIdealResponseMs({ tasks: createTasks(works), limit: { ...unlimited, parallel }, slotSpeeds: [sorted], clientDelayMs: 0 })
    const makespan = computeMakespan(works, tasks.map(([, slot]) => slot), sorted, parallel)
    assert.ok(makespan >= ideal * (1 - 1e-9), `makespan ${makespan} is below the lower bound ${ideal}`)
  }), { seed: 7, numRuns: 2_000 })
})
