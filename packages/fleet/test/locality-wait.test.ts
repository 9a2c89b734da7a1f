import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RunTimeModel } from '../src/index.js'
import { computeWaitEnd, type LocalityInputs, predictEndAt, RackForecast, shouldWait } from '../src/locality-wait.js'
import { bursts, playReplay, type ReplayLoad, type Tally, waves } from './contention-replay.js'

const racks = { count: 4, share: 0.7, hotShare: 0.5, remoteFactor: 2, slack: 4 }

/** Loads with a hot rack: half of the jobs that name one of four racks name the same. */
const loads: Readonly<Record<string, ReplayLoad>> = {
  'bursts beyond the capacity': { ...bursts, racks },
  'a load well below the capacity': { ...bursts, burstLoad: 0.6, racks },
  'jobs that are late outside their rack': { ...bursts, racks: { ...racks, slack: 1.6 } },
  'waves and a small remote factor': { ...waves, racks: { ...racks, remoteFactor: 1.5, slack: 1.6 } }
}

function playSeeds (load: ReplayLoad, waitsForLocality: boolean): readonly Tally[] {
  const tallies = [1, 2, 3, 4].map(seed => playReplay({ model: new RunTimeModel(), waitsForLocality }, load, seed))
  return tallies[0]!.map((_, queue) => {
    const sum = { ...tallies[0]![queue]! }
    for (const tally of tallies.slice(1)) for (const key of Object.keys(sum) as Array<keyof Tally>) sum[key] += tally[queue]![key]
    return sum
  })
}

function sum (tallies: readonly Tally[], key: keyof Tally): number {
  return tallies.reduce((total, tally) => total + tally[key], 0)
}

describe('waiting for a place near the data', () => {
  for (const [name, load] of Object.entries(loads)) {
    it(`answers more jobs on time with fewer remote starts, and no queue clearly fewer, in ${name}`, () => {
      const without = playSeeds(load, false)
      const waiting = playSeeds(load, true)
      const figures = JSON.stringify({ without, waiting })
      assert.ok(sum(waiting, 'onTime') > sum(without, 'onTime') * 1.015, figures)
      assert.ok(sum(waiting, 'remote') < sum(without, 'remote') * 0.97, figures)
      assert.ok(sum(waiting, 'rejected') <= sum(without, 'rejected'), figures)
      for (const [queue, { onTime }] of without.entries()) assert.ok(waiting[queue]!.onTime > onTime * 0.97, figures)
    })
  }

  it('changes nothing when no step names a rack', () => {
    assert.deepEqual(playReplay({ waitsForLocality: true }, bursts, 1), playReplay({}, bursts, 1))
  })
})

describe('the end of a wait', () => {
  const inputs: LocalityInputs = { now: 1_000, since: 1_000, nearAt: 1_080, nearMs: 200, remoteMs: 400, restMs: 0, objectiveAt: 5_000, usefulUntil: 9_000, isLoaded: false }

  it('is bounded by the time that the near run saves, counted from the first wait', () => {
    assert.equal(computeWaitEnd(inputs), 1_100)
    assert.equal(computeWaitEnd({ ...inputs, isLoaded: true }), 1_200)
    assert.equal(shouldWait(inputs), true)
    assert.equal(shouldWait({ ...inputs, nearAt: 1_101 }), false)
    // A place that is late again and again must not extend the wait.
    assert.equal(shouldWait({ ...inputs, now: 1_100, nearAt: 1_100 }), false)
    // A target that is slower than the remote one saves nothing.
    assert.equal(shouldWait({ ...inputs, nearMs: 400, nearAt: 1_001 }), false)
  })

  it('leaves the time for a remote start that is on time, with the steps that follow', () => {
    assert.equal(computeWaitEnd({ ...inputs, objectiveAt: 1_500 }), 1_040)
    assert.equal(computeWaitEnd({ ...inputs, objectiveAt: 1_600, restMs: 100 }), 1_040)
    assert.equal(shouldWait({ ...inputs, objectiveAt: 1_430, nearAt: 1_001 }), false)
  })

  it('may exceed that time only if the job was late remotely when the wait began, and not beyond its use', () => {
    assert.equal(computeWaitEnd({ ...inputs, objectiveAt: 1_290 }), 1_090)
    assert.equal(computeWaitEnd({ ...inputs, objectiveAt: 1_290, usefulUntil: 1_500 }), 1_040)
    assert.equal(shouldWait({ ...inputs, objectiveAt: 1_190, nearAt: 1_001 }), false)
    assert.equal(shouldWait({ ...inputs, now: 1_050, objectiveAt: 1_440, nearAt: 1_060 }), false)
  })
})

describe('the places that a rack is expected to have', () => {
  const demand = { processors: 2, memoryMb: 0, accelerators: 0 }
  const full = { processors: 0, memoryMb: 0, accelerators: 0 }
  const target = { id: 't', labels: ['ssd'], free: full, slowness: 1, ends: [{ at: 90, demand }, { at: 50, demand }] }

  it('are counted on by one task each', () => {
    const forecast = new RackForecast([target])
    const times = [1, 2, 3, 4].map(() => {
      const place = forecast.findPlace(demand)!
      place.claim(100)
      return place.at
    })
    assert.deepEqual(times, [50, 90, 150, 190])
  })

  it('combine the ends of small runs, respect labels, and leave out targets with room now', () => {
    const wide = { ...demand, processors: 4 }
    assert.equal(new RackForecast([target]).findPlace(wide)?.at, 90)
    assert.equal(new RackForecast([target]).findPlace({ ...demand, processors: 5 }), undefined)
    assert.equal(new RackForecast([target]).findPlace(demand, 'gpu'), undefined)
    assert.equal(new RackForecast([target]).findPlace(demand, 'ssd')?.at, 50)
    assert.equal(new RackForecast([{ ...target, free: demand }]).findPlace(demand), undefined)
  })

  it('are computed for a bounded number of tasks in a round', () => {
    const forecast = new RackForecast([target])
    const found = Array.from({ length: 10_000 }, () => forecast.findPlace(demand)).filter(place => place !== undefined)
    assert.equal(found.length, 32)
  })

  it('follow the progress of a run, and an overdue run is not expected at once', () => {
    assert.equal(predictEndAt({ sentAt: 0, percent: 5, progressAt: 50 }, 200, 60), 200)
    assert.equal(predictEndAt({ sentAt: 0, percent: 20, progressAt: 100 }, 200, 120), 500)
    assert.equal(predictEndAt({ sentAt: 0, percent: 0, progressAt: 0 }, 200, 260), 320)
  })
})
