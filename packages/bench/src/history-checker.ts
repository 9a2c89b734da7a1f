import { addResources, createTaskVector, isWithin, resourceDimensions, type ResourceVector, subtractResources, zeroResources } from '@sesamereel/state'
import { type CallRecord, type ConfigurationRecord, type FaultRecord, type History, type JobRecord, type StartRecord, type Violation } from './history-records.js'

/** Bound of I6 in milliseconds. */
export const leavingBoundMs = 3_000

/** Bound of I8 in milliseconds. */
export const configurationBoundMs = 5_000

/** Time in milliseconds within which work that ran under an older limit ends by its lease. */
export const leaseEndMs = 11_000

/** Attempts that a repeatable task may have. */
const maxAttempts = 3

interface AnswerBody {
  readonly state?: unknown
  readonly key?: unknown
  readonly results?: unknown
  readonly failure?: unknown
  readonly notRun?: unknown
  readonly name?: unknown
  readonly version?: unknown
  /** Version that the instance applies; `version` is the newest one that it can read. */
  readonly inForce?: unknown
  readonly plans?: unknown
  readonly limits?: unknown
}

/**
 * Checks a history against the invariants. Reads only what callers, targets, the platform and the
 * driver recorded, nothing that the dispatcher says about itself.
 *
 * @returns the violations, none for a correct history
 */
export function checkHistory (history: History): readonly Violation[] {
  return [
    ...checkStarts(history),
    ...checkAnswers(history),
    ...checkNotRun(history),
    ...checkLeaving(history),
    ...checkStops(history),
    ...checkConfigurations(history),
    ...checkPlans(history)
  ]
}

/** I1 and I5: no task starts twice; a repeatable one never has two attempts alive at once. */
function checkStarts (history: History): readonly Violation[] {
  const violations: Violation[] = []
  const owners = new Map<string, JobRecord>()
  for (const job of history.jobs) for (const tag of job.tags) owners.set(tag, job)
  for (const [tag, starts] of collectBy(history.starts, start => start.tag)) {
    const job = owners.get(tag)
    if (job === undefined) {
      violations.push({ invariant: 'I1', message: `task ${tag} was started ${starts.length} times, but no caller submitted it` })
      continue
    }
    if (!job.repeatable && starts.length > 1) {
      const message = `task ${tag} was started ${starts.length} times: ${describeStarts(starts)}`
      violations.push({ invariant: 'I1', message })
      if (job.marked) violations.push({ invariant: 'I5', message: `${message}; it was marked as non-idempotent` })
    }
    if (job.repeatable) {
      const ordered = [...starts].sort((a, b) => a.at - b.at)
      for (const [index, start] of ordered.entries()) {
        const next = ordered[index + 1]
        if (next !== undefined && next.at < start.endedAt) {
          violations.push({ invariant: 'I1', message: `two attempts of repeatable task ${tag} were alive at once: ${describeStarts(ordered)}` })
          break
        }
      }
      if (starts.length > maxAttempts) violations.push({ invariant: 'I1', message: `repeatable task ${tag} had ${starts.length} attempts` })
    }
  }
  return violations
}

/** I2 and I3: answers are complete or failed, belong to their request, and stay the same. */
function checkAnswers (history: History): readonly Violation[] {
  const violations: Violation[] = []
  const jobs = new Map(history.jobs.map(job => [job.job, job]))
  const succeeded = new Map<string, number>()
  for (const { tag, endedAt, outcome } of history.starts) {
    if (outcome === 'succeeded') succeeded.set(tag, Math.min(endedAt, succeeded.get(tag) ?? Infinity))
  }
  const finalStates = new Map<string, string>()
  for (const call of history.calls) {
    const job = call.job === undefined ? undefined : jobs.get(call.job)
    const body = readAnswer(call)
    if (job === undefined || body === undefined) continue
    if (body.state !== 'complete' && body.state !== 'failed') continue
    const name = `the answer to ${job.job} through ${call.via}`
    if (body.key !== job.key) violations.push({ invariant: 'I3', message: `${name} has key ${String(body.key)} instead of ${job.key}` })
    if (body.state === 'complete') violations.push(...checkCompleteAnswer(job, body, name, call, succeeded))
    else if (body.results !== undefined) violations.push({ invariant: 'I2', message: `${name} is failed but carries results` })
    else if (body.failure === undefined) violations.push({ invariant: 'I2', message: `${name} is failed without a failure` })
    const earlier = finalStates.get(job.job)
    if (earlier !== undefined && earlier !== body.state) {
      violations.push({ invariant: 'I3', message: `${name} is ${body.state}, an earlier one was ${earlier}` })
    }
    finalStates.set(job.job, body.state)
  }
  return violations
}

