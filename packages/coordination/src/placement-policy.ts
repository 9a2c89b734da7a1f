import { type Demand } from '@sesamereel/state'
import { type TargetState } from './target-state.js'

/** The task that is to be placed. */
export interface PlacementRequest {
  readonly demand: Demand
  /** Expected run time in milliseconds at a target of average speed. */
  readonly expectedMs: number
  /** Target where an earlier attempt failed; chosen only when there is no other. */
  readonly avoidTargetId?: string | undefined
  readonly now: number
}

/** What a policy may look at. */
export interface PlacementView {
  /** Targets in the newest list; a policy checks each with `isUsable`. */
  listTargets (): readonly TargetState[]
  getSlowdownFactor (targetId: string): number
  /** Counts queued tasks that could start now, and stops at `most`. */
  countQueued (most: number): number
}

/**
 * Decision about one task: start it at a free target; bind it to a busy target and let it wait
 * there; wait for a busy target that is expected to end it sooner; or none, when no usable
 * target has room.
 */
export type PlacementDecision =
  | { readonly kind: 'start', readonly target: TargetState }
  | { readonly kind: 'bind', readonly target: TargetState }
  | { readonly kind: 'wait' }
  | { readonly kind: 'none' }

export const noPlacement: PlacementDecision = { kind: 'none' }

/** Chooses the target of a task. */
export abstract class PlacementPolicy {
  abstract readonly name: string

  /** Whether slot credits are borrowed from and lent to other instances. */
  readonly sharesCredits: boolean = true

  /** @returns what to do with the task now */
  abstract selectTarget (request: PlacementRequest, view: PlacementView): PlacementDecision
}
