import { randomBytes } from 'node:crypto'
import { type SeatId } from '@sesamereel/state'

/** Who this process is. */
export interface Identity extends SeatId {
  /** Random for each process start. */
  readonly incarnation: string
}

/**
 * Creates the identity of a process that starts now.
 *
 * @param seat - seat from the settings
 * @returns the seat with 64 random bits as incarnation
 */
export function createIdentity (seat: SeatId): Identity {
  return { domain: seat.domain, seat: seat.seat, incarnation: randomBytes(8).toString('hex') }
}