function checkCompleteAnswer (job: JobRecord, body: AnswerBody, name: string, call: CallRecord, succeeded: ReadonlyMap<string, number>): readonly Violation[] {
  const violations: Violation[] = []
  const results: readonly unknown[] = Array.isArray(body.results) ? body.results : []
  if (results.length !== job.tags.length) {
    violations.push({ invariant: 'I2', message: `${name} is complete with ${results.length} results of ${job.tags.length}` })
  }
  for (const [index, result] of results.entries()) {
    const tag = job.tags[index]
    if (result === null || result === undefined) {
      violations.push({ invariant: 'I2', message: `${name} is complete without result ${index}` })
    } else if (result !== tag) {
      violations.push({ invariant: 'I3', message: `${name} has ${JSON.stringify(result)} as result ${index} instead of ${String(tag)}` })
    }
    if (tag !== undefined && !((succeeded.get(tag) ?? Infinity) <= call.at)) {
      violations.push({ invariant: 'I2', message: `${name} is complete, but task ${tag} had not succeeded at any target` })
    }
  }
  return violations
}

/**
 * I4: a rejection as not run is true of the job, not only of the request: nothing of the job had
 * started before the request was sent, and nothing starts at all when every submission was rejected.
 */
function checkNotRun (history: History): readonly Violation[] {
  const firstStarts = new Map<string, number>()
  for (const { tag, at } of history.starts) firstStarts.set(tag, Math.min(at, firstStarts.get(tag) ?? Infinity))
  const submissions = collectBy(history.calls.filter(({ op }) => op === 'submit'), call => call.job ?? '')
  const violations: Violation[] = []
  for (const job of history.jobs) {
    const calls = submissions.get(job.job) ?? []
    const areAllRejected = calls.every(call => call.reply.kind === 'refused' || isRejectedAsNotRun(call))
    for (const call of calls.filter(isRejectedAsNotRun)) {
      const ran = job.tags.filter(tag => (firstStarts.get(tag) ?? Infinity) < (areAllRejected ? Infinity : call.sentAt))
      if (ran.length === 0) continue
      const name = String(readAnswer(call)?.name ?? call.reply.kind)
      violations.push({ invariant: 'I4', message: `${job.job} was rejected by ${call.via} as not run (${name}), but ${ran.length} of its tasks were started, first ${ran[0]!}` })
      break
    }
  }
  return violations
}

function isRejectedAsNotRun (call: CallRecord): boolean {
  return readAnswer(call)?.notRun === true
}

/** I6: a leaving target receives no new work after the bound. */
function checkLeaving (history: History): readonly Violation[] {
  const violations: Violation[] = []
  for (const { target, visibleAt } of history.leaving) {
    const bound = computeReachableSince(history.faults.filter(({ hidesList }) => hidesList), visibleAt, leavingBoundMs) + leavingBoundMs
    const late = history.starts.filter(start => start.target === target && start.at > bound)
    if (late.length > 0) {
      const last = Math.max(...late.map(({ at }) => at))
      violations.push({ invariant: 'I6', message: `${late.length} tasks were started at the leaving target ${target}, the last ${last - visibleAt} ms after its mark was visible` })
    }
  }
  return violations
}

