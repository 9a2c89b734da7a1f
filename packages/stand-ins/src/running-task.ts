import { type TaskEnd } from '@sesamereel/protocol'
import { type Demand } from '@sesamereel/state'
import { type TaskWork } from './task-payload.js'

/** Task that a target is running. All times are monotonic milliseconds. */
export interface RunningTask {
  readonly id: string
  readonly work: TaskWork
  readonly demand: Demand
  readonly startedAt: number
  readonly leaseEndsAt: number
  /** Time at which the work is done; postponed by the length of each freeze. */
  dueAt: number
  timer: NodeJS.Timeout | undefined
  /** Receives the end of the task. */
  readonly report: (end: TaskEnd) => void
}

/**
 * Tells whether a task uses more memory than it declared.
 */
export function isOverMemory (task: RunningTask): boolean {
  return task.work.memoryMb > task.demand.memoryMb
}

/**
 * Computes when a task ends: when its work is done or its lease ends, whichever comes first.
 *
 * @returns the monotonic time in milliseconds
 */
export function computeEndTime (task: RunningTask): number {
  return Math.min(task.dueAt, task.leaseEndsAt)
}

/**
 * Computes when the timer of a task fires. A task that uses too much memory is stopped halfway
 * through its work.
 *
 * @returns the monotonic time in milliseconds
 */
export function computeStopTime (task: RunningTask): number {
  const stopAt = isOverMemory(task) ? (task.startedAt + task.dueAt) / 2 : task.dueAt
  return Math.min(stopAt, task.leaseEndsAt)
}

/**
 * Decides how a task ends that nobody cancelled.
 *
 * @returns the outcome with its run time
 */
export function decideEnd (task: RunningTask): TaskEnd {
  const runMs = computeEndTime(task) - task.startedAt
  if (isOverMemory(task)) return { outcome: 'over-memory', runMs }
  if (task.leaseEndsAt < task.dueAt) return { outcome: 'timed-out', runMs }
  if (task.work.fail !== undefined) return { outcome: 'failed', message: task.work.fail, runMs }
  return { outcome: 'succeeded', result: task.work.result, runMs }
}
