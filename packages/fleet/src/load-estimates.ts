import { type LoadEstimate } from './admission.js'
import { type DispatchedJob } from './dispatched-job.js'
import { type LoadSummary } from './messages.js'
import { compareJobs } from './queue-order.js'
import { type TargetSession } from './target-session.js'

/** Part of the processors that tasks can use when they don't divide a target's room evenly. */
const packingShare = 0.85

/**
 * Sums the work of a job that has not started, in processor milliseconds.
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
 * Estimates what usable targets of a service do in a millisecond, in processor milliseconds.
 */
export function estimateThroughput (sessions: Iterable<TargetSession>, service: string | undefined): number {
  let rate = 0
  for (const session of sessions) {
    if (service !== undefined && session.info.service !== service) continue
    if (!session.isSeen || session.isSilent || session.info.draining || session.health.onProbation) continue
    rate += session.info.capacity.processors / session.health.slowness
  }
  return rate * packingShare
}

/**
 * Estimates the load that goes before a job in the queue.
 *
 * @param queue - jobs with waiting tasks
 */
export function estimateLoad (queue: Iterable<DispatchedJob>, ratePerMs: number, job: DispatchedJob): LoadEstimate {
  let work = 0
  for (const other of queue) {
    if (other.spec.service === job.spec.service && compareJobs(other, job) <= 0) work += sumWaitingWork(other)
  }
  return { workAhead: work, throughput: ratePerMs }
}

/**
 * Summarises the load for the owners, who choose between domains by it.
 */
export function summarizeLoad (sessions: Iterable<TargetSession>, queue: readonly DispatchedJob[], now: number): LoadSummary {
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
  const rate = estimateThroughput(list, undefined)
  const work = queue.reduce((sum, job) => sum + sumWaitingWork(job), 0)
  const waitMs = work === 0 ? 0 : rate > 0 ? work / rate : 60_000
  return { freeProcessors: free, usableProcessors: usable, waitMs: Math.round(waitMs), queuedJobs: queue.length, largestFree: largest }
}
