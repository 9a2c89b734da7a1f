import { type JobKey, type SeatId } from '@sesamereel/state'
import { type Membership, type Peer } from './membership.js'

/** Where requests for a key are handled. */
export type KeyRoute =
  | { readonly kind: 'local' }
  | { readonly kind: 'forward', readonly peer: Peer }
  | { readonly kind: 'owner-gone' }
  | { readonly kind: 'owner-unreachable' }

/**
 * Decides where a submit, fetch or cancel request for a key is handled.
 *
 * @param isConfirmed - whether this instance is known to be the latest holder of its seat;
 *   otherwise the key may belong to a later holder
 * @returns `owner-gone` only when the incarnation that issued the key is known to have ended
 *   or to have been given up
 */
export function routeKey (key: JobKey, self: SeatId & { readonly incarnation: string }, membership: Membership, isConfirmed: boolean): KeyRoute {
  if (key.domain === self.domain && key.seat === self.seat) {
    if (key.incarnation === self.incarnation) return { kind: 'local' }
    return { kind: isConfirmed ? 'owner-gone' : 'owner-unreachable' }
  }
  const owner = membership.findOwner(key)
  if (owner.kind === 'peer') return { kind: 'forward', peer: owner.peer }
  return { kind: owner.kind === 'gone' ? 'owner-gone' : 'owner-unreachable' }
}
