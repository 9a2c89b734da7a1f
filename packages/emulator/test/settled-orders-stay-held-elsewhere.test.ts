import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedFleet } from '../src/index.js'

/** Run time in milliseconds of the tasks that keep all targets of domain b occupied at first. */
const occupiedMs = 600

// Guards against a witness that loses its connection to a living dispatcher, tells the other domains of orders that were answered,
// and never takes that back: repeats of the job are then refused there for 12.5 s.
describe('start orders that were answered while their witness was not connected', () => {
  it('keep no repeat of their job from being run in another domain, once the witness is connected again', async () => {
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const fleet = new EmulatedFleet({ domains: ['a', 'b'], instancesPerDomain: 1, targetsPerDomain: 2, seed })
      await fleet.advance(3_500)
      fleet.submit('b-0', 4, occupiedMs)
      await fleet.advance(150)
      // No target is free in the owner's own domain, so that the job goes to domain a.
      const first = fleet.submit('b-0', 1, 60)
      await fleet.advance(20)
      const runs = fleet.history.runs.filter(({ task }) => task.startsWith(first.jobId))
      assert.deepEqual(runs.map(({ target }) => fleet.targets.get(target)?.info.domain), ['a'])
      fleet.resetStreams('b-0')
      first.abandon()
      await fleet.advance(1_300)
      const repeat = fleet.submit('b-0', 1, 60, first.jobId)
      await fleet.advance(500)
      assert.deepEqual(await Promise.race([repeat.answer, Promise.resolve(undefined)]), { kind: 'completed' })
      assert.deepEqual(fleet.history.listViolations(), [])
    }
  })
})
