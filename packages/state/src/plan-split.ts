import { type ResourceVector } from './resources.js'
import { hashText } from './hash.js'

/**
 * Splits one dimension of a limit among the seats. The remainder goes to consecutive seats
 * from `start` on. The share of each seat never decreases when the limit rises, so the shares
 * of seats that apply a change of limit at different times never add up to more than the larger limit.
 *
 * @param limit - whole amount to split
 * @param seatCount - number of seats, at least 1
 * @param seatIndex - zero-based index of the seat whose share is computed
 * @param start - index, modulo `seatCount`, of the first seat that gets a part of the remainder
 * @returns the share of the seat; all shares add up to `limit`
 */
export function splitAmount (limit: number, seatCount: number, seatIndex: number, start: number): number {
  const offset = (seatIndex - start % seatCount + seatCount) % seatCount
  return Math.floor(limit / seatCount) + (offset < limit % seatCount ? 1 : 0)
}

/**
 * Computes the share of a seat in a customer's limit (docs/design.md, section 5).
 *
 * @param limit - limit of the customer's plan
 * @param seatCount - number of seats in the topology
 * @param seatIndex - index of the seat over all domains
 * @param customer - name whose hash selects the first seat that gets a part of the remainder
 * @returns the share of the seat
 */
export function splitLimit (limit: ResourceVector, seatCount: number, seatIndex: number, customer: string): ResourceVector {
  const start = hashText(customer)
  return {
    processors: splitAmount(limit.processors, seatCount, seatIndex, start),
    memoryMb: splitAmount(limit.memoryMb, seatCount, seatIndex, start),
    accelerators: splitAmount(limit.accelerators, seatCount, seatIndex, start),
    parallel: splitAmount(limit.parallel, seatCount, seatIndex, start)
  }
}
