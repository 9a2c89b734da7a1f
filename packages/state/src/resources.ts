/** Amounts in the four resource dimensions that a plan limits. */
export interface ResourceVector {
  /** Processors in thousandths of a core. */
  readonly processors: number
  /** Memory in megabytes. */
  readonly memoryMb: number
  /** Whole accelerators. */
  readonly accelerators: number
  /** Number of tasks that run in parallel. */
  readonly parallel: number
}

/** Resources that one task declares to need; each task counts as one parallel task. */
export type Demand = Omit<ResourceVector, 'parallel'>

export const resourceDimensions = ['processors', 'memoryMb', 'accelerators', 'parallel'] as const

export type ResourceDimension = (typeof resourceDimensions)[number]

export const zeroResources: ResourceVector = { processors: 0, memoryMb: 0, accelerators: 0, parallel: 0 }

/**
 * Converts a task's demand into the vector that the task uses.
 *
 * @param demand - the declared demand of one task
 * @returns the demand with one parallel task
 */
export function createTaskVector (demand: Demand): ResourceVector {
  return { processors: demand.processors, memoryMb: demand.memoryMb, accelerators: demand.accelerators, parallel: 1 }
}

/**
 * Adds two vectors.
 *
 * @returns the sum in each dimension
 */
export function addResources (a: ResourceVector, b: ResourceVector): ResourceVector {
  return {
    processors: a.processors + b.processors,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
    parallel: a.parallel + b.parallel
  }
}

/**
 * Subtracts `b` from `a`; a dimension may become negative.
 *
 * @returns the difference in each dimension
 */
export function subtractResources (a: ResourceVector, b: ResourceVector): ResourceVector {
  return {
    processors: a.processors - b.processors,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators,
    parallel: a.parallel - b.parallel
  }
}

/**
 * Multiplies a vector by a non-negative whole number.
 *
 * @returns the product in each dimension
 */
export function multiplyResources (a: ResourceVector, factor: number): ResourceVector {
  return {
    processors: a.processors * factor,
    memoryMb: a.memoryMb * factor,
    accelerators: a.accelerators * factor,
    parallel: a.parallel * factor
  }
}

/**
 * Clamps each dimension to the range from zero to the bound.
 *
 * @returns the clamped vector
 */
export function clampResources (a: ResourceVector, bound: ResourceVector): ResourceVector {
  const clamp = (value: number, upper: number): number => Math.max(0, Math.min(value, upper))
  return {
    processors: clamp(a.processors, bound.processors),
    memoryMb: clamp(a.memoryMb, bound.memoryMb),
    accelerators: clamp(a.accelerators, bound.accelerators),
    parallel: clamp(a.parallel, bound.parallel)
  }
}

/**
 * Tells whether an amount fits within a bound in every dimension.
 *
 * @returns true when no dimension of `amount` is above `bound`
 */
export function isWithin (amount: ResourceVector, bound: ResourceVector): boolean {
  return amount.processors <= bound.processors && amount.memoryMb <= bound.memoryMb &&
    amount.accelerators <= bound.accelerators && amount.parallel <= bound.parallel
}

/**
 * Tells whether every dimension is zero.
 *
 * @returns true for the zero vector
 */
export function isZero (a: ResourceVector): boolean {
  return a.processors === 0 && a.memoryMb === 0 && a.accelerators === 0 && a.parallel === 0
}

/**
 * Computes the dominant share: the largest ratio of use to limit over the dimensions.
 * A dimension with limit zero counts only when it is used, and then as 1.
 *
 * @returns a ratio, 0 when nothing is used
 */
export function computeDominantShare (use: ResourceVector, limit: ResourceVector): number {
  let dominant = 0
  for (const dimension of resourceDimensions) {
    if (use[dimension] === 0) continue
    const share = limit[dimension] === 0 ? 1 : use[dimension] / limit[dimension]
    if (share > dominant) dominant = share
  }
  return dominant
}
