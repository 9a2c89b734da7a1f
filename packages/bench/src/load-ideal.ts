import { createTaskVector, type Demand, resourceDimensions, type ResourceVector } from '@sesamereel/state'

/** What the lower bound of a job's response time depends on. */
export interface IdealInput {
  /** Real work of each task in milliseconds at speed 1, with its demand. */
  readonly tasks: ReadonlyArray<{ readonly workMs: number, readonly demand: Demand }>
  /** Limit of the customer's plan. */
  readonly limit: ResourceVector
  /** Speeds of all slots of each domain, fastest first; a job runs in one domain. */
  readonly slotSpeeds: ReadonlyArray<readonly number[]>
  /** One-way delay between client and instance in milliseconds. */
  readonly clientDelayMs: number
}

/**
 * Computes a lower bound of the response time of a job; docs/measures.md shows why no scheduler
 * can beat it.
 *
 * @returns milliseconds
 */
export function computeIdealResponseMs (input: IdealInput): number {
  const runs = input.slotSpeeds.filter(speeds => speeds.length > 0).map(speeds => computeDomainBound(input, speeds))
  return 2 * input.clientDelayMs + Math.min(...runs)
}

function computeDomainBound ({ tasks, limit }: IdealInput, speeds: readonly number[]): number {
  const works = tasks.map(task => task.workMs).sort((a, b) => b - a)
  const parallel = Math.min(speeds.length, limit.parallel, works.length)
  let workSum = 0
  let speedSum = 0
  let bound = 0
  // The longest k tasks never run on more than the fastest k slots.
  for (let k = 0; k < parallel; k++) {
    workSum += works[k]!
    speedSum += speeds[k]!
    bound = Math.max(bound, workSum / speedSum)
  }
  const total = works.reduce((sum, work) => sum + work, 0)
  return Math.max(bound, total / speedSum, computeResourceBound(tasks, limit, speeds[0]!))
}

/** Each task holds its demand for at least its work at the highest speed, and the plan bounds the sum at any instant. */
function computeResourceBound (tasks: IdealInput['tasks'], limit: ResourceVector, fastest: number): number {
  let bound = 0
  for (const dimension of resourceDimensions) {
    const held = tasks.reduce((sum, task) => sum + createTaskVector(task.demand)[dimension] * task.workMs / fastest, 0)
    if (held > 0) bound = Math.max(bound, held / limit[dimension])
  }
  return bound
}
