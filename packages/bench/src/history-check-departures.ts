import { computeReachableSince, leavingBoundMs } from './history-bounds.js'
import { type History, type StopRecord, type Violation } from './history-records.js'

/**
 * Checks I6: a leaving target receives no new work after the bound.
 *
 * @returns at most one violation for each target
 */
export function checkLeaving (history: History): readonly Violation[] {
  const violations: Violation[] = []
  const hidingFaults = history.faults.filter(({ hidesList }) => hidesList)
  for (const { target, visibleAt } of history.leaving) {
    const bound = computeReachableSince(hidingFaults, visibleAt, leavingBoundMs) + leavingBoundMs
    const lateStarts = history.starts.filter(start => start.target === target && start.at > bound)
    if (lateStarts.length > 0) {
      const lastStart = Math.max(...lateStarts.map(({ at }) => at))
      violations.push({ invariant: 'I6', message: `${lateStarts.length} tasks were started at the leaving target ${target}, the last ${lastStart - visibleAt} ms after its mark was visible` })
    }
  }
  return violations
}

/**
 * Checks I7: a planned stop exits with code 0 and interrupts no in-flight request.
 *
 * @returns the violations, ordered by stop
 */
export function checkStops (history: History): readonly Violation[] {
  return history.stops.flatMap(stop => checkStop(stop, history))
}

function checkStop (stop: StopRecord, { calls }: History): readonly Violation[] {
  const violations: Violation[] = []
  if (stop.exitCode !== 0) {
    violations.push({ invariant: 'I7', message: `the planned stop of ${stop.process} ended with exit code ${String(stop.exitCode)}` })
  }
  for (const { op, via, reply, sentAt, at } of calls) {
    if (via !== stop.process || reply.kind !== 'reset') continue
    if (at < stop.begunAt || sentAt > stop.endedAt) continue
    violations.push({ invariant: 'I7', message: `the planned stop of ${stop.process} cut off a ${op} ${at - stop.begunAt} ms after it began: ${reply.message}` })
  }
  return violations
}
