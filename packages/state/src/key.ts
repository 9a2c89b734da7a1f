import { type SeatId } from './topology.js'

/** The identity of a job from submission to answer, issued by one incarnation of an instance. */
export interface JobKey extends SeatId {
  /** Random id of the instance process that issued the key; only this incarnation ever admits the key. */
  readonly incarnation: string
  /** Zero-based number of the key within its incarnation. */
  readonly sequence: number
}

const keyPattern = /^([a-z0-9-]{1,40})\.(\d{1,4})\.([a-z0-9]{8,32})\.(\d{1,15})$/

/**
 * Formats a key as `DOMAIN.SEAT.INCARNATION.SEQUENCE`.
 *
 * @returns the text form
 */
export function formatKey (key: JobKey): string {
  return `${key.domain}.${key.seat}.${key.incarnation}.${key.sequence}`
}

/**
 * Parses the text form of a key.
 *
 * @returns the key, or undefined when the text is malformed
 */
export function parseKey (text: string): JobKey | undefined {
  const match = keyPattern.exec(text)
  if (match === null) return undefined
  const [, domain, seat, incarnation, sequence] = match
  return { domain: domain!, seat: Number(seat), incarnation: incarnation!, sequence: Number(sequence) }
}
