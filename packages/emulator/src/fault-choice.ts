import { type EmulatedFleet } from './emulated-fleet.js'
import { type EmulatedTarget } from './emulated-target.js'

/** Picks a live instance, in half of the cases one that runs a dispatcher, if there is one. */
export function pickInstance ({ random, instances }: EmulatedFleet): string | undefined {
  const dispatchingInstances = [...instances].filter(([, parts]) => parts.server.listDispatchers().length > 0).map(([name]) => name)
  return random.drawBoolean(0.5) ? random.pick(dispatchingInstances) : random.pick([...instances.keys()])
}

export function pickTarget ({ random, targets }: EmulatedFleet): EmulatedTarget {
  return random.pick([...targets.values()])!
}

/** Picks a failure domain, with a probability in proportion to its number of targets. */
export function pickDomain (fleet: EmulatedFleet): string {
  return pickTarget(fleet).info.domain
}
