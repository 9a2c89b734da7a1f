import { collectBy } from './history-grouping.js'
import { type History, type JobRecord, type StartRecord, type Violation } from './history-records.js'

/** Largest number of attempts of a repeatable task. */
const maxAttempts = 3

/**
 * Checks I1 and I5: no task starts twice, and a repeatable task never has two attempts alive at once.
 *
 * @returns the violations, ordered by task
 */
export function checkStarts (history: History): readonly Violation[] {
  const jobsByTag = new Map(history.jobs.flatMap(job => job.tags.map(tag => [tag, job] as const)))
  const startsByTag = collectBy(history.starts, start => start.tag)
  return [...startsByTag].flatMap(([tag, starts]) => checkTaskStarts(tag, starts, jobsByTag.get(tag)))
}

function checkTaskStarts (tag: string, starts: readonly StartRecord[], job: JobRecord | undefined): readonly Violation[] {
  if (job === undefined) {
    return [{ invariant: 'I1', message: `task ${tag} was started ${starts.length} times, but no caller submitted it` }]
  }
  return job.repeatable ? checkRepeatableStarts(tag, starts) : checkSingleStart(tag, starts, job)
}

function checkSingleStart (tag: string, starts: readonly StartRecord[], job: JobRecord): readonly Violation[] {
  if (starts.length <= 1) return []
  const message = `task ${tag} was started ${starts.length} times: ${describeStarts(starts)}`
  const violations: Violation[] = [{ invariant: 'I1', message }]
  if (job.marked) violations.push({ invariant: 'I5', message: `${message}; it was marked as non-idempotent` })
  return violations
}

function checkRepeatableStarts (tag: string, starts: readonly StartRecord[]): readonly Violation[] {
  const violations: Violation[] = []
  const ordered = [...starts].sort((a, b) => a.at - b.at)
  const hasOverlap = ordered.some(({ endedAt }, index) => {
    const next = ordered[index + 1]
    return next !== undefined && next.at < endedAt
  })
  if (hasOverlap) {
    violations.push({ invariant: 'I1', message: `two attempts of repeatable task ${tag} were alive at once: ${describeStarts(ordered)}` })
  }
  if (starts.length > maxAttempts) {
    violations.push({ invariant: 'I1', message: `repeatable task ${tag} had ${starts.length} attempts` })
  }
  return violations
}

function describeStarts (starts: readonly StartRecord[]): string {
  return starts.map(({ id, target, at, endedAt, outcome }) => `${id} at ${target} from ${at} to ${endedAt} ${outcome}`).join('; ')
}
