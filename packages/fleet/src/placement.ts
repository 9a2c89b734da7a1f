import { type Demand } from '@sesamereel/state'
import { type StepSpec } from './job-types.js'
import { type TargetInfo } from './target-types.js'

/** A target that may take a task, as placement sees it. */
export interface Candidate {
  readonly info: TargetInfo
  readonly freeCapacity: Demand
  /** Learned run time relative to the estimate. */
  readonly slowness: number
}

/** Targets whose slowness differs by less than this factor count as equally fast. */
const sameSpeedFactor = 1.15

/**
 * Decides whether a demand fits into free room.
 */
export function hasCapacity (free: Demand, demand: Demand): boolean {
  return free.processors >= demand.processors && free.memoryMb >= demand.memoryMb && free.accelerators >= demand.accelerators
}

/**
 * Decides whether a target could ever run a task of the step.
 */
export function isEligible (info: TargetInfo, service: string, step: StepSpec): boolean {
  return info.service === service && hasCapacity(info.capacity, step.demand) &&
    (step.requiredLabel === undefined || info.labels.includes(step.requiredLabel))
}

/**
 * Picks the target for one task: the fastest that has room, and among equally fast ones the one
 * that the task fills best, so that large tasks still find room under load.
 *
 * @param candidates - usable targets
 * @param countAt - counts the step's tasks that run at a target
 * @param remoteFactor - run time away from the rack of the data, relative to it
 * @returns undefined when no candidate fits
 */
export function pickTarget<C extends Candidate> (candidates: readonly C[], service: string, step: StepSpec, countAt: (candidate: C) => number, remoteFactor: number): C | undefined {
  let best: C | undefined
  let bestSlowness = Infinity
  let bestLeft = Infinity
  for (const candidate of candidates) {
    const { freeCapacity: free } = candidate
    if (!hasCapacity(free, step.demand) || !isEligible(candidate.info, service, step)) continue
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
