import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { type QueuedJob, RunTimeModel, sortQueue } from '../src/index.js'
import { Contention } from '../src/contention.js'
import { DispatchedJob } from '../src/dispatched-job.js'
import { compareJobs } from '../src/queue-order.js'
import { TargetSession } from '../src/target-session.js'
import { bursts, playReplay, type ReplayLoad, type ReplayPolicy, type Tally, waves } from './contention-replay.js'
import { createJob, FakeOwnerConnection } from './dispatcher-fixture.js'

const seeds = Array.from({ length: 16 }, (_, index) => index + 1)

/** Plays all seeds of a load and sums the answers by queue. */
function playSeeds (createPolicy: () => ReplayPolicy, load: ReplayLoad): Tally[] {
  const tallies = seeds.map(seed => playReplay(createPolicy(), load, seed))
  return [0, 1, 2].map(queue => sumTallies(tallies.map(byQueue => byQueue[queue]!)))
}

function sumTallies (tallies: readonly Tally[]): Tally {
  const sum = { onTime: 0, late: 0, useless: 0, rejected: 0, waitErrorMs: 0 }
  for (const tally of tallies) for (const key of Object.keys(sum) as Array<keyof Tally>) sum[key] += tally[key]
  return sum
}

/** Checks that more answers are on time in sum and that no queue is clearly worse off. */
function verifyServedBetter (without: readonly Tally[], withModule: readonly Tally[]): void {
  const figures = JSON.stringify({ without, withModule })
  assert.ok(sumTallies(withModule).onTime > sumTallies(without).onTime * 1.01, figures)
  for (const [queue, { onTime }] of without.entries()) assert.ok(withModule[queue]!.onTime > onTime * 0.97, figures)
}

describe('learned run times', () => {
  for (const [name, load] of Object.entries({ bursts, waves })) {
    it(`answer more jobs on time and predict waits better than the callers' estimates, in ${name}`, () => {
      const without = playSeeds(() => ({}), load)
      const learned = playSeeds(() => ({ model: new RunTimeModel() }), load)
      verifyServedBetter(without, learned)
      assert.ok(sumTallies(learned).waitErrorMs < sumTallies(without).waitErrorMs * 0.6)
    })
  }

  it('leave the callers\' estimates unchanged until enough runs were seen, and after the window', () => {
    const model = new RunTimeModel()
    assert.equal(model.getMedian('s 0'), 1)
    for (let run = 0; run < 10; run++) model.record('s 0', `t${run}`, 3, 1, 1, 0)
    assert.equal(model.getMedian('s 0'), 1)
    for (let run = 0; run < 200; run++) model.record('s 0', `t${run}`, 3, 1, 1, 0)
    assert.ok(Math.abs(model.getMedian('s 0') - 3) < 0.2)
    model.expire(20_000)
    assert.equal(model.getMedian('s 0'), 1)
  })

  it('follow neither a target that ends its runs at once nor the speed of the targets', () => {
    const model = new RunTimeModel()
    for (let round = 0; round < 100; round++) {
      for (let target = 0; target < 10; target++) model.record('s 0', `t${target}`, 4, 2, 2, round * 50)
      // It ends twenty times as many as the others.
      for (let run = 0; run < 20; run++) model.record('s 0', 'liar', 0.1, 1, 2, round * 50)
    }
    assert.ok(Math.abs(model.getMedian('s 0') - 2) < 0.15, String(model.getMedian('s 0')))
  })

  it('keep a bounded number of queues', () => {
    const model = new RunTimeModel()
    for (let queue = 0; queue < 1_000; queue++) model.record(`s ${queue}`, 't', 1, 1, 1, 0)
    assert.equal(model.listQueues().length, 64)
  })
})

describe('a service whose queues have one priority', () => {
  it('gets the present decisions, whatever its runs took', () => {
    const contention = new Contention(service => service === 'other')
    const job = new DispatchedJob({ job: createJob('j'), ageMs: 0, resubmitted: false, quietInMs: 0, done: [] }, new FakeOwnerConnection('o'), 0)
    job.tasks[0]!.starts = 1
    const session: Pick<TargetSession, 'info' | 'health'> = Object.create(TargetSession.prototype, { info: { value: { id: 't', service: 's' } }, health: { value: { slowness: 5 } } })
    for (let run = 0; run < 200; run++) contention.recordRun(job, job.tasks[0]!, session as TargetSession, 60_000, run)
    contention.update([session as TargetSession], 200)
    assert.equal(contention.predictRemainingMs(job), job.remainingMs)
    assert.equal(contention.createComparison('s', 0), compareJobs)
    assert.deepEqual(contention.describeInputs(job), {})
  })
})

describe('cost of a scheduling round', () => {
  it('grows no faster than n log n in queued jobs', () => {
    const costs = [1_000, 10_000, 100_000].map(size => countOperations(size) / (size * Math.log2(size)))
    for (const cost of costs) assert.ok(cost < 5, costs.join(' '))
    assert.ok(costs[2]! < costs[0]! * 1.5, costs.join(' '))
  })
})

/** @returns the number of comparisons and predictions of one round */
function countOperations (size: number): number {
  let count = 0
  const jobs = Array.from({ length: size }, (_, index): QueuedJob => {
    const job = { id: `j${index}`, objectiveAt: (index * 7_919) % 5_003, usefulUntil: 20_000, acceptedAt: index, remainingMs: 900, started: index % 5 === 0, waitingFraction: 1 }
    return Object.defineProperty(job, 'priority', { get: () => { count++; return index % 3 } }) as QueuedJob & typeof job
  })
  sortQueue(jobs, 0, job => { count++; return job.remainingMs * 1.3 })
  return count
}
