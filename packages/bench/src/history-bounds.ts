import { type FaultRecord } from './history-records.js'

/** Bound of I6 in milliseconds. */
export const leavingBoundMs = 3_000

/** Bound of I8 in milliseconds. */
export const configurationBoundMs = 5_000

/** Time in milliseconds within which tasks that run under a replaced limit end by their lease. */
export const leaseEndMs = 11_000

/**
 * Computes when everything published has become visible to all instances.
 *
 * A bound such as that of I6 or I8 counts from this moment, so faults that cut instances off from
 * what is published extend it.
 *
 * @param faults - faults that cut instances off from the published data
 * @param publishedAt - time of publication
 * @param boundMs - time that must pass after the publication without such a fault
 * @returns `publishedAt`, or the end of the last fault that began before the bound had passed
 */
export function computeReachableSince (faults: readonly FaultRecord[], publishedAt: number, boundMs: number): number {
  let since = publishedAt
  for (const { from, to } of [...faults].sort((a, b) => a.from - b.from)) {
    if (from <= since + boundMs && to > since) since = to
  }
  return since
}

/**
 * Computes the latest time at which a configuration comes into force on every reachable instance.
 *
 * @param faults - all faults of a history; only those that hide the configuration count
 * @param committedAt - time of the commit; Infinity for a commit that never happens
 */
export function computeInForceBy (faults: readonly FaultRecord[], committedAt: number): number {
  const hiding = faults.filter(({ hidesConfiguration }) => hidesConfiguration)
  return computeReachableSince(hiding, committedAt, configurationBoundMs) + configurationBoundMs
}
