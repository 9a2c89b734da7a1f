import { formatFound, type Problem, type Settings } from '@sesamereel/protocol'
import { findSeatIndex, formatSeat, isZero, type LimitList, type PlanList } from '@sesamereel/state'

/** Settings that must have the same value in every instance. */
const sharedFields = ['topology', 'peerToken', 'operatorToken'] as const

/**
 * Lists problems within one settings file that the schema cannot detect.
 *
 * @param settings - settings that match the schema
 * @returns the problems
 */
export function listSettingsProblems (settings: Settings): readonly Problem[] {
  const problems: Problem[] = []
  const names = settings.topology.domains.map(domain => domain.name)
  names.forEach((name, index) => {
    if (names.indexOf(name) !== index) {
      problems.push({ path: `topology.domains[${index}].name`, found: `"${name}" a second time`, expected: 'each domain once' })
    }
  })
  const domain = settings.topology.domains.find(candidate => candidate.name === settings.domain)
  if (domain === undefined) {
    problems.push({ path: 'domain', found: formatFound(settings.domain), expected: `a domain of the topology: ${names.join(', ')}` })
  } else if (findSeatIndex(settings.topology, settings) === undefined) {
    problems.push({ path: 'seat', found: String(settings.seat), expected: `0 to ${domain.seats - 1}, the seats of ${domain.name}` })
  }
  const tokens = settings.callers.map(caller => caller.token)
  tokens.forEach((token, index) => {
    if (tokens.indexOf(token) !== index) {
      problems.push({ path: `callers[${index}].token`, found: `the token of callers[${tokens.indexOf(token)}]`, expected: 'a token of its own' })
    }
    if (token === settings.operatorToken) {
      problems.push({ path: `callers[${index}].token`, found: 'the operator token', expected: 'a token of its own' })
    }
  })
  if (settings.callerAddress === settings.peerAddress) {
    problems.push({ path: 'peerAddress', found: formatFound(settings.peerAddress), expected: 'another port than callerAddress' })
  }
  return problems
}

/**
 * Lists contradictions between the settings files of several instances: seats used twice, and
 * values that must be equal but differ from those of the first file.
 *
 * @param files - valid settings with their file names
 * @returns the problems of each file, keyed by file name; files without problems are absent
 */
export function listProblemsBetweenFiles (files: ReadonlyArray<{ readonly file: string, readonly settings: Settings }>): ReadonlyMap<string, readonly Problem[]> {
  const problemsByFile = new Map<string, Problem[]>()
  const fileBySeat = new Map<string, string>()
  const first = files[0]
  for (const { file, settings } of files) {
    const problems: Problem[] = []
    const seat = formatSeat(settings)
    const otherFile = fileBySeat.get(seat)
    if (otherFile !== undefined) problems.push({ path: 'seat', found: `seat ${seat}, which ${otherFile} has too`, expected: 'one file for each seat' })
    fileBySeat.set(seat, otherFile ?? file)
    for (const field of sharedFields) {
      if (first !== undefined && JSON.stringify(settings[field]) !== JSON.stringify(first.settings[field])) {
        problems.push({ path: field, found: `another value than in ${first.file}`, expected: 'the same in every instance' })
      }
    }
    if (problems.length > 0) problemsByFile.set(file, problems)
  }
  return problemsByFile
}

/**
 * Lists the customers whose plan is missing from the limits list; such a customer can run nothing.
 *
 * @param plans - plans list
 * @param limits - limits list
 * @returns the problems of the plans list
 */
export function listUnknownPlans (plans: PlanList, limits: LimitList): readonly Problem[] {
  return Object.entries(plans)
    .filter(([, plan]) => !Object.hasOwn(limits, plan))
    .map(([customer, plan]) => ({ path: customer, found: formatFound(plan), expected: 'a plan that the limits list has' }))
}

/**
 * Lists limits whose `parallel` is 0, so that no task may run, although other dimensions are not 0.
 *
 * @param limits - limits list
 * @returns the problems of the limits list
 */
export function listZeroParallelLimits (limits: LimitList): readonly Problem[] {
  return Object.entries(limits)
    .filter(([, limit]) => limit.parallel === 0 && !isZero(limit))
    .map(([plan]) => ({ path: `${plan}.parallel`, found: '0', expected: 'at least 1, or 0 in every dimension to allow nothing' }))
}
