import { countBy, formatCounts } from './counts.js'
import { type History, type StartRecord } from './history-records.js'
import { isSuccessful } from './history-replies.js'
import { computePeakParallelism } from './peak-parallelism.js'
import { type GroupJob } from './scenario-jobs.js'
import { countMost, readCode } from './scenario-measures.js'
import { type Bounds, type Expectations } from './scenario-schema.js'

const checkedStandings = ['complete', 'failed', 'gone', 'rejected', 'unknown'] as const

/** State of a scenario that an `expect` step is checked against. */
export interface ScenarioState {
  readonly groups: ReadonlyMap<string, readonly GroupJob[]>
  readonly history: History
  /** Times of the `mark` steps by name. */
  readonly marks: ReadonlyMap<string, number>
  readonly lastExitCode: number | null | undefined
}

/**
 * Checks the expectations of one step.
 *
 * @returns a problem for each expectation that does not hold
 * @throws Error when an expectation names an unknown mark
 */
export function checkExpectations (expectations: Expectations, state: ScenarioState): readonly string[] {
  const { group } = expectations
  const members = group === undefined ? [...state.groups.values()].flat() : state.groups.get(group) ?? []
  const label = group === undefined ? 'all jobs' : `group ${group}`
  return [
    ...checkStandings(expectations, label, members, state.history),
    ...checkSubmissions(expectations, label, members, state.history),
    ...checkTaskStarts(expectations, label, members, state.history),
    ...checkAnswerTimes(expectations, label, members),
    ...checkEdits(expectations, state.history),
    ...checkExitCode(expectations, state.lastExitCode),
    ...checkShareAt(expectations, state),
    ...checkStartsAt(expectations, state),
    ...checkParallelism(expectations, state)
  ]
}

function checkStandings (expectations: Expectations, label: string, members: readonly GroupJob[], { calls }: History): readonly string[] {
  const standings = countBy(members.map(({ standing }) => standing))
  const problems = checkedStandings.flatMap(standing => compareWithBounds(`${label}: ${standing} jobs`, standings.get(standing) ?? 0, expectations[standing]))
  if (problems.length === 0) return []
  const replies = countBy(calls.map(({ op, reply }) => `${op}:${readCode(reply)}`))
  return [...problems, `${label}: ${formatCounts(standings)}; replies: ${formatCounts(replies)}`]
}

function checkSubmissions ({ codes }: Expectations, label: string, members: readonly GroupJob[], { calls }: History): readonly string[] {
  const jobs = new Set(members.map(({ job }) => job.record.job))
  const submissions = calls.filter(({ op, job }) => op === 'submit' && job !== undefined && jobs.has(job))
  return Object.entries(codes ?? {}).flatMap(([code, bounds]) => {
    const count = submissions.filter(({ reply }) => readCode(reply) === code).length
    return compareWithBounds(`${label}: submissions answered with ${code}`, count, bounds)
  })
}

function checkTaskStarts ({ starts, startsPerTask }: Expectations, label: string, members: readonly GroupJob[], history: History): readonly string[] {
  const tags = new Set(members.flatMap(({ job }) => job.record.tags))
  const startsOfGroup = history.starts.filter(({ tag }) => tags.has(tag))
  return [
    ...compareWithBounds(`${label}: task starts`, startsOfGroup.length, starts),
    ...compareWithBounds(`${label}: starts of one task`, countMost(startsOfGroup), startsPerTask)
  ]
}

function checkAnswerTimes ({ answeredWithinMs }: Expectations, label: string, members: readonly GroupJob[]): readonly string[] {
  if (answeredWithinMs === undefined) return []
  const times = members.map(({ answeredAt, submittedAt }) => (answeredAt ?? Infinity) - submittedAt)
  return compareWithBounds(`${label}: slowest answer in ms`, Math.max(0, ...times), { atMost: answeredWithinMs })
}

function checkEdits ({ edits }: Expectations, { calls }: History): readonly string[] {
  const accepted = calls.filter(call => call.op === 'edit' && isSuccessful(call))
  return compareWithBounds('accepted edits', accepted.length, edits)
}

function checkExitCode ({ exitCode }: Expectations, lastExitCode: number | null | undefined): readonly string[] {
  if (exitCode === undefined || lastExitCode === exitCode) return []
  return [`exit code of the planned stop is ${String(lastExitCode)}, expected ${exitCode}`]
}

function checkShareAt ({ shareAt }: Expectations, state: ScenarioState): readonly string[] {
  if (shareAt === undefined) return []
  const { target, since, atMost } = shareAt
  const starts = selectStartsSince(state, since)
  const share = starts.filter(start => start.target === target).length / Math.max(1, starts.length)
  return [
    ...(starts.length === 0 ? [`no starts since ${since}, so the share of ${target} says nothing`] : []),
    ...compareWithBounds(`share of the starts at ${target} since ${since}`, share, { atMost })
  ]
}

function checkStartsAt ({ startsAt }: Expectations, state: ScenarioState): readonly string[] {
  if (startsAt === undefined) return []
  const { target, since } = startsAt
  const count = selectStartsSince(state, since).filter(start => start.target === target).length
  return compareWithBounds(`starts at ${target} since ${since}`, count, startsAt)
}

function checkParallelism ({ parallel }: Expectations, state: ScenarioState): readonly string[] {
  if (parallel === undefined) return []
  const since = parallel.since === undefined ? 0 : findMark(state, parallel.since)
  const starts = state.history.starts.filter(({ customer }) => customer === parallel.customer)
  return compareWithBounds(`most parallel tasks of ${parallel.customer}`, computePeakParallelism(starts, since), parallel)
}

function selectStartsSince (state: ScenarioState, mark: string): readonly StartRecord[] {
  const since = findMark(state, mark)
  return state.history.starts.filter(({ at }) => at >= since)
}

function findMark ({ marks }: ScenarioState, name: string): number {
  const at = marks.get(name)
  if (at === undefined) throw new Error(`there is no mark ${JSON.stringify(name)}`)
  return at
}

function compareWithBounds (label: string, value: number, bounds: Bounds | undefined): readonly string[] {
  const { equals, atLeast, atMost } = bounds ?? {}
  return [
    ...(equals !== undefined && value !== equals ? [`${label}: ${value}, expected ${equals}`] : []),
    ...(atLeast !== undefined && value < atLeast ? [`${label}: ${value}, expected at least ${atLeast}`] : []),
    ...(atMost !== undefined && value > atMost ? [`${label}: ${value}, expected at most ${atMost}`] : [])
  ]
}
