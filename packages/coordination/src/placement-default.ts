import { type PlacementDecision, noPlacement, PlacementPolicy, type PlacementRequest, type PlacementView } from './placement-policy.js'
import { type RunningAttempt, type TargetState } from './target-state.js'

/** Minimum time in milliseconds that waiting for a faster target has to be expected to save. */
const minSavedMs = 5

/**
 * Estimates the remaining run time of an attempt in milliseconds. An attempt that exceeds its
 * expected time is assumed to run for another half of its age, so that no task waits long for a straggler.
 */
function estimateRemaining (attempt: RunningAttempt, now: number): number {
  const age = now - attempt.startedAt
  return age <= attempt.expectedMs ? attempt.expectedMs - age : age / 2
}

/**
 * Selects the fastest target with free capacity, or waits when the task is expected to end sooner
 * at a faster target that is busy.
 */
export class DefaultPlacement extends PlacementPolicy {
  override readonly name: string = 'default'

  override selectTarget (request: PlacementRequest, view: PlacementView): PlacementDecision {
    const { demand, avoidTargetId, now } = request
    let best: TargetState | undefined
    let bestSlowdown = Infinity
    let avoided: TargetState | undefined
    let lowestSlowdown = Infinity
    for (const target of view.listTargets()) {
      if (!target.isUsable(now)) continue
      const slowdown = view.getSlowdownFactor(target.id)
      if (slowdown < lowestSlowdown) lowestSlowdown = slowdown
      if (slowdown >= bestSlowdown || !target.hasFreeCapacity(demand)) continue
      if (target.id === avoidTargetId) {
        avoided = target
        continue
      }
      best = target
      bestSlowdown = slowdown
    }
    best ??= avoided
    if (best === undefined) return noPlacement
    const runMs = request.expectedMs * view.getSlowdownFactor(best.id)
    if (runMs - request.expectedMs * lowestSlowdown > minSavedMs && this.shouldWait(request, view, runMs)) return { kind: 'wait' }
    return { kind: 'start', target: best }
  }

  /**
   * Returns whether enough slots of faster targets are expected to become free in time for all
   * queued tasks. When the queue is longer than that, the task starts now: the tasks behind it will
   * use those slots, and no slot is left idle.
   *
   * @param runMs - expected run time in milliseconds at the best target with free capacity
   */
  private shouldWait (request: PlacementRequest, view: PlacementView, runMs: number): boolean {
    let soonerSlots = 0
    for (const target of view.listTargets()) {
      const fasterRunMs = request.expectedMs * view.getSlowdownFactor(target.id)
      if (fasterRunMs + minSavedMs >= runMs || !target.isUsable(request.now) || !target.isLargeEnough(request.demand)) continue
      for (const attempt of target.running.values()) {
        if (estimateRemaining(attempt, request.now) + fasterRunMs + minSavedMs < runMs) soonerSlots++
      }
    }
    return soonerSlots > 0 && view.countQueued(soonerSlots + 1) <= soonerSlots
  }
}

/** Default policy without sharing of slot credits between instances: each uses only its own part of the slots. */
export class LateBindingPlacement extends DefaultPlacement {
  override readonly name = 'late-binding'
  override readonly sharesCredits = false
}
