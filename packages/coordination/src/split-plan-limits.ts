import { type Configuration, countSeats, findLimit, findSeatIndex, type ResourceVector, type SeatId, splitLimit, type Topology } from '@sesamereel/state'

/**
 * Computes the share of one seat in the limit of each customer.
 *
 * @returns shares by customer; empty when the topology has no such seat
 */
export function splitPlanLimits (configuration: Configuration, topology: Topology, seat: SeatId): ReadonlyMap<string, ResourceVector> {
  const shares = new Map<string, ResourceVector>()
  const index = findSeatIndex(topology, seat)
  if (index === undefined) return shares
  const count = countSeats(topology)
  for (const customer of Object.keys(configuration.plans)) {
    const limit = findLimit(configuration, customer)
    if (limit !== undefined) shares.set(customer, splitLimit(limit, count, index, customer))
  }
  return shares
}
