import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { decideAdmission } from '../src/admission.js'
import { ProcessingDelay } from '../src/processing-delay.js'

/** Interval in milliseconds of the timer, and its lateness while the processor is saturated. */
const intervalMs = 50
const lateMs = 200

/** Run time in milliseconds of a short job, and the time for which its answer is of use. */
const runMs = 60
const usefulMs = 450

/**
 * A burst of short jobs is more than the dispatcher's processor can handle, while its targets are free. Guards against
 * admitting them all: none of them is then answered in time.
 */
describe('a dispatcher whose processor is saturated', () => {
  it('rejects a short job that it would finish too late', () => {
    const delay = new ProcessingDelay(intervalMs)
    let now = 0
    for (let tick = 0; tick < 10; tick++) {
      delay.recordTick(now)
      now += intervalMs + lateMs
    }
    const idleTargets = { workAhead: 0, throughput: 1_000 }
    assert.equal(decideAdmission(idleTargets, runMs + delay.delayPerJobMs, usefulMs).kind, 'reject')
  })

  it('admits jobs again after the burst', () => {
    const delay = new ProcessingDelay(intervalMs)
    let now = 0
    for (let tick = 0; tick < 10; tick++) {
      delay.recordTick(now)
      now += intervalMs + (tick < 5 ? lateMs : 0)
    }
    for (let tick = 0; tick < 20; tick++) {
      delay.recordTick(now)
      now += intervalMs
    }
    assert.ok(delay.delayPerJobMs < 10)
  })
})
