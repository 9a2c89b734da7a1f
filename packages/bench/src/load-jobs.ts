import { type Demand } from '@sesamereel/state'
import { type LoadRandom } from './load-random.js'
import { bodyRangeMs, declaredMemorySigma, declaredTimeSigma, type JobKind, type LoadProfile, longTail, taskTimeSigma } from './load-profiles.js'

/** One task of a generated job. */
export interface LoadTask {
  readonly kind: string
  /** Instructions for the stand-in target: it returns `result` as the task's result and writes `tag` to its records. */
  readonly payload: { readonly workMs: number, readonly memoryMb: number, readonly result: string, readonly tag: string }
  readonly demand: Demand
  /** Declared run time in milliseconds; often far from the actual one. */
  readonly expectedMs: number
}

/** A generated job that has no key yet. */
export interface LoadJob {
  readonly kind: string
  readonly customer: string
  readonly repeatable: boolean
  readonly tasks: readonly LoadTask[]
}

/**
 * Generates a job at random.
 *
 * @param random - source of all random choices
 * @param profile - workload to draw the job from
 * @param name - unique name of the job; the results of its tasks are derived from it
 */
export function generateJob (random: LoadRandom, profile: LoadProfile, name: string): LoadJob {
  const customer = profile.customers[random.pickIndex(profile.customers.map(({ weight }) => weight))]!
  const kind = profile.jobs[random.pickIndex(profile.jobs.map(({ weight }) => weight))]!
  const count = Math.floor(random.sampleUniform(kind.minTasks, kind.maxTasks + 1))
  const tasks = Array.from({ length: count }, (_, index) => createTask(random, kind, `${name}.${index}`))
  return { kind: kind.name, customer: customer.name, repeatable: kind.repeatable, tasks }
}

function createTask (random: LoadRandom, kind: JobKind, result: string): LoadTask {
  const isLongTail = random.sampleUniform(0, 1) < longTail.fraction
  const bodyWorkMs = clamp(random.sampleLogNormal(kind.taskKind.medianMs, taskTimeSigma), bodyRangeMs.min, bodyRangeMs.max)
  const workMs = Math.round(isLongTail ? random.sampleUniform(longTail.minMs, longTail.maxMs) : bodyWorkMs)
  const memoryMb = Math.round(random.sampleUniform(50, 400))
  const declaredMemoryMb = memoryMb * clamp(random.sampleLogNormal(2, declaredMemorySigma), 1, 10)
  return {
    kind: kind.taskKind.name,
    payload: { workMs, memoryMb, result, tag: result },
    demand: { processors: Math.round(random.sampleUniform(100, 1_000)), memoryMb: Math.ceil(declaredMemoryMb), accelerators: 0 },
    expectedMs: Math.round(Math.min(10_000, workMs * clamp(random.sampleLogNormal(1, declaredTimeSigma), 0.1, 10)))
  }
}

/**
 * Estimates the mean work of a job by sampling.
 *
 * @param random - a separate source, so that the sampling does not change the generated load
 * @returns milliseconds at speed 1
 */
export function estimateMeanJobWorkMs (random: LoadRandom, profile: LoadProfile): number {
  const sampleCount = 20_000
  let totalMs = 0
  for (let i = 0; i < sampleCount; i++) {
    for (const task of generateJob(random, profile, '').tasks) totalMs += task.payload.workMs
  }
  return totalMs / sampleCount
}

function clamp (value: number, min: number, max: number): number {
  return Math.max(min, Math.min(max, value))
}
