import { type SeatId } from '@sesamereel/state'

/**
 * Parses the text form `DOMAIN.SEAT` of a seat.
 *
 * @returns the seat, or undefined when the text is malformed
 */
export function parseSeat (text: string): SeatId | undefined {
  const match = /^([a-z0-9-]{1,40})\.(\d{1,4})$/.exec(text)
  return match === null ? undefined : { domain: match[1]!, seat: Number(match[2]) }
}
