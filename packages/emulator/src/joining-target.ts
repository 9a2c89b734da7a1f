import { type EmulatedFleet } from './emulated-fleet.js'
import { pickTarget } from './fault-choice.js'

/** Adds a target to a random failure domain while the fleet runs, unless the store, to which it announces itself, has a fault. */
export function joinTarget (fleet: EmulatedFleet): undefined {
  if (fleet.store.fault === 'none') fleet.addTarget(pickTarget(fleet).info.domain)
}
