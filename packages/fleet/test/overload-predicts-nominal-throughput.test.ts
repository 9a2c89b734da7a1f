import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { predictWaitMs } from '../src/admission.js'
import { DispatchEfficiency, type SaturationSample } from '../src/dispatch-efficiency.js'

/** Interval in milliseconds between two samples, and processors of the targets. */
const sampleMs = 50
const processors = 1_000_000

const saturated: SaturationSample = { queuedJobs: 200, freeProcessors: 0, usableProcessors: processors, nominalThroughput: processors }
const idle: SaturationSample = { queuedJobs: 0, freeProcessors: processors / 2, usableProcessors: processors, nominalThroughput: processors }

/** Replays a load in which the targets do a part of the work that their processors could do. */
function replay (efficiency: DispatchEfficiency, startedAt: number, durationMs: number, sample: SaturationSample, usedFraction: number): void {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += sampleMs) {
    efficiency.recordFinished(usedFraction * processors * sampleMs)
    efficiency.update(startedAt + elapsedMs, sample)
  }
}

/**
 * In a lasting overload of 60 ms tasks each slot stands idle for as long again until its end was seen and the next
 * order has arrived. Guards against predicting waits from the processors alone: a job is then admitted, waits
 * twice as long as predicted and is rejected when it is too late to go elsewhere.
 */
describe('the predicted wait in a lasting overload', () => {
  it('follows the work that the targets do', () => {
    const efficiency = new DispatchEfficiency()
    replay(efficiency, 0, 4_000, saturated, 0.5)
    const workAhead = 100 * processors
    const waitMs = predictWaitMs({ workAhead, throughput: processors * efficiency.efficiency })
    assert.ok(waitMs > 180 && waitMs < 220, `${waitMs} ms`)
  })

  it('is not changed by a calm time, in which targets are idle for want of jobs', () => {
    const efficiency = new DispatchEfficiency()
    const before = efficiency.efficiency
    replay(efficiency, 0, 4_000, idle, 0.3)
    assert.equal(efficiency.efficiency, before)
  })

  it('returns to its initial value after the overload', () => {
    const efficiency = new DispatchEfficiency()
    const before = efficiency.efficiency
    replay(efficiency, 0, 4_000, saturated, 0.5)
    replay(efficiency, 4_000, 20_000, idle, 0.3)
    assert.ok(before - efficiency.efficiency < 0.05)
  })
})
