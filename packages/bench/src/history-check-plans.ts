import { addResources, createTaskVector, isWithin, resourceDimensions, type ResourceVector, subtractResources, zeroResources } from '@sesamereel/state'
import { computeInForceBy, leaseEndMs } from './history-bounds.js'
import { collectBy } from './history-grouping.js'
import { type ConfigurationRecord, type FaultRecord, type History, type StartRecord, type Violation } from './history-records.js'

/** A limit of a customer, with the time in which instances may apply it or tasks may run under it. */
interface LimitPeriod {
  readonly from: number
  readonly until: number
  readonly limit: ResourceVector
}

/** A change of what a customer uses: the start or the end of a task. */
interface UseChange {
  readonly at: number
  readonly isStart: boolean
  readonly amount: ResourceVector
}

/**
 * Checks I9: the use of each customer stays within its plan in every dimension at every instant.
 *
 * @returns at most one violation for each customer, for its largest use above the plan
 */
export function checkPlans (history: History): readonly Violation[] {
  return [...collectBy(history.starts, start => start.customer)].flatMap(([customer, starts]) => {
    const periods = computeLimitPeriods(history.configurations, history.faults, customer)
    return checkUse(customer, collectUseChanges(starts), periods)
  })
}

function checkUse (customer: string, changes: readonly UseChange[], periods: readonly LimitPeriod[]): readonly Violation[] {
  let use = zeroResources
  let worst: { at: number, use: ResourceVector, allowed: ResourceVector } | undefined
  for (const { at, isStart, amount } of changes) {
    use = isStart ? addResources(use, amount) : subtractResources(use, amount)
    if (!isStart) continue
    const allowed = computeAllowed(periods, at)
    if (!isWithin(use, allowed) && (worst === undefined || use.parallel > worst.use.parallel)) worst = { at, use, allowed }
  }
  if (worst === undefined) return []
  return [{ invariant: 'I9', message: `${customer} used ${JSON.stringify(worst.use)} at ${worst.at}, its plan allows ${JSON.stringify(worst.allowed)}` }]
}

/** Collects the starts and ends of tasks in the order of time. */
function collectUseChanges (starts: readonly StartRecord[]): readonly UseChange[] {
  const changes = starts.flatMap(({ at, endedAt, demand }) => {
    const amount = createTaskVector(demand)
    return [{ at, isStart: true, amount }, { at: endedAt, isStart: false, amount }]
  })
  // The clock has a resolution of 1 ms, so the order of an end and a start in the same millisecond
  // is unknown. Ends come first, which never reports a use that may not have occurred.
  return changes.sort((a, b) => a.at - b.at || Number(a.isStart) - Number(b.isStart))
}

/**
 * Computes the limits of a customer with their periods. A period lasts from the commit until the
 * next version is in force on all reachable instances and the tasks that ran have ended by their lease.
 */
function computeLimitPeriods (configurations: readonly ConfigurationRecord[], faults: readonly FaultRecord[], customer: string): readonly LimitPeriod[] {
  const committed = [...configurations].sort((a, b) => a.at - b.at)
  return committed.flatMap(({ at, plans, limits }, index) => {
    const plan = plans[customer]
    const limit = plan === undefined ? undefined : limits[plan]
    if (limit === undefined) return []
    const replacedAt = committed[index + 1]?.at ?? Infinity
    return [{ from: at, until: computeInForceBy(faults, replacedAt) + leaseEndMs, limit }]
  })
}

/** Computes the largest limit at a moment, for each dimension on its own. */
function computeAllowed (periods: readonly LimitPeriod[], at: number): ResourceVector {
  let allowed = zeroResources
  for (const { from, until, limit } of periods) {
    if (at < from || at > until) continue
    allowed = Object.fromEntries(resourceDimensions.map(name => [name, Math.max(allowed[name], limit[name])])) as unknown as ResourceVector
  }
  return allowed
}
