import { countBy } from './counts.js'
import { type History, type StartRecord } from './history-records.js'
import { type HttpCallResult } from './http-call.js'

/** Faults shorter than this are too short to measure the served fraction of the load. */
const minFaultMs = 3_000

/** Work submitted in this last part of a fault may still be running when the fault ends. */
const faultTailMs = 1_000

/**
 * Reads what a call ended with, for counting.
 *
 * @returns `failed-CODE` for a failed job, the name of an error, the HTTP status, or the kind of a failed call
 */
export function readCode (reply: HttpCallResult): string {
  if (reply.kind !== 'answered') return reply.kind
  const { name, state, failure } = (reply.body ?? {}) as { name?: unknown, state?: unknown, failure?: { code?: unknown, message?: unknown } }
  if (state === 'failed') return `failed-${String(failure?.code)}`
  return typeof name === 'string' ? name : String(reply.status)
}

/**
 * Computes the percentage of tasks submitted during lasting faults that also succeeded before the
 * end of their fault. Tasks submitted in the last second of a fault are not counted.
 *
 * @returns figures for the report; none when no such task was submitted
 */
export function computeServed (history: History): Readonly<Record<string, number>> {
  const lasting = history.faults.filter(({ from, to }) => to !== Infinity && to - from >= minFaultMs)
  const ends = new Map(history.starts.filter(({ outcome }) => outcome === 'succeeded').map(({ tag, endedAt }) => [tag, endedAt]))
  const firstSent = new Map<string, number>()
  for (const { op, job, sentAt } of history.calls) {
    if (op === 'submit' && job !== undefined) firstSent.set(job, Math.min(sentAt, firstSent.get(job) ?? Infinity))
  }
  let offered = 0
  let served = 0
  for (const { job, tags } of history.jobs) {
    const sentAt = firstSent.get(job) ?? 0
    const fault = lasting.find(({ from, to }) => sentAt >= from && sentAt <= to - faultTailMs)
    if (fault === undefined) continue
    offered += tags.length
    served += tags.filter(tag => (ends.get(tag) ?? Infinity) <= fault.to).length
  }
  return offered === 0 ? {} : { tasksOfferedInFaults: offered, servedPercent: Math.round(served / offered * 1_000) / 10 }
}

/** Counts the starts of the task that was started most often. */
export function countMost (starts: readonly StartRecord[]): number {
  return Math.max(0, ...countBy(starts.map(({ tag }) => tag)).values())
}
