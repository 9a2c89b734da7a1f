/** One holder of a seat. The order of holders is that of generation, then incarnation. */
export interface SeatHolder {
  /** Rises with each new holder of the seat; provisional while the store has not recorded it. */
  readonly generation: number
  readonly incarnation: string
}

/** Row of the table service that records the holder of a seat. */
export interface SeatRecord extends SeatHolder {
  readonly state: 'held' | 'released'
}

/**
 * Tells whether one holder follows another. Two holders can reach the same generation when
 * the store is down; the incarnation then decides, the same way at every instance.
 *
 * @returns true when `one` is the later holder
 */
export function isLaterHolder (one: SeatHolder, other: SeatHolder | undefined): boolean {
  if (other === undefined) return true
  if (one.generation !== other.generation) return one.generation > other.generation
  return one.incarnation > other.incarnation
}

/** How a new holder finds its seat: whether an earlier holder may still be at work. */
export interface ClaimPlan {
  readonly kind: 'free' | 'held'
  /** What is to be written if the row has not changed since it was read. */
  readonly record: SeatRecord
}

/**
 * Plans the claim of a seat.
 *
 * @param row - the row as the store has it, undefined when there is none
 * @param newestKnown - newest holder that peers know of. A holder that started while the store
 *   was down is later than the row, so that the seat is held even if the row is released
 * @param incarnation - the new holder
 * @returns the record to write with the version of the row as a check
 */
export function planClaim (row: SeatRecord | undefined, newestKnown: SeatHolder | undefined, incarnation: string): ClaimPlan {
  const generation = Math.max(row?.generation ?? 0, newestKnown?.generation ?? 0) + 1
  const isFree = row === undefined || row.state === 'released'
  const isPassed = newestKnown !== undefined && newestKnown.incarnation !== incarnation && isLaterHolder(newestKnown, row)
  return { kind: isFree && !isPassed ? 'free' : 'held', record: { generation, incarnation, state: 'held' } }
}
