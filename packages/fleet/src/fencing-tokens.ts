import { tokensPerRevision } from './directory.js'

/**
 * Fencing tokens reserved for the holder of a row and for each successor: one for each incarnation of a target that one
 * token can tell apart. `tokensPerRevision` is not raised instead, because a dispatcher of a version with fewer tokens
 * per revision would then be refused by all targets after an upgrade or a rollback.
 */
export const tokensPerHolder = 4

/**
 * Computes the first fencing token of a dispatcher; the following ones, below the next rank's, fence earlier incarnations of a target.
 *
 * @param revision - revision of the domain's row
 * @param rank - 0 for the holder, from 1 for the successors that the row names
 * @returns the token
 * @throws RangeError when the rank is above that of the last successor
 */
export function computeToken (revision: number, rank = 0): number {
  if (rank >= tokensPerRevision / tokensPerHolder) throw new RangeError(`no tokens for rank ${rank}`)
  return revision * tokensPerRevision + rank * tokensPerHolder
}
