import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EmulatedFleet, type RunRecord } from '../src/index.js'

const crashingJob = 'c0ffee0000000001'
const bystander = 'b0b0000000000001'

async function startFleet (): Promise<EmulatedFleet> {
  const fleet = new EmulatedFleet({ domains: ['a'], instancesPerDomain: 3, targetsPerDomain: 4, seed: 1 })
  await fleet.advance(3_500)
  fleet.crashingJobs.add(crashingJob)
  return fleet
}

function listRuns (fleet: EmulatedFleet, jobId: string): readonly RunRecord[] {
  return fleet.history.runs.filter(run => run.task.startsWith(jobId))
}

/** @returns the runs of other jobs that existed at the target during a run */
function listCompanions (fleet: EmulatedFleet, run: RunRecord): readonly RunRecord[] {
  return fleet.history.runs.filter(other => other !== run && other.target === run.target && other.startedAt <= run.endedAt! && (other.endedAt ?? Infinity) > run.startedAt)
}

/** Submits jobs at an interval, so that `running` of them run at a time if there is room. */
async function load (fleet: EmulatedFleet, lengthMs: number, running: number): Promise<void> {
  const workMs = 400
  const until = fleet.clock.now() + lengthMs
  while (fleet.clock.now() < until) {
    fleet.submit('a-0', 1, workMs)
    await fleet.advance(workMs / running)
  }
}

// Guards against a task that is lost with a target again and again because it is placed beside the task that crashes it.
describe('a task that shared a target with one that crashes it', () => {
  it('is lost once and then completed, and the other task is given up', async () => {
    const fleet = await startFleet()
    fleet.submit('a-0', 1, 500, crashingJob)
    fleet.submit('a-1', 1, 500, bystander)
    await fleet.advance(8_000)
    assert.deepEqual(listRuns(fleet, bystander).map(run => run.how), ['crashed', 'done'])
    assert.deepEqual(listRuns(fleet, crashingJob).map(run => run.how), ['crashed', 'crashed'])
    assert.equal(fleet.history.answers.find(entry => entry.jobId === crashingJob)?.answer.kind, 'failed')
    assert.deepEqual(fleet.history.listViolations(), [])
  })

  it('has no company when it is tried again, and neither has the other task, while more jobs come', async () => {
    const fleet = await startFleet()
    fleet.submit('a-0', 1, 500, crashingJob)
    fleet.submit('a-1', 1, 500, bystander)
    await fleet.advance(5)
    await load(fleet, 6_000, 3)
    for (const run of [...listRuns(fleet, crashingJob).slice(1), ...listRuns(fleet, bystander).slice(1)]) {
      assert.deepEqual(listCompanions(fleet, run).map(other => other.task), [])
    }
    assert.deepEqual(listRuns(fleet, bystander).map(run => run.how), ['crashed', 'done'])
  })

  it('is tried again although no target ever becomes free by itself', async () => {
    const fleet = await startFleet()
    fleet.submit('a-0', 1, 500, crashingJob)
    fleet.submit('a-1', 1, 500, bystander)
    await fleet.advance(5)
    // Three targets are left, which run two tasks each.
    await load(fleet, 5_000, 7)
    assert.deepEqual(listRuns(fleet, bystander).map(run => run.how), ['crashed', 'done'])
  })
})
