import { DefaultPlacement, LateBindingPlacement } from './placement-default.js'
import { LeastOutstandingPlacement, RandomPlacement, RoundRobinPlacement, TwoChoicesPlacement } from './placement-early-binding.js'
import { type PlacementPolicy } from './placement-policy.js'

export const placementNames = ['random', 'round-robin', 'least-outstanding', 'two-choices', 'late-binding', 'default'] as const

export type PlacementName = (typeof placementNames)[number]

/**
 * Creates the placement policy with the given name.
 *
 * @param random - returns a random number from 0 (inclusive) to 1 (exclusive)
 */
export function createPlacement (name: PlacementName, random: () => number): PlacementPolicy {
  switch (name) {
    case 'random': return new RandomPlacement(random)
    case 'round-robin': return new RoundRobinPlacement()
    case 'least-outstanding': return new LeastOutstandingPlacement()
    case 'two-choices': return new TwoChoicesPlacement(random)
    case 'late-binding': return new LateBindingPlacement()
    case 'default': return new DefaultPlacement()
  }
}
