/** Times and counts of the dispatch that follow from what the platform promises. */
export interface FleetLimits {
  /** Longest lease of a run in milliseconds; a target shortens longer ones. */
  readonly maxLeaseMs: number
  /** Time in milliseconds within which a stopped run ends. */
  readonly stopMs: number
  /** Time in milliseconds after which a caller without an answer sends its job again. */
  readonly resubmitMs: number
}

export const defaultFleetLimits: FleetLimits = { maxLeaseMs: 1_000, stopMs: 50, resubmitMs: 1_300 }

/** A target's clock may run this much slower than ours. */
export const slowestClockRate = 0.98
