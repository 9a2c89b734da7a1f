import { type Demand } from '@sesamereel/state'
import { type LoadRandom } from './load-random.js'
import { bodyRangeMs, declaredMemorySigma, declaredTimeSigma, type JobKind, type LoadProfile, longTail, taskTimeSigma } from './load-profiles.js'

/** One task of a generated job. */
export interface LoadTask {
  readonly kind: string
  /** What the stand-in target does; `result` is returned as the result, `tag` is kept in its records. */
  readonly payload: { readonly workMs: number, readonly memoryMb: number, readonly result: string, readonly tag: string }
  readonly demand: Demand
  /** Declared time, far from the real one. */
  readonly expectedMs: number
}

/** A generated job before it has a key. */
export interface LoadJob {
  readonly kind: string
  readonly customer: string
  readonly repeatable: boolean
  readonly tasks: readonly LoadTask[]
}

/**
 * Generates one job.
 *
 * @param random - source of everything that varies
 * @param profile - workload
 * @param name - unique name of the job, from which the results of its tasks are made
 * @returns the job
 */
export function generateJob (random: LoadRandom, profile: LoadProfile, name: string): LoadJob {
  const customer = profile.customers[random.pickIndex(profile.customers.map(({ weight }) => weight))]!
  const kind = profile.jobs[random.pickIndex(profile.jobs.map(({ weight }) => weight))]!
  const count = Math.floor(random.sampleUniform(kind.minTasks, kind.maxTasks + 1))
  const tasks = Array.from({ length: count }, (_, index) => createTask(random, kind, `${name}.${index}`))
  return { kind: kind.name, customer: customer.name, repeatable: kind.repeatable, tasks }
}

function createTask (random: LoadRandom, kind: JobKind, result: string): LoadTask {
  const isTail = random.sampleUniform(0, 1) < longTail.part
  const body = clamp(random.sampleLogNormal(kind.taskKind.medianMs, taskTimeSigma), bodyRangeMs.least, bodyRangeMs.most)
  const workMs = Math.round(isTail ? random.sampleUniform(longTail.leastMs, longTail.mostMs) : body)
  const memoryMb = Math.round(random.sampleUniform(50, 400))
  const declaredMemory = memoryMb * clamp(random.sampleLogNormal(2, declaredMemorySigma), 1, 10)
  return {
    kind: kind.taskKind.name,
    payload: { workMs, memoryMb, result, tag: result },
    demand: { processors: Math.round(random.sampleUniform(100, 1_000)), memoryMb: Math.ceil(declaredMemory), accelerators: 0 },
    expectedMs: Math.round(Math.min(10_000, workMs * clamp(random.sampleLogNormal(1, declaredTimeSigma), 0.1, 10)))
  }
}

/**
 * Computes the mean work of a job by sampling.
 *
 * @param random - a source of its own, so that the load stays the same
 * @returns milliseconds at speed 1
 */
export function estimateMeanJobWorkMs (random: LoadRandom, profile: LoadProfile): number {
  const samples = 20_000
  let sum = 0
  for (let i = 0; i < samples; i++) {
    for (const task of generateJob(random, profile, '').tasks) sum += task.payload.workMs
  }
  return sum / samples
}

function clamp (value: number, least: number, most: number): number {
  return Math.max(least, Math.min(most, value))
}
