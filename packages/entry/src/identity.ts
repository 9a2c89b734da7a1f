import { randomBytes } from 'node:crypto'
import { type SeatId } from '@sesamereel/state'

/** Identity of the running process: its seat and its incarnation. */
export interface Identity extends SeatId {
  /** Random hexadecimal number that differs for each start of the process. */
  readonly incarnation: string
}

/**
 * Creates the identity of the starting process.
 *
 * @param seat - seat from the settings
 * @returns the seat, with 64 random bits in 16 hexadecimal digits as its incarnation
 */
export function createIdentity (seat: SeatId): Identity {
  return { domain: seat.domain, seat: seat.seat, incarnation: randomBytes(8).toString('hex') }
}
