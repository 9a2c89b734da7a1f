import { type Demand } from '@sesamereel/state'
import { hasCapacity } from './placement.js'

/** Fraction of the run time saved near the data that a wait may take while no other queued task could use the remote place. */
const idleFraction = 0.5

/** The same while other tasks are queued: the remote place is then used by one of them, and the shorter run leaves them more capacity. */
const loadedFraction = 1

/** Time in milliseconds by which a wait ends before the latest remote start that is on time: a round comes at least each 50 ms, and an order takes a few ms. */
const startMarginMs = 60

/** Progress in percent from which the end of a run is extrapolated from it. */
const minPercent = 10

/** Waits that are considered for one rack in one round; tasks beyond them start remotely. Bounds the cost of the round. */
const maxForecasts = 32

/** What is known of a run. Times are monotonic, in milliseconds. */
export interface RunProgress {
  readonly sentAt: number
  /** Progress in percent, as reported last. */
  readonly percent: number
  /** Time of that report. */
  readonly progressAt: number
}

/**
 * Predicts when a run ends: by its progress once that is known, before by its predicted run time. An overdue run is expected to
 * last as long again as it is overdue.
 *
 * @param predictedMs - predicted run time in milliseconds
 * @returns monotonic time in milliseconds, later than `now`
 */
export function predictEndAt (run: RunProgress, predictedMs: number, now: number): number {
  const totalMs = run.percent >= minPercent ? (run.progressAt - run.sentAt) * 100 / run.percent : predictedMs
  const endAt = run.sentAt + totalMs
  return endAt > now ? endAt : now + Math.max(1, now - endAt)
}

/** A target in the rack of the data, and the expected ends of its runs. */
export interface NearTarget {
  readonly id: string
  readonly labels: readonly string[]
  readonly free: Demand
  readonly slowness: number
  readonly ends: readonly ExpectedEnd[]
}

/** The expected end of a run, in monotonic milliseconds, and the capacity that it frees. */
export interface ExpectedEnd {
  readonly at: number
  readonly demand: Demand
}

/** The next place at a near target that a task can expect. */
export interface PlaceForecast {
  readonly targetId: string
  readonly at: number
  readonly slowness: number
  /** Counts on the place, so that later forecasts in the round don't. */
  readonly claim: (runMs: number) => void
}

interface Timeline {
  readonly target: NearTarget
  /** Capacity that is free from `freeAt` on, or now if that is undefined. */
  free: Demand
  freeAt: number | undefined
  /** Later ends in the order of time. */
  ends: readonly ExpectedEnd[]
}

/** Expected places at the targets of one rack during one round. Each task that waits claims the place that it counts on. */
export class RackForecast {
  readonly #timelines: readonly Timeline[]
  #left = maxForecasts

  constructor (targets: readonly NearTarget[]) {
    this.#timelines = targets.map(target => ({ target, free: target.free, freeAt: undefined, ends: sortEnds(target.ends) }))
  }

  /**
   * Finds the earliest place for a demand. Targets with room now don't count: placement has passed them over for another reason.
   *
   * @param requiredLabel - label that the target must have, if any
   * @returns undefined when no place is expected, or too many tasks have asked in this round
   */
  findPlace (demand: Demand, requiredLabel?: string): PlaceForecast | undefined {
    if (this.#left <= 0) return undefined
    this.#left--
    let best: PlaceForecast | undefined
    for (const timeline of this.#timelines) {
      if (requiredLabel !== undefined && !timeline.target.labels.includes(requiredLabel)) continue
      const place = findPlaceAt(timeline, demand)
      if (place !== undefined && place.at < (best?.at ?? Infinity)) best = place
    }
    return best
  }
}

function findPlaceAt (timeline: Timeline, demand: Demand): PlaceForecast | undefined {
  let { free, freeAt: at } = timeline
  if (at === undefined && hasCapacity(free, demand)) return undefined
  let passed = 0
  while (at === undefined || !hasCapacity(free, demand)) {
    const end = timeline.ends[passed]
    if (end === undefined) return undefined
    passed++
    at = end.at
    free = addDemand(free, end.demand, 1)
  }
  const placeAt = at
  const claim = (runMs: number): void => {
    timeline.free = addDemand(free, demand, -1)
    timeline.freeAt = placeAt
    timeline.ends = sortEnds([...timeline.ends.slice(passed), { at: placeAt + runMs, demand }])
  }
  return { targetId: timeline.target.id, at: placeAt, slowness: timeline.target.slowness, claim }
}

function sortEnds (ends: readonly ExpectedEnd[]): ExpectedEnd[] {
  return [...ends].sort((a, b) => a.at - b.at)
}

function addDemand (a: Demand, b: Demand, sign: 1 | -1): Demand {
  return { processors: a.processors + sign * b.processors, memoryMb: a.memoryMb + sign * b.memoryMb, accelerators: a.accelerators + sign * b.accelerators }
}

/** Inputs of the decision whether a task waits for a place near its data. Times are monotonic, in milliseconds. */
export interface LocalityInputs {
  readonly now: number
  /** Time at which the task was first kept waiting for such a place; `now` if it was not. */
  readonly since: number
  /** Expected time of the next near place. */
  readonly nearAt: number
  /** Predicted run time of the task there, and at the remote target that has room now. */
  readonly nearMs: number
  readonly remoteMs: number
  /** Predicted time from the end of the task until the job ends. */
  readonly restMs: number
  /** Time until which the job is on time, and until which a late answer is of use. */
  readonly objectiveAt: number
  readonly usefulUntil: number
  /** Whether other queued tasks may use the remote target. */
  readonly isLoaded: boolean
}

/**
 * Computes until when a task may wait for a place near its data although a remote target has room; not later than `since` if it
 * may not. Answers the load pattern of a rack that many jobs want: started remotely at once, their longer runs take the capacity
 * of others, which then find their own racks occupied.
 *
 * A wait takes at most a part of the time that the near run saves, counted from the first wait of the task, so that waits
 * don't follow each other. A job that was on time remotely when the wait began has to be so when it ends. A job that was
 * late remotely already then may wait as long as it is on time near its data, and of use remotely.
 */
export function computeWaitEnd ({ since, nearMs, remoteMs, restMs, objectiveAt, usefulUntil, isLoaded }: LocalityInputs): number {
  const worthwhileUntil = since + (isLoaded ? loadedFraction : idleFraction) * (remoteMs - nearMs)
  const latestRemoteStartAt = objectiveAt - restMs - remoteMs
  if (since > latestRemoteStartAt) return Math.min(worthwhileUntil, objectiveAt - restMs - nearMs, usefulUntil - restMs - remoteMs - startMarginMs)
  return Math.min(worthwhileUntil, latestRemoteStartAt - startMarginMs)
}

/** @returns whether the task waits: the near place is expected, and the wait can end, in time */
export function shouldWait (inputs: LocalityInputs): boolean {
  const endsAt = computeWaitEnd(inputs)
  return inputs.now < endsAt && inputs.nearAt <= endsAt
}
