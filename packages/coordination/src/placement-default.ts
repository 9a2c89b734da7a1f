import { type PlacementDecision, noPlacement, PlacementPolicy, type PlacementRequest, type PlacementView } from './placement-policy.js'
import { type RunningAttempt, type TargetState } from './target-state.js'

/** A faster target must promise an end this much earlier, in milliseconds, before a task waits for it. */
const fewestSavedMs = 5

/**
 * Estimates how long an attempt will still run. One that is over its expected time is assumed to
 * need half of its present age again, so that a task does not wait for a straggler for long.
 */
function estimateRemaining (attempt: RunningAttempt, now: number): number {
  const age = now - attempt.startedAt
  return age <= attempt.expectedMs ? attempt.expectedMs - age : age / 2
}

/** The free target with the earliest expected end, or waiting for a busy one that is expected to end sooner. */
export class DefaultPlacement extends PlacementPolicy {
  override readonly name: string = 'default'

  override selectTarget (request: PlacementRequest, view: PlacementView): PlacementDecision {
    const { demand, avoidTargetId, now } = request
    let best: TargetState | undefined
    let bestFactor = Infinity
    let avoided: TargetState | undefined
    let lowestFactor = Infinity
    for (const target of view.listTargets()) {
      if (!target.isUsable(now)) continue
      const factor = view.getSlowdownFactor(target.id)
      if (factor < lowestFactor) lowestFactor = factor
      if (factor >= bestFactor || !target.hasRoom(demand)) continue
      if (target.id === avoidTargetId) {
        avoided = target
        continue
      }
      best = target
      bestFactor = factor
    }
    best ??= avoided
    if (best === undefined) return noPlacement
    const runMs = request.expectedMs * view.getSlowdownFactor(best.id)
    if (runMs - request.expectedMs * lowestFactor > fewestSavedMs && this.shouldWait(request, view, runMs)) return { kind: 'wait' }
    return { kind: 'start', target: best }
  }

  /**
   * Tells whether enough slots of faster targets are expected to free in time for all queued
   * tasks. With a longer queue, the tasks behind would take those slots, so no slot is left idle.
   */
  private shouldWait (request: PlacementRequest, view: PlacementView, runMs: number): boolean {
    let sooner = 0
    for (const target of view.listTargets()) {
      const fastRunMs = request.expectedMs * view.getSlowdownFactor(target.id)
      if (fastRunMs + fewestSavedMs >= runMs || !target.isUsable(request.now) || !target.isLargeEnough(request.demand)) continue
      for (const attempt of target.running.values()) {
        if (estimateRemaining(attempt, request.now) + fastRunMs + fewestSavedMs < runMs) sooner++
      }
    }
    return sooner > 0 && view.countQueued(sooner + 1) <= sooner
  }
}

/** The same choice without sharing of credits between instances: each keeps its own part of the slots. */
export class LateBindingPlacement extends DefaultPlacement {
  override readonly name = 'late-binding'
  override readonly sharesCredits = false
}
