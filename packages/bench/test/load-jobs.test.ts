import { test } from 'node:test'
import assert from 'node:assert/strict'
import { generateJob, type LoadTask } from '../src/load-jobs.js'
import { computeTargetSpeeds, profiles } from '../src/load-profiles.js'
import { LoadRandom } from '../src/load-random.js'
import { computeRecoverySeconds, computeSummary, countAnswersBySecond } from '../src/load-samples.js'

function createTasks (seed: number): readonly LoadTask[] {
  const random = new LoadRandom(seed)
  return Array.from({ length: 4_000 }, (_, i) => generateJob(random, profiles.kalibra, `j${i}`)).flatMap(job => job.tasks)
}

// Guards against runs that cannot be reproduced, and against client processes that all generate the same load.
test('the generated load depends only on the seed', () => {
  assert.deepEqual(createTasks(1), createTasks(1))
  assert.notDeepEqual(createTasks(1), createTasks(2))
})

// Guards against a load that is easier than the documented distributions.
test('run times, declarations and speeds follow the documented distributions', () => {
  const tasks = createTasks(3)
  const works = tasks.map(task => task.payload.workMs)
  const tailFraction = works.filter(work => work > 1_000).length / works.length
  assert.ok(tailFraction > 0.015 && tailFraction < 0.025, `fraction of long tasks: ${tailFraction}`)
  assert.ok(Math.min(...works) >= 50)
  // Even on the slowest target, every task must end within its lease of 10 s.
  assert.ok(Math.max(...works) / 0.2425 < 10_000)
  const wrongFraction = tasks.filter(({ expectedMs, payload }) => Math.abs(Math.log(expectedMs / payload.workMs)) > Math.log(3.5)).length / tasks.length
  assert.ok(wrongFraction > 0.25 && wrongFraction < 0.4, `fraction of run times declared wrong by more than a factor of 3.5: ${wrongFraction}`)
  assert.ok(tasks.every(({ demand, payload }) => demand.memoryMb >= payload.memoryMb))
  for (const profile of Object.values(profiles)) {
    const random = new LoadRandom(4)
    const speeds = computeTargetSpeeds(profile, () => random.sampleUniform(0, 1))
    assert.deepEqual(speeds.map(domain => domain.length), [10, 10, 10])
    for (const domain of speeds) assert.ok(Math.max(...domain) / Math.min(...domain) >= 3.8)
    assert.ok(Math.max(...speeds.flat()) / Math.min(...speeds.flat()) >= 4)
  }
})

// Guards against statistics with wrong units or percentiles.
test('summary statistics and recovery time are computed from the samples', () => {
  const summary = computeSummary(Array.from({ length: 1_000 }, (_, i) => (i + 1) / 100))
  assert.equal(summary.count, 1_000)
  assert.ok(Math.abs(summary.p50 - 5) < 0.02 && Math.abs(summary.p99 - 9.9) < 0.02 && Math.abs(summary.mean - 5.005) < 0.02)
  const sample = { idealMs: 1, customer: 'c', tasks: 1 }
  const samples = [{ ...sample, arrivalMs: 900, responseMs: 200, outcome: 'complete' }, { ...sample, arrivalMs: 0, responseMs: 1, outcome: 'failed 400' }]
  assert.deepEqual(countAnswersBySecond(samples, 2), [0, 1])
  assert.equal(computeRecoverySeconds([10, 10, 10, 2, 2, 4, 10, 10, 10, 10], 0, { from: 3, to: 5 }), 1)
  assert.equal(computeRecoverySeconds([10, 10, 10, 2, 2, 4, 4, 4, 4, 4], 0, { from: 3, to: 5 }), undefined)
})
