import { collectBy } from './history-grouping.js'
import { type CallRecord, type History, type JobRecord, type Violation } from './history-records.js'
import { readReplyBody } from './history-replies.js'

/**
 * Checks I4: a rejection as not run must hold for the whole job, not only for the request. No task
 * of the job may have started before the rejected request was sent, and none may ever start when
 * every submission of the job was rejected.
 *
 * @returns at most one violation for each job
 */
export function checkRejections (history: History): readonly Violation[] {
  const firstStarts = new Map<string, number>()
  for (const { tag, at } of history.starts) firstStarts.set(tag, Math.min(at, firstStarts.get(tag) ?? Infinity))
  const submissions = collectBy(history.calls.filter(({ op }) => op === 'submit'), call => call.job ?? '')
  return history.jobs.flatMap(job => checkJobRejections(job, submissions.get(job.job) ?? [], firstStarts))
}

function checkJobRejections (job: JobRecord, submissions: readonly CallRecord[], firstStarts: ReadonlyMap<string, number>): readonly Violation[] {
  const areAllRejected = submissions.every(call => call.reply.kind === 'refused' || isRejectedAsNotRun(call))
  for (const call of submissions.filter(isRejectedAsNotRun)) {
    const forbiddenBefore = areAllRejected ? Infinity : call.sentAt
    const started = job.tags.filter(tag => (firstStarts.get(tag) ?? Infinity) < forbiddenBefore)
    if (started.length === 0) continue
    const name = String(readReplyBody(call)?.name ?? call.reply.kind)
    return [{ invariant: 'I4', message: `${job.job} was rejected by ${call.via} as not run (${name}), but ${started.length} of its tasks were started, first ${started[0]!}` }]
  }
  return []
}

function isRejectedAsNotRun (call: CallRecord): boolean {
  return readReplyBody(call)?.notRun === true
}
