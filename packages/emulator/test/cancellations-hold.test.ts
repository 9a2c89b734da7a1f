import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { type CancellationOutcome, parseTaskName } from '@sesamereel/fleet'
import { EmulatedFleet } from '../src/index.js'

const cancelTimeoutMs = 900

/** Bound in milliseconds on starts after an acknowledgement, as in the settings that state the shortest one. */
const cancelMs = 3_000

async function startFleet (domains: readonly string[] = ['a']): Promise<EmulatedFleet> {
  const fleet = new EmulatedFleet({ domains, instancesPerDomain: 3, targetsPerDomain: 4, seed: 1 })
  await fleet.advance(3_500)
  return fleet
}

/** @returns the instances that do not dispatch for domain `a` */
function listOthers (fleet: EmulatedFleet): readonly string[] {
  return fleet.listInstances('a').filter(instance => instance !== fleet.findDispatchingInstance('a'))
}

async function cancel (fleet: EmulatedFleet, instance: string, jobId: string): Promise<CancellationOutcome> {
  const outcome = fleet.instances.get(instance)!.owner.cancel(jobId, cancelTimeoutMs)
  await fleet.advance(cancelTimeoutMs + 100)
  return await outcome
}

function countStarts (fleet: EmulatedFleet, jobId: string, sinceMs = 0): number {
  return fleet.history.runs.filter(run => parseTaskName(run.task)!.jobId === jobId && run.startedAt > sinceMs).length
}

/** Replaces `review/3`: guards against 410 for jobs whose dispatcher is paused, which then go on. */
describe('a job that is cancelled through another instance while its dispatcher is paused', () => {
  it('is never answered as unknown, and starts nothing later than the bound', async () => {
    const fleet = await startFleet()
    const [owner, other] = listOthers(fleet)
    // More tasks than the targets run at once, so that a dispatcher that has the job starts some for 4 s.
    const jobs = Array.from({ length: 3 }, () => fleet.submit(owner!, 12, 900).jobId)
    await fleet.advance(500)
    fleet.clock.startTimer(4_000, fleet.instances.get(fleet.findDispatchingInstance('a')!)!.process.pause())
    for (const jobId of jobs) {
      const outcome = await cancel(fleet, other!, jobId)
      assert.notEqual(outcome, 'unknown-job')
    }
    const lastCancelledAt = fleet.clock.now()
    await fleet.advance(9_000)
    for (const jobId of jobs) assert.equal(countStarts(fleet, jobId, lastCancelledAt + cancelMs), 0)
    for (const jobId of jobs) assert.equal(await cancel(fleet, owner!, jobId), 'cancelled')
    assert.deepEqual(fleet.history.listViolations(), [])
  })
})

/** Replaces `review/4`: guards against running a cancelled job whose request arrives once more. */
describe('the request of a cancelled job that arrives again', () => {
  const disturbances: Readonly<Record<string, (fleet: EmulatedFleet) => void>> = {
    'at any instance': () => {},
    'after the loss of the dispatcher': fleet => { fleet.killInstance(fleet.findDispatchingInstance('a')!) },
    'after the loss of the instance that accepted the cancellation': fleet => { fleet.killInstance(listOthers(fleet)[1]!) },
    'after the connections of its dispatcher were reset': fleet => { fleet.resetStreams(fleet.findDispatchingInstance('a')!) },
    'at an instance that has just started': fleet => { fleet.startInstance('a-9', 'a') }
  }
  for (const [name, disturb] of Object.entries(disturbances)) {
    it(`is answered as cancelled and not run, ${name}`, async () => {
      const fleet = await startFleet()
      const [owner, other] = listOthers(fleet)
      const { jobId, answer } = fleet.submit(owner!, 2, 900)
      await fleet.advance(300)
      assert.equal(await cancel(fleet, other!, jobId), 'cancelled')
      assert.deepEqual(await answer, { kind: 'failed', reason: 'cancelled' })
      const starts = countStarts(fleet, jobId)
      disturb(fleet)
      await fleet.advance(3_000)
      for (const instance of fleet.listInstances('a')) {
        const repeat = fleet.submit(instance, 2, 900, jobId)
        await fleet.advance(1_000)
        assert.deepEqual(await repeat.answer, { kind: 'failed', reason: 'cancelled' })
        assert.equal(await cancel(fleet, instance, jobId), 'cancelled')
      }
      assert.equal(countStarts(fleet, jobId), starts)
    })
  }
})

describe('a job whose caller only closes its connection', () => {
  it('runs when the caller sends it again, through its own or another instance', async () => {
    for (const index of [0, 1]) {
      const fleet = await startFleet()
      const others = listOthers(fleet)
      const { jobId, abandon } = fleet.submit(others[0]!, 2, 300)
      await fleet.advance(100)
      abandon()
      await fleet.advance(300)
      const { answer } = fleet.submit(others[index]!, 2, 300, jobId)
      await fleet.advance(2_000)
      assert.deepEqual(await answer, { kind: 'completed' })
    }
  })
})

describe('the cancellation of a job that has ended', () => {
  it('is answered as unknown by each instance, but not while a domain is out of reach', async () => {
    const fleet = await startFleet(['a', 'b'])
    const { jobId, answer } = fleet.submit('a-0', 1, 100)
    await fleet.advance(1_000)
    assert.deepEqual(await answer, { kind: 'completed' })
    assert.equal(await cancel(fleet, 'a-1', jobId), 'unknown-job')
    assert.equal(await cancel(fleet, 'a-1', jobId), 'unknown-job')
    const heal = fleet.network.partition(['a-1'], fleet.listInstances('b'))
    await fleet.advance(2_000)
    assert.equal(await cancel(fleet, 'a-1', jobId), 'unconfirmed')
    heal()
    await fleet.advance(3_000)
    assert.equal(fleet.instances.get('a-1')!.owner.pendingCancellationCount, 0, 'the cancellation was not sent to the domain that was out of reach')
    assert.equal(await cancel(fleet, 'a-1', jobId), 'unknown-job')
  })
})
