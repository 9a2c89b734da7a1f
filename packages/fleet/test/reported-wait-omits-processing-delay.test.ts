import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { chooseDomain, type LoadSummary } from '../src/index.js'
import { createDispatcher, FakeTarget } from './dispatcher-fixture.js'

/** Time in milliseconds by which each timer of the saturated dispatcher is late, and the number of its calls. */
const lateMs = 250
const lateCalls = 10

/** Lets a dispatcher with idle targets run while its process is short of processor time. */
async function measureSaturatedLoad (): Promise<LoadSummary> {
  const clock = new ManualClock()
  const target = new FakeTarget('t')
  const dispatcher = createDispatcher(clock, [target])
  dispatcher.updateTargets([target.info])
  await clock.advance(100)
  for (let call = 0; call < lateCalls; call++) {
    clock.time += lateMs
    await clock.advance(50)
  }
  const load = dispatcher.summarizeLoad()
  dispatcher.stop()
  return load
}

// Guards against owners that submit a job to one saturated dispatcher after the other, because their reported wait is that of the idle targets.
describe('the load that a saturated dispatcher with idle targets reports', () => {
  it('includes the delay of its process', async () => {
    const { waitMs, queuedJobs } = await measureSaturatedLoad()
    assert.equal(queuedJobs, 0)
    assert.ok(waitMs > lateMs, `${waitMs} ms`)
  })

  it('makes another domain the better choice', async () => {
    const load = await measureSaturatedLoad()
    const options = [{ domain: 'home', load, isHome: true }, { domain: 'other', load: { ...load, waitMs: 0 }, isHome: false }]
    assert.equal(chooseDomain(options, { processors: 1_000, largestTask: 1_000 })?.domain, 'other')
  })
})
