import { type PlacementDecision, noPlacement, PlacementPolicy, type PlacementRequest, type PlacementView } from './placement-policy.js'
import { type TargetState } from './target-state.js'

/**
 * Base class of the policies that choose a target whether or not it has a free slot; a task for a
 * busy target waits there. They serve as baselines for measurements.
 */
abstract class EarlyBindingPlacement extends PlacementPolicy {
  override selectTarget (request: PlacementRequest, view: PlacementView): PlacementDecision {
    const candidates = view.listTargets().filter(target => target.isUsable(request.now) && target.isLargeEnough(request.demand))
    const others = candidates.length > 1 ? candidates.filter(target => target.id !== request.avoidTargetId) : candidates
    if (others.length === 0) return noPlacement
    const target = this.pickTarget(others)
    return { kind: target.boundTasks.length === 0 && target.hasFreeCapacity(request.demand) ? 'start' : 'bind', target }
  }

  protected abstract pickTarget (candidates: readonly TargetState[]): TargetState
}

function countOutstanding (target: TargetState): number {
  return target.running.size + target.boundTasks.length
}

/** Selects any target with equal probability. */
export class RandomPlacement extends EarlyBindingPlacement {
  override readonly name = 'random'

  constructor (private readonly random: () => number) {
    super()
  }

  protected override pickTarget (candidates: readonly TargetState[]): TargetState {
    return candidates[Math.floor(this.random() * candidates.length)]!
  }
}

/** Selects the targets in turn. */
export class RoundRobinPlacement extends EarlyBindingPlacement {
  override readonly name = 'round-robin'
  private turn = 0

  protected override pickTarget (candidates: readonly TargetState[]): TargetState {
    return candidates[this.turn++ % candidates.length]!
  }
}

/** Selects the target with the fewest tasks of this instance, running or waiting there. */
export class LeastOutstandingPlacement extends EarlyBindingPlacement {
  override readonly name = 'least-outstanding'

  protected override pickTarget (candidates: readonly TargetState[]): TargetState {
    return candidates.reduce((best, target) => countOutstanding(target) < countOutstanding(best) ? target : best)
  }
}

/** Selects the target with fewer tasks of this instance out of two that are drawn at random. */
export class TwoChoicesPlacement extends EarlyBindingPlacement {
  override readonly name = 'two-choices'

  constructor (private readonly random: () => number) {
    super()
  }

  protected override pickTarget (candidates: readonly TargetState[]): TargetState {
    const first = candidates[Math.floor(this.random() * candidates.length)]!
    const second = candidates[Math.floor(this.random() * candidates.length)]!
    return countOutstanding(second) < countOutstanding(first) ? second : first
  }
}
