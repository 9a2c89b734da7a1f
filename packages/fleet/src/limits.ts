/** Times and counts of the dispatch that follow from what the platform promises. */
export interface FleetLimits {
  /** Longest lease of a run in milliseconds; a target shortens longer ones. */
  readonly maxLeaseMs: number
  /** Time in milliseconds within which a stopped run ends. */
  readonly stopMs: number
  /** Time in milliseconds after which a caller without an answer sends its job again. */
  readonly resubmitMs: number
  /** Time in milliseconds after which an order without an answer is surely not carried out any more. */
  readonly lateOrderMs: number
}

/** The platform's network delivers a delayed order up to 12 s late. */
const lateOrderMs = 12_500

export const defaultFleetLimits: FleetLimits = { maxLeaseMs: 1_000, stopMs: 50, resubmitMs: 1_300, lateOrderMs }

/** A target's clock may run this much slower than ours. */
export const slowestClockRate = 0.98
