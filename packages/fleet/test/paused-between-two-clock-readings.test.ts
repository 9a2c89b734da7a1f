import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@sesamereel/coordination'
import { defaultFleetLimits, NoopLog, NoopMetrics } from '../src/index.js'
import { DispatchState } from '../src/dispatch-state.js'
import { DispatchedJob } from '../src/dispatched-job.js'
import { createJob, FakeOwnerConnection } from './dispatcher-fixture.js'

const pauseMs = 200

/** A clock of a process that is paused after each reading of the elapsed time. */
class PausingClock extends ManualClock {
  override readElapsed (): number {
    const elapsed = this.time
    this.time += pauseMs
    return elapsed
  }
}

/** The limit of a job's runs is computed from two clocks. Guards against a pause between their readings making it later. */
describe('the limit of a job\'s runs', () => {
  it('does not become later when the process is paused while it is computed', () => {
    const clock = new PausingClock()
    const state = new DispatchState(clock, defaultFleetLimits, new NoopLog(), new NoopMetrics())
    const connection = new FakeOwnerConnection('owner', 1)
    const confirmedAt = clock.now()
    state.owners.add(connection, confirmedAt)
    state.owners.confirm(connection)
    const job = new DispatchedJob({ job: createJob('5c0e7a21d94b36f8'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] }, connection, clock.now())
    assert.ok(state.computeRunLimit(job) <= confirmedAt + defaultFleetLimits.resubmitMs, 'the runs may outlive the last sign of life by more than the resubmission time')
  })
})
