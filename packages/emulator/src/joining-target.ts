import { type EmulatedFleet, emulatedTargetTable } from './emulated-fleet.js'
import { EmulatedTarget } from './emulated-target.js'
import { pickTarget } from './fault-choice.js'

/** Adds a target to a random failure domain while the fleet runs, unless the store, to which it announces itself, has a fault. */
export function joinTarget (fleet: EmulatedFleet): undefined {
  const { clock, history, store, targets } = fleet
  if (store.fault !== 'none') return
  const neighbour = pickTarget(fleet).info
  const id = `target-${neighbour.domain}-joined-${targets.size}`
  const info = { ...neighbour, id, address: id, draining: false }
  targets.set(id, new EmulatedTarget(info, clock, history))
  store.put(emulatedTargetTable, id, JSON.stringify(info))
}
