import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedFleet } from '../src/index.js'

/** Time in milliseconds after which a caller without an answer sends its job again. */
const resubmitMs = 1_300

/**
 * The connections of an owner fall silent, its caller leaves, and the cancellation is lost. The owner connects
 * anew before the dispatcher has closed the earlier connection, and its signs of life then count for the job that it
 * gave up as well. Guards against runs of that job that last until after its repeat.
 */
describe('a job that its owner gave up over a silent connection', () => {
  async function loseStopAfter (ms: number, loseStop: (fleet: EmulatedFleet, holder: string) => void): Promise<EmulatedFleet> {
    const fleet = new EmulatedFleet({ domains: ['a', 'b'], instancesPerDomain: 3, targetsPerDomain: 4, seed: 1 })
    await fleet.advance(3_500)
    const holder = fleet.findDispatchingInstance('a')!
    const owner = fleet.listInstances('a').find(instance => instance !== holder)!
    const job = fleet.submit(owner, 1, 5_000)
    fleet.network.partition(['b-0'], fleet.listInstances('a'))
    await fleet.advance(300)
    fleet.silenceStreams(owner)
    job.abandon()
    await fleet.advance(ms)
    loseStop(fleet, holder)
    await fleet.advance(resubmitMs - ms)
    fleet.submit('b-0', 1, 5_000, job.jobId)
    await fleet.advance(3_000)
    return fleet
  }

  it('has no run when it is repeated although the dispatcher is paused meanwhile', async () => {
    const fleet = await loseStopAfter(520, ({ clock, instances }, holder) => { clock.startTimer(800, instances.get(holder)!.process.pause()) })
    assert.deepEqual(fleet.history.listViolations(), [])
  })

  it('has no run when it is repeated although the order to stop it is lost', async () => {
    const fleet = await loseStopAfter(520, ({ network, history, instances }) => { network.partition([history.runs[0]!.target], [...instances.keys()]) })
    assert.deepEqual(fleet.history.listViolations(), [])
  })
})
