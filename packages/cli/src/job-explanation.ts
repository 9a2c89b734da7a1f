import { isAboutJob, type LogLine, type LogValue } from './job-log.js'

/** Events of runs that did not end well, so that their tasks started again. */
const repeatEvents: ReadonlySet<string> = new Set(['run-stalled', 'run-lost', 'start-rejected', 'start-unconfirmed'])

/** Slowness from which a target counts as the cause of a late answer. */
const slowRatio = 1.5

/** What became of a job, and why, as far as the logs tell. */
export interface JobExplanation {
  readonly outcome: 'refused' | 'rejected' | 'unknown' | 'failed' | 'late' | 'on-time' | 'no-answer'
  readonly cause: string
}

/**
 * Finds the cause of a job's outcome.
 *
 * @param lines - the job's lines and those of its instances, domains and targets, in order of time
 */
export function explainJobOutcome (lines: readonly LogLine[], jobId: string): JobExplanation {
  const own = lines.filter(line => isAboutJob(line, jobId))
  const refused = findLast(own, 'job-refused')
  if (refused !== undefined) return { outcome: 'refused', cause: `no dispatcher saw the job: ${read(refused, 'reason')}` }
  const answered = findLast(own, 'job-answered')
  if (answered === undefined) return { outcome: 'no-answer', cause: explainSilence(lines, own) }
  switch (answered.fields.answer) {
    case 'rejected': return { outcome: 'rejected', cause: explainRejection(own, answered) }
    case 'unknown': return { outcome: 'unknown', cause: explainUnknown(lines, answered) }
    case 'failed': return { outcome: 'failed', cause: `${read(answered, 'reason')}${listRepeats(own)}` }
    default: return isLate(answered) ? { outcome: 'late', cause: explainLateness(own, answered) } : { outcome: 'on-time', cause: 'the answer came within its objective' }
  }
}

function explainRejection (own: readonly LogLine[], answered: LogLine): string {
  const rejection = findLast(own, 'job-rejected')
  if (rejection === undefined) return `${read(answered, 'reason')}; the dispatcher's line is missing`
  const { predictedMs, usefulMs, waitedMs, queued } = rejection.fields
  if (predictedMs !== undefined) return `overload: the dispatcher at ${rejection.instance} expected the answer in ${predictedMs} ms, and it was of use for ${usefulMs} ms; ${queued} jobs were queued for targets that do ${read(rejection, 'rate')} thousandths of a core`
  if (waitedMs !== undefined) return `overload: the job waited ${waitedMs} ms at ${rejection.instance} without a start, beside ${queued} other jobs, and could be of no use any more`
  return `${read(rejection, 'reason')}, by ${rejection.instance}`
}

function explainUnknown (lines: readonly LogLine[], answered: LogLine): string {
  const reason = String(read(answered, 'reason'))
  const unconfirmed = findLast(lines, 'start-unconfirmed')
  if (reason === 'start-unconfirmed' && unconfirmed !== undefined) return `the start order to ${read(unconfirmed, 'target')} got no answer, and that target is out of reach`
  const lost = lines.findLast(line => line.event === 'dispatcher-lost' && line.instance === answered.instance && line.at <= answered.at)
  return lost === undefined ? reason : `${reason}; ${answered.instance} had lost the dispatcher ${read(lost, 'holder')} of ${read(lost, 'domain')} (${read(lost, 'reason')})`
}

function explainSilence (lines: readonly LogLine[], own: readonly LogLine[]): string {
  const submitted = own.find(line => line.event === 'job-submitted')
  if (submitted === undefined) return 'the instance that took the job wrote no line of it'
  const dropped = findLast(own, 'job-dropped')
  const restarted = lines.find(line => line.event === 'started' && line.instance === submitted.instance && line.at >= submitted.at)
  const end = restarted === undefined ? 'wrote no answer' : 'ended and started again before it answered'
  return `${submitted.instance}, which took the job, ${end}${dropped === undefined ? '' : `; the dispatcher dropped the job: ${read(dropped, 'reason')}`}`
}

function explainLateness (own: readonly LogLine[], answered: LogLine): string {
  const excessMs = Number(answered.fields.ageMs) - Number(answered.fields.objectiveMs)
  const repeats = listRepeats(own)
  const starts = own.filter(line => line.event === 'task-start')
  const waitedMs = Math.max(0, ...starts.map(line => Number(line.fields.waitedMs)))
  const slowest = Math.max(0, ...starts.map(line => Number(line.fields.slowness)))
  const excess = `${Math.round(excessMs)} ms over the objective`
  if (repeats !== '') return `${excess}${repeats}`
  if (waitedMs > excessMs / 2) return `${excess}: a task waited ${waitedMs} ms for room`
  if (slowest > slowRatio) return `${excess}: a target takes ${slowest} times the estimate`
  return `${excess}: its tasks ran longer than their estimate`
}

/** @returns the runs that were repeated, as a clause; empty when there are none */
function listRepeats (own: readonly LogLine[]): string {
  const repeats = own.filter(line => repeatEvents.has(line.event) || (line.event === 'run-ended' && line.fields.how === 'failed'))
  return repeats.length === 0 ? '' : `: ${repeats.map(line => `${line.event} of ${read(line, 'task')} at ${read(line, 'target')}`).join(', ')}`
}

function isLate (answered: LogLine): boolean {
  return Number(answered.fields.ageMs) > Number(answered.fields.objectiveMs)
}

function findLast (lines: readonly LogLine[], event: string): LogLine | undefined {
  return lines.findLast(line => line.event === event)
}

function read (line: LogLine, name: string): LogValue {
  return line.fields[name] ?? `no ${name} logged`
}
