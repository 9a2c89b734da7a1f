import { type Demand } from '@sesamereel/state'
import { type StepSpec } from './job-types.js'
import { type TargetInfo } from './target-types.js'

/** A target that may take a task, as placement sees it. */
export interface Candidate {
  readonly info: TargetInfo
  readonly free: Demand
  /** Learned run time relative to the estimate. */
  readonly slowness: number
}

/** Targets whose slowness differs by less than this factor count as equally fast. */
const sameSpeedFactor = 1.15

/** A target this many times slower than the median is left idle while a faster one is soon free. */
const slowFactor = 2

/**
 * Decides up to which slowness targets get work. Under load every target is in use, and a task on
 * a very slow one ends later than if it had waited for a faster one.
 *
 * @param slownesses - of all usable targets, with or without room
 * @param waitMs - predicted wait for room
 * @param estimateMs - estimate of the task
 */
export function limitSlowness (slownesses: readonly number[], waitMs: number, estimateMs: number): number {
  if (slownesses.length === 0) return Infinity
  const median = [...slownesses].sort((a, b) => a - b)[Math.floor(slownesses.length / 2)]!
  return median * slowFactor + waitMs / Math.max(1, estimateMs)
}

/**
 * Decides whether a demand fits into free room.
 */
export function hasRoom (free: Demand, demand: Demand): boolean {
  return free.processors >= demand.processors && free.memoryMb >= demand.memoryMb && free.accelerators >= demand.accelerators
}

/**
 * Decides whether a target could ever run a task of the step.
 */
export function isEligible (info: TargetInfo, service: string, step: StepSpec): boolean {
  return info.service === service && hasRoom(info.capacity, step.demand) &&
    (step.requiredLabel === undefined || info.labels.includes(step.requiredLabel))
}

/**
 * Picks the target for one task: the fastest that has room, and among equally fast ones the one
 * that the task fills best, so that large tasks still find room under load.
 *
 * @param candidates - usable targets
 * @param countAt - counts the step's tasks that run at a target
 * @param remoteFactor - run time away from the rack of the data, relative to it
 * @param slowestAllowed - slower targets are passed over
 * @returns undefined when no candidate fits
 */
export function pickTarget<C extends Candidate> (candidates: readonly C[], service: string, step: StepSpec, countAt: (candidate: C) => number, remoteFactor: number, slowestAllowed = Infinity): C | undefined {
  let best: C | undefined
  let bestSlowness = Infinity
  let bestLeft = Infinity
  for (const candidate of candidates) {
    const { free } = candidate
    if (candidate.slowness > slowestAllowed || !hasRoom(free, step.demand) || !isEligible(candidate.info, service, step)) continue
    if (step.maxPerTarget !== undefined && countAt(candidate) >= step.maxPerTarget) continue
    const isRemote = step.dataRack !== undefined && !candidate.info.labels.includes(step.dataRack)
    const slowness = candidate.slowness * (isRemote ? remoteFactor : 1)
    const left = free.processors - step.demand.processors
    const isFaster = slowness * sameSpeedFactor < bestSlowness
    const isAsFast = slowness <= bestSlowness * sameSpeedFactor
    if (isFaster || (isAsFast && left < bestLeft)) {
      best = candidate
      bestSlowness = slowness
      bestLeft = left
    }
  }
  return best
}
