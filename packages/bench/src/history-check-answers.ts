import { type CallRecord, type History, type JobRecord, type StartRecord, type Violation } from './history-records.js'
import { readReplyBody, type ReplyBody } from './history-replies.js'

/** A final answer to a job, as one call received it. */
interface ReceivedAnswer {
  readonly job: JobRecord
  readonly call: CallRecord
  readonly body: ReplyBody
  readonly state: 'complete' | 'failed'
  /** Describes the answer in messages. */
  readonly label: string
}

/**
 * Checks I2 and I3: an answer is complete or failed, belongs to its request, and never changes.
 *
 * @returns the violations, in the order of the calls
 */
export function checkAnswers (history: History): readonly Violation[] {
  const violations: Violation[] = []
  const succeededAt = collectSuccesses(history.starts)
  const finalStates = new Map<string, string>()
  for (const answer of collectAnswers(history)) {
    violations.push(...checkAnswer(answer, succeededAt))
    const { job, label, state } = answer
    const earlier = finalStates.get(job.job)
    if (earlier !== undefined && earlier !== state) {
      violations.push({ invariant: 'I3', message: `${label} is ${state}, an earlier one was ${earlier}` })
    }
    finalStates.set(job.job, state)
  }
  return violations
}

function collectAnswers (history: History): readonly ReceivedAnswer[] {
  const jobs = new Map(history.jobs.map(job => [job.job, job]))
  return history.calls.flatMap(call => {
    const job = call.job === undefined ? undefined : jobs.get(call.job)
    const body = readReplyBody(call)
    if (job === undefined || body === undefined) return []
    const { state } = body
    if (state !== 'complete' && state !== 'failed') return []
    return [{ job, call, body, state, label: `the answer to ${job.job} through ${call.via}` }]
  })
}

/** Collects the time of the first success of each task by its tag. */
function collectSuccesses (starts: readonly StartRecord[]): ReadonlyMap<string, number> {
  const succeededAt = new Map<string, number>()
  for (const { tag, endedAt, outcome } of starts) {
    if (outcome === 'succeeded') succeededAt.set(tag, Math.min(endedAt, succeededAt.get(tag) ?? Infinity))
  }
  return succeededAt
}

function checkAnswer (answer: ReceivedAnswer, succeededAt: ReadonlyMap<string, number>): readonly Violation[] {
  const { job, body, label, state } = answer
  const violations: Violation[] = []
  if (body.key !== job.key) {
    violations.push({ invariant: 'I3', message: `${label} has key ${String(body.key)} instead of ${job.key}` })
  }
  if (state === 'complete') violations.push(...checkCompleteAnswer(answer, succeededAt))
  else if (body.results !== undefined) violations.push({ invariant: 'I2', message: `${label} is failed but carries results` })
  else if (body.failure === undefined) violations.push({ invariant: 'I2', message: `${label} is failed without a failure` })
  return violations
}

function checkCompleteAnswer (answer: ReceivedAnswer, succeededAt: ReadonlyMap<string, number>): readonly Violation[] {
  const { job, body, label } = answer
  const results: readonly unknown[] = Array.isArray(body.results) ? body.results : []
  const violations: Violation[] = []
  if (results.length !== job.tags.length) {
    violations.push({ invariant: 'I2', message: `${label} is complete with ${results.length} results of ${job.tags.length}` })
  }
  for (const [index, result] of results.entries()) violations.push(...checkResult(answer, index, result, succeededAt))
  return violations
}

function checkResult ({ job, call, label }: ReceivedAnswer, index: number, result: unknown, succeededAt: ReadonlyMap<string, number>): readonly Violation[] {
  const violations: Violation[] = []
  const tag = job.tags[index]
  if (result === null || result === undefined) {
    violations.push({ invariant: 'I2', message: `${label} is complete without result ${index}` })
  } else if (result !== tag) {
    violations.push({ invariant: 'I3', message: `${label} has ${JSON.stringify(result)} as result ${index} instead of ${String(tag)}` })
  }
  const hasSucceeded = tag !== undefined && (succeededAt.get(tag) ?? Infinity) <= call.at
  if (tag !== undefined && !hasSucceeded) {
    violations.push({ invariant: 'I2', message: `${label} is complete, but task ${tag} had not succeeded at any target` })
  }
  return violations
}
