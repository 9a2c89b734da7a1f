import { createTaskVector, type Demand, resourceDimensions, type ResourceVector } from '@sesamereel/state'

/** Input for the lower bound of a job's response time. */
export interface IdealInput {
  /** Actual work of each task in milliseconds at speed 1, and its declared demand. */
  readonly tasks: ReadonlyArray<{ readonly workMs: number, readonly demand: Demand }>
  /** Resources that the customer's plan allows in use at the same time. */
  readonly limit: ResourceVector
  /** Speeds of all slots in each domain, fastest first. All tasks of a job run in one domain. */
  readonly slotSpeeds: ReadonlyArray<readonly number[]>
  /** One-way delay between client and instance in milliseconds. */
  readonly clientDelayMs: number
}

/**
 * Computes a lower bound for the response time of a job. docs/measures.md proves that no scheduler can
 * be faster.
 *
 * @returns milliseconds
 */
export function computeIdealResponseMs (input: IdealInput): number {
  const domainBounds = input.slotSpeeds.filter(speeds => speeds.length > 0).map(speeds => computeDomainBound(input, speeds))
  return 2 * input.clientDelayMs + Math.min(...domainBounds)
}

/** Computes the lower bound of the run time in one domain, in milliseconds. */
function computeDomainBound ({ tasks, limit }: IdealInput, speeds: readonly number[]): number {
  const works = tasks.map(task => task.workMs).sort((a, b) => b - a)
  const parallel = Math.min(speeds.length, limit.parallel, works.length)
  let workSum = 0
  let speedSum = 0
  let bound = 0
  // The k + 1 longest tasks cannot finish sooner than on the k + 1 fastest slots in parallel.
  for (let k = 0; k < parallel; k++) {
    workSum += works[k]!
    speedSum += speeds[k]!
    bound = Math.max(bound, workSum / speedSum)
  }
  const totalWork = works.reduce((sum, work) => sum + work, 0)
  return Math.max(bound, totalWork / speedSum, computeResourceBound(tasks, limit, speeds[0]!))
}

/**
 * Computes the lower bound that the plan sets: each task holds its demand for at least its work at the
 * highest speed, and the plan limits the sum of the demands held at any time.
 */
function computeResourceBound (tasks: IdealInput['tasks'], limit: ResourceVector, highestSpeed: number): number {
  let bound = 0
  for (const dimension of resourceDimensions) {
    const resourceMs = tasks.reduce((sum, task) => sum + createTaskVector(task.demand)[dimension] * task.workMs / highestSpeed, 0)
    if (resourceMs > 0) bound = Math.max(bound, resourceMs / limit[dimension])
  }
  return bound
}