/** I7: a planned stop ends cleanly and breaks no request that was in flight. */
function checkStops (history: History): readonly Violation[] {
  const violations: Violation[] = []
  for (const stop of history.stops) {
    if (stop.exitCode !== 0) violations.push({ invariant: 'I7', message: `the planned stop of ${stop.process} ended with exit code ${String(stop.exitCode)}` })
    for (const call of history.calls) {
      if (call.via !== stop.process || call.reply.kind !== 'reset') continue
      if (call.at < stop.begunAt || call.sentAt > stop.endedAt) continue
      violations.push({ invariant: 'I7', message: `the planned stop of ${stop.process} cut off a ${call.op} ${call.at - stop.begunAt} ms after it began: ${call.reply.message}` })
    }
  }
  return violations
}

/** I8: versions never fall, have one content each, lose no accepted edit, and are in force in time. */
function checkConfigurations (history: History): readonly Violation[] {
  const violations: Violation[] = []
  const committed = [...history.configurations].sort((a, b) => a.at - b.at)
  for (const [index, next] of committed.entries()) {
    const previous = committed[index - 1]
    if (previous === undefined) continue
    if (next.version !== previous.version + 1) {
      violations.push({ invariant: 'I8', message: `version ${next.version} was committed after version ${previous.version}` })
    } else if (!isEqual(next.plans, previous.plans) && !isEqual(next.limits, previous.limits)) {
      violations.push({ invariant: 'I8', message: `edit ${next.editId} changed one list and reverted the other at version ${next.version}` })
    }
  }
  const byVersion = new Map(committed.map(configuration => [configuration.version, configuration]))
  const hiding = history.faults.filter(({ hidesConfiguration }) => hidesConfiguration)
  const dueTimes = committed.map(({ at, version }) => ({ at, version, dueAt: computeReachableSince(hiding, at, configurationBoundMs) + configurationBoundMs }))
  const reads = history.calls.filter(({ op, reply }) => op === 'read-lists' && reply.kind === 'answered' && reply.status === 200)
  for (const [via, calls] of collectBy(reads, call => call.via)) {
    for (const call of calls) {
      const body = readAnswer(call)!
      const version = Number(body.version)
      const content = byVersion.get(version)
      if (content !== undefined && !(isEqual(content.plans, body.plans) && isEqual(content.limits, body.limits))) {
        violations.push({ invariant: 'I8', message: `${via} shows version ${version} with another content than was committed` })
      }
      const inForce = readInForce(call)
      const before = calls.filter(({ at }) => at < call.sentAt).map(readInForce)
      const highest = Math.max(0, ...before)
      if (inForce < highest) violations.push({ invariant: 'I8', message: `${via} reverted from version ${highest} to ${inForce}` })
      const due = dueTimes.findLast(({ dueAt }) => dueAt < call.sentAt)
      if (due !== undefined && inForce < due.version) {
        violations.push({ invariant: 'I8', message: `${via} still applies version ${inForce} ${call.sentAt - due.at} ms after version ${due.version} was committed` })
      }
    }
  }
  for (const call of history.calls) {
    if (call.op !== 'edit' || call.reply.kind !== 'answered' || call.reply.status !== 200) continue
    const version = Number(readAnswer(call)?.version)
    const content = byVersion.get(version)
    if (content === undefined || content.at > call.at) {
      violations.push({ invariant: 'I8', message: `${call.via} accepted an edit as version ${version}, which the table service had not committed` })
    }
  }
  return violations
}

