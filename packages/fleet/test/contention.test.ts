import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RunTimeModel, selectJobsToShed, sortQueue } from '../src/index.js'
import { Contention } from '../src/contention.js'
import { DispatchedJob } from '../src/dispatched-job.js'
import { sumWaitingWork } from '../src/load-estimates.js'
import { compareJobs } from '../src/queue-order.js'
import { TargetSession } from '../src/target-session.js'
import { FairShares, moveFirst } from '../src/fair-shares.js'
import { UrgentHeadroom } from '../src/urgent-headroom.js'
import { bursts, flood, playReplay, type ReplayLoad, type ReplayPolicy, type Tally, waves } from './contention-replay.js'
import { createJob, FakeOwnerConnection } from './dispatcher-fixture.js'

/** Plays the seeds of a load from 1 on and sums the answers by queue. */
function playSeeds (createPolicy: () => ReplayPolicy, load: ReplayLoad, seedCount = 16): Tally[] {
  const tallies = Array.from({ length: seedCount }, (_, index) => playReplay(createPolicy(), load, index + 1))
  return [0, 1, 2].map(queue => sumTallies(tallies.map(byQueue => byQueue[queue]!)))
}

function sumTallies (tallies: readonly Tally[]): Tally {
  const sum = { onTime: 0, late: 0, useless: 0, rejected: 0, waitErrorMs: 0, near: 0, remote: 0, waitsNear: 0, waitsRemote: 0 }
  for (const tally of tallies) for (const key of Object.keys(sum) as Array<keyof Tally>) sum[key] += tally[key]
  return sum
}

describe('learned run times', () => {
  // Twelve targets of two speeds show a usual slowness that is too high: less urgent jobs then count as late too early.
  const loads = { bursts, waves, 'waves at few targets': { ...waves, targets: 12 } }
  const plays = Object.entries(loads).map(([name, load]) => ({ name, without: playSeeds(() => ({}), load), learned: playSeeds(() => ({ model: new RunTimeModel() }), load) }))

  for (const { name, without, learned } of plays) {
    it(`answer more jobs on time than the callers' estimates, and no queue clearly fewer, in ${name}`, () => {
      const figures = JSON.stringify({ without, learned })
      assert.ok(sumTallies(learned).onTime > sumTallies(without).onTime * 1.005, figures)
      for (const [queue, { onTime }] of without.entries()) assert.ok(learned[queue]!.onTime > onTime * 0.97, figures)
    })
  }

  it('answer clearly more jobs on time in all loads together, and predict waits better', () => {
    const without = sumTallies(plays.flatMap(play => play.without))
    const learned = sumTallies(plays.flatMap(play => play.learned))
    assert.ok(learned.onTime > without.onTime * 1.015, JSON.stringify({ without, learned }))
    assert.ok(learned.waitErrorMs < without.waitErrorMs * 0.6, JSON.stringify({ without, learned }))
  })

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

describe('shares under contention', () => {
  // Guards the floor only: the sum of answers on time falls, so that dispatchers use the shares only with a fraction.
  it('let a queue start that more urgent ones would starve', () => {
    const without = playSeeds(() => ({ model: new RunTimeModel() }), flood, 4)
    const shared = playSeeds(() => ({ model: new RunTimeModel(), shares: new FairShares() }), flood, 4)
    assert.ok(shared[2]!.rejected < without[2]!.rejected * 0.8, JSON.stringify({ without, shared }))
  })

  it('put a queue first while it gets less than half of what all get, and count nothing older than the window', () => {
    const shares = new FairShares()
    shares.recordOffered('a', 1_000, 0)
    shares.recordStarted('a', 1_000, 0)
    assert.equal(shares.listBelowFloor(0).size, 0)
    shares.recordOffered('b', 1_000, 10)
    assert.deepEqual([...shares.listBelowFloor(10)], ['b'])
    shares.recordStarted('b', 400, 20)
    assert.equal(shares.listBelowFloor(20).size, 0)
    shares.recordOffered('b', 1_000, 2_200)
    assert.equal(shares.listBelowFloor(2_200).size, 0)
    shares.expire(5_000)
    assert.deepEqual(moveFirst([1, 2, 3, 4], job => job % 2 === 0), [2, 4, 1, 3])
  })
})

describe('headroom for urgent work', () => {
  // Guards the urgent queue only: the sum of answers on time falls, so that no dispatcher uses the headroom yet.
  it('keeps short tasks from waiting for the end of long ones', () => {
    const load = { ...bursts, targets: 12 }
    const without = playSeeds(() => ({ model: new RunTimeModel() }), load)
    const withHeadroom = playSeeds(() => ({ model: new RunTimeModel(), headroom: new UrgentHeadroom() }), load)
    assert.ok(withHeadroom[0]!.onTime > without[0]!.onTime, JSON.stringify({ without, withHeadroom }))
    assert.ok(withHeadroom[0]!.rejected < without[0]!.rejected * 0.8, JSON.stringify({ without, withHeadroom }))
  })

  it('is given back while the urgent queue is idle or capacity becomes free fast', () => {
    const headroom = new UrgentHeadroom()
    assert.equal(headroom.computeLimit({ usableProcessors: 1_000, nextEndMs: 100 }, 0), undefined)
    for (let at = 0; at < 2_000; at += 100) headroom.record({ processors: 100, runMs: 100, objectiveMs: 200 }, at)
    const limit = headroom.computeLimit({ usableProcessors: 1_000, nextEndMs: 100 }, 1_950)
    // Mean 100 processors in use, deviation 100.
    assert.deepEqual(limit, { longMs: 300, maxLongProcessors: 650 })
    assert.equal(headroom.computeLimit({ usableProcessors: 1_000, nextEndMs: 19 }, 1_950), undefined)
    assert.equal(headroom.computeLimit({ usableProcessors: 1_000, nextEndMs: 100 }, 9_000), undefined)
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
    for (const cost of costs) assert.ok(cost < 4, costs.join(' '))
    assert.ok(costs[2]! < costs[0]! * 1.5, costs.join(' '))
  })
})

/** @returns the number of comparisons and predictions that ordering the starts and shedding take */
function countOperations (size: number): number {
  let count = 0
  const contention = new Contention(() => { count++; return true })
  const owner = new FakeOwnerConnection('o')
  const jobs = Array.from({ length: size }, (_, index) => {
    const job = new DispatchedJob({ job: { ...createJob(`j${index}`), priority: index % 3 }, ageMs: (index * 7_919) % 5_003, resubmitted: false, quietInMs: 0, done: [] }, owner, 0)
    return Object.defineProperty(job, 'priority', { get: () => { count++; return index % 3 } })
  })
  const sorted = sortQueue(jobs, 0, contention.predictRemainingMs)
  selectJobsToShed(sorted, sumWaitingWork, 1_000, 0, contention.predictRemainingMs)
  const compare = contention.createComparison('s', 0)
  for (const job of jobs) compare(job, jobs[0]!)
  return count
}
