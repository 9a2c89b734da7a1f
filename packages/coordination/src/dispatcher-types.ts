import { type ResultError, type SeatId, type Topology } from '@sesamereel/state'
import { type AttemptRunner } from './attempt.js'
import { type Clock } from './clock.js'
import { type DispatchObserver } from './dispatch-observer.js'
import { type IssueResult } from './job-registry.js'
import { type LeavingNotice } from './leaving-tracker.js'
import { type LoanChannel } from './loans.js'
import { type PlacementPolicy } from './placement-policy.js'

export interface DispatcherOptions {
  readonly identity: SeatId & { readonly incarnation: string }
  readonly topology: Topology
  readonly clock: Clock
  readonly runner: AttemptRunner
  readonly loans: LoanChannel
  readonly placement: PlacementPolicy
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number
  /** Returns whether this instance may use its own plan share now (see `SeatGuard`). */
  readonly isShareUsable: () => boolean
  readonly observer?: DispatchObserver
}

export type IssueReply = IssueResult

export type SubmitReply =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'attached' }
  | { readonly kind: 'refused', readonly error: ResultError }

/** Demand and target observations of this instance, which its heartbeats carry to peers. */
export interface InstanceDemand {
  readonly queuedByCustomer: Readonly<Record<string, number>>
  readonly ejectedTargets: readonly string[]
  readonly leavingTargets: readonly LeavingNotice[]
}
