/** One failure domain and the number of its seats. */
export interface DomainTopology {
  readonly name: string
  readonly seats: number
}

/** All failure domains; every instance is configured with the same topology. */
export interface Topology {
  readonly domains: readonly DomainTopology[]
}

/** Identifies a seat: a membership slot for one entry instance in a failure domain. */
export interface SeatId {
  readonly domain: string
  /** Zero-based number of the seat within its domain. */
  readonly seat: number
}

/**
 * Formats a seat as `DOMAIN.SEAT`, the form used in keys, table rows and logs.
 *
 * @returns the text form
 */
export function formatSeat (seat: SeatId): string {
  return `${seat.domain}.${seat.seat}`
}

/**
 * Counts the seats of all domains.
 *
 * @returns the total number of seats
 */
export function countSeats (topology: Topology): number {
  return topology.domains.reduce((sum, domain) => sum + domain.seats, 0)
}

/**
 * Finds the zero-based index of a seat among the seats of all domains, in the order of the topology.
 *
 * @returns the index, or undefined when the topology has no such seat
 */
export function findSeatIndex (topology: Topology, seat: SeatId): number | undefined {
  let base = 0
  for (const domain of topology.domains) {
    if (domain.name === seat.domain) return seat.seat >= 0 && seat.seat < domain.seats ? base + seat.seat : undefined
    base += domain.seats
  }
  return undefined
}
