/** Time limits of dispatching that follow from the guarantees of the platform. */
export interface FleetLimits {
  /** Longest lease of a run in milliseconds; targets shorten longer leases. */
  readonly maxLeaseMs: number
  /** Time in milliseconds within which a stopped run ends. */
  readonly stopMs: number
  /** Time in milliseconds after which a caller without an answer resubmits its job. */
  readonly resubmitMs: number
  /** Time in milliseconds after which an unanswered order can no longer be carried out. */
  readonly lateOrderMs: number
}

/** The platform's network may deliver an order up to 12 s late. */
const lateOrderMs = 12_500

export const defaultFleetLimits: FleetLimits = { maxLeaseMs: 1_000, stopMs: 50, resubmitMs: 1_300, lateOrderMs }

/** Lowest rate of a target's clock relative to the local clock. */
export const slowestClockRate = 0.98
