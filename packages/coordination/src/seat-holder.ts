/**
 * A holder of a seat: the incarnation of an instance that has taken the seat. A seat is a
 * numbered place for one instance in a domain, and owns a share of each customer's plan. Holders
 * of a seat are ordered by generation, then by incarnation.
 */
export interface SeatHolder {
  /** Increases with each new holder of the seat; provisional until the store has recorded it. */
  readonly generation: number
  readonly incarnation: string
}

/** Row of the table service that records the holder of a seat. */
export interface SeatRecord extends SeatHolder {
  readonly state: 'held' | 'released'
}

/**
 * Tells whether a holder is later than another one. Two holders can reach the same generation
 * while the store is down; then the incarnation decides, so that all instances agree.
 *
 * @returns true when `one` is the later holder or there is no other
 */
export function isLaterHolder (one: SeatHolder, other: SeatHolder | undefined): boolean {
  if (other === undefined) return true
  if (one.generation !== other.generation) return one.generation > other.generation
  return one.incarnation > other.incarnation
}

/** The claim of a seat. `held` means that an earlier holder may still be running work. */
export interface ClaimPlan {
  readonly kind: 'free' | 'held'
  /** Record to write, provided that the row has not changed since it was read. */
  readonly record: SeatRecord
}

/**
 * Plans the claim of a seat.
 *
 * @param row - the row in the store, undefined when there is none
 * @param newestKnown - newest holder that peers know of. A holder that started while the store
 *   was down is later than the row, so that the seat counts as held even if the row says
 *   `released`
 * @param incarnation - incarnation of the new holder
 * @returns the record to write, conditional on the version of the row
 */
export function planClaim (row: SeatRecord | undefined, newestKnown: SeatHolder | undefined, incarnation: string): ClaimPlan {
  const generation = Math.max(row?.generation ?? 0, newestKnown?.generation ?? 0) + 1
  const isFree = row === undefined || row.state === 'released'
  const isSuperseded = newestKnown !== undefined && newestKnown.incarnation !== incarnation && isLaterHolder(newestKnown, row)
  return { kind: isFree && !isSuperseded ? 'free' : 'held', record: { generation, incarnation, state: 'held' } }
}