/** I9: the use by each customer stays within its plan in every dimension at every instant. */
function checkPlans (history: History): readonly Violation[] {
  const violations: Violation[] = []
  const hiding = history.faults.filter(({ hidesConfiguration }) => hidesConfiguration)
  for (const [customer, starts] of collectBy(history.starts, start => start.customer)) {
    const periods = computeLimitPeriods(history.configurations, hiding, customer)
    const events = starts.flatMap(start => {
      const amount = createTaskVector(start.demand)
      return [{ at: start.at, begins: true, amount }, { at: start.endedAt, begins: false, amount }]
    })
    // The clock has a resolution of 1 ms: an end and a start in the same millisecond may be in either order.
    events.sort((a, b) => a.at - b.at || Number(a.begins) - Number(b.begins))
    let use = zeroResources
    let worst: { at: number, use: ResourceVector, allowed: ResourceVector } | undefined
    for (const { at, begins, amount } of events) {
      use = begins ? addResources(use, amount) : subtractResources(use, amount)
      if (!begins) continue
      const allowed = computeAllowed(periods, at)
      if (!isWithin(use, allowed) && (worst === undefined || use.parallel > worst.use.parallel)) worst = { at, use, allowed }
    }
    if (worst !== undefined) {
      violations.push({ invariant: 'I9', message: `${customer} used ${JSON.stringify(worst.use)} at ${worst.at}, its plan allows ${JSON.stringify(worst.allowed)}` })
    }
  }
  return violations
}

/** A limit of a customer with the time in which it may be in force somewhere, or work may run under it. */
interface LimitPeriod {
  readonly from: number
  readonly until: number
  readonly limit: ResourceVector
}

/**
 * Computes the limits of a customer with their times: from the commit until the next version is in
 * force on all reachable instances and the work that was running has ended by its lease.
 */
function computeLimitPeriods (configurations: readonly ConfigurationRecord[], hiding: readonly FaultRecord[], customer: string): readonly LimitPeriod[] {
  const committed = [...configurations].sort((a, b) => a.at - b.at)
  return committed.flatMap(({ at, plans, limits }, index) => {
    const plan = plans[customer]
    const limit = plan === undefined ? undefined : limits[plan]
    if (limit === undefined) return []
    const replacedAt = committed[index + 1]?.at ?? Infinity
    return [{ from: at, until: computeReachableSince(hiding, replacedAt, configurationBoundMs) + configurationBoundMs + leaseEndMs, limit }]
  })
}

/** Computes the largest limit at a moment, in each dimension. */
function computeAllowed (periods: readonly LimitPeriod[], at: number): ResourceVector {
  let allowed = zeroResources
  for (const { from, until, limit } of periods) {
    if (at < from || at > until) continue
    allowed = Object.fromEntries(resourceDimensions.map(name => [name, Math.max(allowed[name], limit[name])])) as unknown as ResourceVector
  }
  return allowed
}

/**
 * Computes since when all instances were reachable for as long as a bound lasts.
 *
 * @param faults - faults that cut instances off from what is published
 * @param at - moment at which something was published
 * @param boundMs - time that must pass without a fault that cuts instances off
 * @returns `at`, or the end of the last fault that delayed it
 */
function computeReachableSince (faults: readonly FaultRecord[], at: number, boundMs: number): number {
  let since = at
  for (const { from, to } of [...faults].sort((a, b) => a.from - b.from)) {
    if (from <= since + boundMs && to > since) since = to
  }
  return since
}

function readAnswer (call: CallRecord): AnswerBody | undefined {
  if (call.reply.kind !== 'answered' || typeof call.reply.body !== 'object' || call.reply.body === null) return undefined
  const body = call.reply.body as AnswerBody & { readonly error?: AnswerBody }
  return body.error ?? body
}

function readInForce (call: CallRecord): number {
  const body = readAnswer(call)
  return Number(body?.inForce ?? body?.version)
}

function describeStarts (starts: readonly StartRecord[]): string {
  return starts.map(({ id, target, at, endedAt, outcome }) => `${id} at ${target} from ${at} to ${endedAt} ${outcome}`).join('; ')
}

function collectBy<T> (items: readonly T[], selectKey: (item: T) => string): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const key = selectKey(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return groups
}

/** Compares two JSON values; the order of fields does not matter. */
function isEqual (a: unknown, b: unknown): boolean {
  return JSON.stringify(sortFields(a)) === JSON.stringify(sortFields(b))
}

function sortFields (value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return value
  if (Array.isArray(value)) return value.map(sortFields)
  const entries = Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1)
  return Object.fromEntries(entries.map(([key, field]) => [key, sortFields(field)]))
}
