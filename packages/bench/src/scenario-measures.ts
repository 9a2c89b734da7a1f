import { type History, type StartRecord } from './history-records.js'
import { type HttpCallResult } from './http-call.js'

/** Shorter faults say nothing about the part of the load that is served meanwhile. */
const minFaultMs = 3_000

/** Reads the code of the failure with which a job ended, or of the error with which a call did. */
export function readCode (reply: HttpCallResult): string {
  if (reply.kind !== 'answered') return reply.kind
  const { name, state, failure } = (reply.body ?? {}) as { name?: unknown, state?: unknown, failure?: { code?: unknown, message?: unknown } }
  if (state === 'failed') return `failed-${String(failure?.code)}`
  return typeof name === 'string' ? name : String(reply.status)
}

/**
 * Computes which part of the work that was submitted while faults lasted also ended while they
 * lasted. Leaves out the last second of each fault, in which work may still be under way.
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
    const fault = lasting.find(({ from, to }) => sentAt >= from && sentAt <= to - 1_000)
    if (fault === undefined) continue
    offered += tags.length
    served += tags.filter(tag => (ends.get(tag) ?? Infinity) <= fault.to).length
  }
  return offered === 0 ? {} : { tasksOfferedInFaults: offered, servedPercent: Math.round(served / offered * 1_000) / 10 }
}

/** Counts the starts of the tag that started most often. */
export function countMost (starts: readonly StartRecord[]): number {
  const counts = new Map<string, number>()
  for (const { tag } of starts) counts.set(tag, (counts.get(tag) ?? 0) + 1)
  return Math.max(0, ...counts.values())
}
