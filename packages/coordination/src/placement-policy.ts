import { type Demand } from '@sesamereel/state'
import { type TargetState } from './target-state.js'

/** The task for which a target is to be selected. */
export interface PlacementRequest {
  readonly demand: Demand
  /** Expected run time of the task in milliseconds at a target of average speed. */
  readonly expectedMs: number
  /** Id of a target where an earlier attempt failed; selected only when there is no other. */
  readonly avoidTargetId?: string | undefined
  readonly now: number
}

/** State that a policy can read. */
export interface PlacementView {
  /** Returns the targets in the latest list; a policy has to check `isUsable` for each. */
  listTargets (): readonly TargetState[]
  getSlowdownFactor (targetId: string): number
  /** Returns the number of queued tasks that may be able to start now, at most `most`. */
  countQueued (most: number): number
}

/**
 * Decision about one task: `start` it at a target with free capacity; `bind` it to a busy target, where
 * it waits; `wait` in the queue, because the task is expected to end sooner at a faster target that
 * is busy; or `none`, when no usable target can take it.
 */
export type PlacementDecision =
  | { readonly kind: 'start', readonly target: TargetState }
  | { readonly kind: 'bind', readonly target: TargetState }
  | { readonly kind: 'wait' }
  | { readonly kind: 'none' }

export const noPlacement: PlacementDecision = { kind: 'none' }

/** Selects the targets of tasks. */
export abstract class PlacementPolicy {
  abstract readonly name: string

  /** Whether slot credits are borrowed from and lent to other instances. */
  readonly sharesCredits: boolean = true

  /** Decides what to do with a task now. */
  abstract selectTarget (request: PlacementRequest, view: PlacementView): PlacementDecision
}
