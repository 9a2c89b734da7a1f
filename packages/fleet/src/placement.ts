import { type Demand } from '@sesamereel/state'
import { type StepSpec } from './job-types.js'
import { type TargetInfo } from './target-types.js'

/** A target that may be chosen for a task. */
export interface Candidate {
  readonly info: TargetInfo
  readonly freeCapacity: Demand
  /** Observed run time relative to the estimate; 1 is as estimated. */
  readonly slowness: number
}

/** Targets whose slowness differs by at most this factor count as equally fast. */
const equalSpeedFactor = 1.15

/**
 * Decides whether free capacity covers a demand.
 */
export function hasCapacity (free: Demand, demand: Demand): boolean {
  return free.processors >= demand.processors && free.memoryMb >= demand.memoryMb && free.accelerators >= demand.accelerators
}

/**
 * Decides whether a target could run a task of the step if it were empty.
 */
export function isEligible (info: TargetInfo, service: string, step: StepSpec): boolean {
  return info.service === service && hasCapacity(info.capacity, step.demand) &&
    (step.requiredLabel === undefined || info.labels.includes(step.requiredLabel))
}

/**
 * Picks the target for one task: the fastest that has free capacity, and among equally fast ones the
 * one that is left with the fewest free processors, so that large tasks still fit somewhere under load.
 *
 * @param candidates - usable targets
 * @param countStepRuns - counts the step's runs at a target
 * @param remoteFactor - ratio of the run time outside the rack of the data to the run time inside
 * @returns undefined when no candidate fits
 */
export function pickTarget<C extends Candidate> (candidates: readonly C[], service: string, step: StepSpec, countStepRuns: (candidate: C) => number, remoteFactor: number): C | undefined {
  let best: C | undefined
  let bestSlowness = Infinity
  let bestRemaining = Infinity
  for (const candidate of candidates) {
    const { freeCapacity: free } = candidate
    if (!hasCapacity(free, step.demand) || !isEligible(candidate.info, service, step)) continue
    if (step.maxPerTarget !== undefined && countStepRuns(candidate) >= step.maxPerTarget) continue
    const isRemote = step.dataRack !== undefined && !candidate.info.labels.includes(step.dataRack)
    const slowness = candidate.slowness * (isRemote ? remoteFactor : 1)
    const remaining = free.processors - step.demand.processors
    const isFaster = slowness * equalSpeedFactor < bestSlowness
    const isAsFast = slowness <= bestSlowness * equalSpeedFactor
    if (isFaster || (isAsFast && remaining < bestRemaining)) {
      best = candidate
      bestSlowness = slowness
      bestRemaining = remaining
    }
  }
  return best
}
