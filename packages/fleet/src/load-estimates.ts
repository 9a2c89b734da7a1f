import { type LoadEstimate } from './admission.js'
import { type DispatchedJob } from './dispatched-job.js'
import { type LoadSummary } from './messages.js'
import { compareJobs } from './queue-order.js'
import { type TargetSession } from './target-session.js'

/**
 * Sums the estimated work of the job's tasks that have not started.
 *
 * @returns milliseconds times thousandths of a core
 */
export function sumWaitingWork (job: DispatchedJob): number {
  let work = 0
  for (const task of job.tasks) {
    if (task.state !== 'waiting' && task.state !== 'unlocated') continue
    const step = job.getStep(task)
    work += step.estimateMs * step.demand.processors
  }
  return work
}

/**
 * Estimates the throughput of the usable targets of a service if all their processors were in use.
 *
 * @param service - `undefined` for the targets of all services
 * @returns work per millisecond, in thousandths of a core
 */
export function estimateNominalThroughput (sessions: Iterable<TargetSession>, service: string | undefined): number {
  let processors = 0
  for (const session of sessions) {
    if (service !== undefined && session.info.service !== service) continue
    if (!session.isSeen || session.isSilent || session.info.draining || session.health.isOnProbation) continue
    processors += session.info.capacity.processors / session.health.slowness
  }
  return processors
}

/**
 * Quantile of the targets' slowness that counts as usual: below a half, so that of two speeds in equal numbers the
 * faster counts, which placement prefers; not much lower, as a few targets may fail fast or lie.
 */
const usualQuantile = 0.4

/**
 * Computes the usual slowness of targets, for predictions of how fast a task can be.
 *
 * @returns 1 without targets
 */
export function computeUsualSlowness (slowness: readonly number[]): number {
  return [...slowness].sort((a, b) => a - b)[Math.floor(slowness.length * usualQuantile)] ?? 1
}

/**
 * Estimates the load that comes before a job in the queue.
 *
 * @param queue - jobs with waiting tasks
 * @param throughput - work that the targets complete per millisecond, in thousandths of a core
 * @param compare - orders two jobs by when they start
 */
export function estimateLoad (queue: Iterable<DispatchedJob>, throughput: number, job: DispatchedJob, compare: (a: DispatchedJob, b: DispatchedJob) => number = compareJobs): LoadEstimate {
  let work = 0
  for (const other of queue) {
    if (other.spec.service === job.spec.service && compare(other, job) <= 0) work += sumWaitingWork(other)
  }
  return { workAhead: work, throughput }
}

/**
 * Summarizes the load for the owners, which use it to choose a domain.
 *
 * @param efficiency - fraction of the nominal throughput that tasks get
 * @param delayMs - time that the dispatcher's process adds to a job, in milliseconds
 */
export function summarizeLoad (sessions: Iterable<TargetSession>, queue: readonly DispatchedJob[], now: number, efficiency: number, delayMs: number): LoadSummary {
  const list = [...sessions]
  let free = 0
  let usable = 0
  let largest = 0
  for (const session of list) {
    if (!session.isUsable(now)) continue
    usable += session.info.capacity.processors
    free += session.freeCapacity.processors
    largest = Math.max(largest, session.freeCapacity.processors)
  }
  const throughput = estimateNominalThroughput(list, undefined) * efficiency
  const work = queue.reduce((sum, job) => sum + sumWaitingWork(job), 0)
  const queueWaitMs = work === 0 ? 0 : throughput > 0 ? work / throughput : 60_000
  return { freeProcessors: free, usableProcessors: usable, waitMs: Math.round(queueWaitMs + delayMs), queuedJobs: queue.length, largestFree: largest }
}
