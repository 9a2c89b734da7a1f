import { type DispatchedJob } from './dispatched-job.js'

/** @returns the key of a job's queue: jobs of one service and priority have one */
export function formatQueueKey (job: DispatchedJob): string {
  return `${job.spec.service} ${job.priority}`
}
