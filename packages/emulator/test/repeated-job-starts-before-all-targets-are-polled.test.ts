import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedFleet } from '../src/index.js'

/** Time in milliseconds after the loss of its answer at which a caller repeats a job. */
const repeatMs = 1_300

/**
 * A new dispatcher treats the repeat of a job at another instance as a new job and starts it at once.
 * Guards against a start while one target has not answered the new dispatcher and may still have the
 * run that the earlier dispatcher started for the lost owner.
 */
describe('a job whose owner and dispatcher are lost one after the other', () => {
  it('does not start again while a target that the new dispatcher has not polled may run it', async () => {
    const fleet = new EmulatedFleet({ domains: ['a'], instancesPerDomain: 5, targetsPerDomain: 4, seed: 1 })
    await fleet.advance(3_500)
    const first = fleet.findDispatchingInstance('a')!
    const owner = [...fleet.instances.keys()].find(name => name !== first)!
    const { jobId } = fleet.submit(owner, 1, 4_000)
    await fleet.advance(50)
    const run = fleet.history.runs[0]!
    const others = [...fleet.instances.keys()].filter(name => name !== first && name !== owner)
    // A partition separates the target from the instances that remain, and the owner ends.
    fleet.network.partition([run.target], others)
    fleet.killInstance(owner)
    const lostAt = fleet.clock.now()
    await fleet.advance(380)
    fleet.killInstance(first)
    await fleet.advance(lostAt + repeatMs - fleet.clock.now())
    fleet.submit(others[0]!, 1, 4_000, jobId)
    await fleet.advance(3_000)
    const starts = fleet.history.runs.map(({ target, startedAt, endedAt, how }) => ({ target, startedMs: startedAt - lostAt, endedMs: (endedAt ?? Infinity) - lostAt, how }))
    assert.deepEqual(fleet.history.listViolations(), [], JSON.stringify(starts))
  })
})
