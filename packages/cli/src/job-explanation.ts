import { isAboutJob, type LogLine, type LogValue } from './job-log.js'

/** Events that report a failed run or start, after which the task is started again. */
const failedRunEvents: ReadonlySet<string> = new Set(['run-stalled', 'run-lost', 'start-rejected', 'start-unconfirmed'])

/** Ratio of run time to estimate above which a target is reported as the cause of a late answer. */
const slownessThreshold = 1.5

/** Outcome of a job and its cause, as far as the logs show them. */
export interface JobExplanation {
  readonly outcome: 'refused' | 'rejected' | 'unknown' | 'failed' | 'late' | 'on-time' | 'no-answer'
  readonly cause: string
}

/**
 * Derives the outcome of a job and its cause from log lines.
 *
 * @param lines - lines about the job and about its instances, domains and targets, in order of time
 */
export function explainJobOutcome (lines: readonly LogLine[], jobId: string): JobExplanation {
  const jobLines = lines.filter(line => isAboutJob(line, jobId))
  const refused = findLast(jobLines, 'job-refused')
  if (refused !== undefined) return { outcome: 'refused', cause: `no dispatcher saw the job: ${readField(refused, 'reason')}` }
  const answered = findLast(jobLines, 'job-answered')
  if (answered === undefined) return { outcome: 'no-answer', cause: explainMissingAnswer(lines, jobLines) }
  switch (answered.fields.answer) {
    case 'rejected': return { outcome: 'rejected', cause: explainRejection(jobLines, answered) }
    case 'unknown': return { outcome: 'unknown', cause: explainUnknown(lines, answered) }
    case 'failed': return { outcome: 'failed', cause: `${readField(answered, 'reason')}${describeFailedRuns(jobLines)}` }
    default: return isLate(answered) ? { outcome: 'late', cause: explainLateness(jobLines, answered) } : { outcome: 'on-time', cause: 'the answer came within its objective' }
  }
}

function explainRejection (jobLines: readonly LogLine[], answered: LogLine): string {
  const unassigned = findLast(jobLines, 'job-unassigned')
  if (unassigned !== undefined) return `${readField(unassigned, 'drained')} of ${readField(unassigned, 'connected')} connected domains are drained by an operator, and no other took the job`
  const rejection = findLast(jobLines, 'job-rejected')
  if (rejection === undefined) return `${readField(answered, 'reason')}; the dispatcher's line is missing`
  const { predictedMs, usefulMs, waitedMs, queued } = rejection.fields
  if (predictedMs !== undefined) return `overload: the dispatcher at ${rejection.instance} expected the answer in ${predictedMs} ms, and it was of use for ${usefulMs} ms; ${queued} jobs were queued for targets that do ${readField(rejection, 'rate')} thousandths of a core`
  if (waitedMs !== undefined) return `overload: the job waited ${waitedMs} ms at ${rejection.instance} without a start, beside ${queued} other jobs, and could be of no use any more`
  return `${readField(rejection, 'reason')}, by ${rejection.instance}`
}

function explainUnknown (lines: readonly LogLine[], answered: LogLine): string {
  const reason = String(readField(answered, 'reason'))
  const unconfirmed = findLast(lines, 'start-unconfirmed')
  if (reason === 'start-unconfirmed' && unconfirmed !== undefined) return `the start order to ${readField(unconfirmed, 'target')} got no answer, and that target is out of reach`
  const lost = lines.findLast(line => line.event === 'dispatcher-lost' && line.instance === answered.instance && line.at <= answered.at)
  return lost === undefined ? reason : `${reason}; ${answered.instance} had lost the dispatcher ${readField(lost, 'holder')} of ${readField(lost, 'domain')} (${readField(lost, 'reason')})`
}

function explainMissingAnswer (lines: readonly LogLine[], jobLines: readonly LogLine[]): string {
  const submitted = jobLines.find(line => line.event === 'job-submitted')
  if (submitted === undefined) return 'the instance that took the job wrote no line of it'
  const dropped = findLast(jobLines, 'job-dropped')
  const restarted = lines.find(line => line.event === 'started' && line.instance === submitted.instance && line.at >= submitted.at)
  const end = restarted === undefined ? 'wrote no answer' : 'ended and started again before it answered'
  return `${submitted.instance}, which took the job, ${end}${dropped === undefined ? '' : `; the dispatcher dropped the job: ${readField(dropped, 'reason')}`}`
}

function explainLateness (jobLines: readonly LogLine[], answered: LogLine): string {
  const excessMs = Number(answered.fields.ageMs) - Number(answered.fields.objectiveMs)
  const failedRuns = describeFailedRuns(jobLines)
  const starts = jobLines.filter(line => line.event === 'task-start')
  const waitedMs = Math.max(0, ...starts.map(line => Number(line.fields.waitedMs)))
  const slowest = Math.max(0, ...starts.map(line => Number(line.fields.slowness)))
  const excess = `${Math.round(excessMs)} ms over the objective`
  if (failedRuns !== '') return `${excess}${failedRuns}`
  if (waitedMs > excessMs / 2) return `${excess}: a task waited ${waitedMs} ms for room`
  if (slowest > slownessThreshold) return `${excess}: a target takes ${slowest} times the estimate`
  return `${excess}: its tasks ran longer than their estimate`
}

/** @returns the failed runs as a clause that begins with a colon; empty when there are none */
function describeFailedRuns (jobLines: readonly LogLine[]): string {
  const failedRuns = jobLines.filter(line => failedRunEvents.has(line.event) || (line.event === 'run-ended' && line.fields.how === 'failed'))
  return failedRuns.length === 0 ? '' : `: ${failedRuns.map(line => `${line.event} of ${readField(line, 'task')} at ${readField(line, 'target')}`).join(', ')}`
}

function isLate (answered: LogLine): boolean {
  return Number(answered.fields.ageMs) > Number(answered.fields.objectiveMs)
}

function findLast (lines: readonly LogLine[], event: string): LogLine | undefined {
  return lines.findLast(line => line.event === event)
}

function readField (line: LogLine, name: string): LogValue {
  return line.fields[name] ?? `no ${name} logged`
}
