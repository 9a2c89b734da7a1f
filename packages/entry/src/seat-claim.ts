import { planClaim, type SeatHolder } from '@sesamereel/coordination'
import { type SeatRow, seatRowSchema, seatTable, type Row } from '@sesamereel/protocol'
import { type PlatformClient } from '@sesamereel/transport'

/** Result of claiming a seat. */
export type ClaimResult =
  /** The claim is committed. The share is usable at once if the seat was `free`; if it was `held`, an earlier holder may still run work. */
  | { readonly kind: 'claimed', readonly generation: number, readonly seat: 'free' | 'held' }
  | { readonly kind: 'unavailable', readonly message: string }

/** Maximum number of attempts for one claim while other instances write the row. */
const maxClaimAttempts = 5

/** Claims, checks and releases one seat in the table service, whose row records the holder. */
export class SeatClaim {
  readonly #platform: PlatformClient
  readonly #key: { readonly table: string, readonly key: string }
  readonly #incarnation: string
  #claimed: { readonly generation: number, readonly version: number } | undefined

  /**
   * @param seat - `DOMAIN.SEAT`
   */
  constructor (platform: PlatformClient, seat: string, incarnation: string) {
    this.#platform = platform
    this.#key = { table: seatTable, key: seat }
    this.#incarnation = incarnation
  }

  /**
   * Claims the seat with the next generation.
   *
   * @param newestKnown - newest other holder that peers have reported
   */
  async claim (newestKnown: SeatHolder | undefined): Promise<ClaimResult> {
    const read = await this.#platform.readRows([this.#key])
    if (read.kind !== 'found') return { kind: 'unavailable', message: read.kind === 'absent' ? 'no reply' : read.message }
    let row = read.value[0]!
    for (let attempts = 0; attempts < maxClaimAttempts; attempts++) {
      const previous = parseSeatRow(row)
      // An earlier attempt of this process may have been committed although its reply was lost.
      if (previous?.incarnation === this.#incarnation) return this.#recordClaim(previous.generation, row.version, 'held')
      const plan = planClaim(previous, newestKnown, this.#incarnation)
      const value: SeatRow = { ...plan.record }
      const result = await this.#platform.transact([{ ...this.#key, version: row.version }], [{ ...this.#key, value }])
      // The holder in a malformed row is unknown, so the seat counts as held.
      if (result.kind === 'committed') return this.#recordClaim(value.generation, row.version + 1, previous === undefined && row.version > 0 ? 'held' : plan.kind)
      if (result.kind !== 'conflict') return { kind: 'unavailable', message: result.message }
      row = result.rows[0] ?? row
    }
    return { kind: 'unavailable', message: `the claim conflicted with other writes to the seat row ${maxClaimAttempts} times` }
  }

  /**
   * Checks in the store whether the claim is still in place. It uses a transaction without writes,
   * which checks the current row, because a read may be stale and miss a newer claim.
   *
   * @returns the holder that the row records; undefined when nothing was claimed, the store did not
   *   answer or the row is malformed
   */
  async checkHolder (): Promise<SeatHolder | undefined> {
    const claimed = this.#claimed
    if (claimed === undefined) return undefined
    const result = await this.#platform.transact([{ ...this.#key, version: claimed.version }], [])
    if (result.kind === 'committed') return { generation: claimed.generation, incarnation: this.#incarnation }
    const row = result.kind === 'conflict' ? result.rows[0] : undefined
    return row === undefined ? undefined : parseSeatRow(row)
  }

  /**
   * Marks the seat as released, so that the next holder may use its share at once.
   *
   * @returns whether the store confirmed the write
   */
  async release (): Promise<boolean> {
    const claimed = this.#claimed
    if (claimed === undefined) return false
    const value: SeatRow = { generation: claimed.generation, incarnation: this.#incarnation, state: 'released' }
    const result = await this.#platform.transact([{ ...this.#key, version: claimed.version }], [{ ...this.#key, value }])
    return result.kind === 'committed'
  }

  #recordClaim (generation: number, version: number, seat: 'free' | 'held'): ClaimResult {
    this.#claimed = { generation, version }
    return { kind: 'claimed', generation, seat }
  }
}

function parseSeatRow (row: Row): SeatRow | undefined {
  const parsed = seatRowSchema.safeParse(row.value)
  return row.version > 0 && parsed.success ? parsed.data : undefined
}
