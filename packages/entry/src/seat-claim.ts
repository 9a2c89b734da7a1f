import { planClaim, type SeatHolder } from '@sesamereel/coordination'
import { type SeatRow, seatRowSchema, seatTable, type Row } from '@sesamereel/protocol'
import { type PlatformClient } from '@sesamereel/transport'

/** Result of a claim. */
export type ClaimResult =
  /** The claim is committed; a `free` seat's share is usable at once. */
  | { readonly kind: 'claimed', readonly generation: number, readonly seat: 'free' | 'held' }
  | { readonly kind: 'unavailable', readonly message: string }

/** Tries of one claim while others write the row. */
const claimTries = 5

/** The row of the table service that records the holder of one seat. */
export class SeatClaim {
  readonly #platform: PlatformClient
  readonly #key: { readonly table: string, readonly key: string }
  readonly #incarnation: string
  #held: { readonly generation: number, readonly version: number } | undefined

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
   * @param newestKnown - newest other holder that peers have named
   */
  async claim (newestKnown: SeatHolder | undefined): Promise<ClaimResult> {
    const read = await this.#platform.readRows([this.#key])
    if (read.kind !== 'found') return { kind: 'unavailable', message: read.kind === 'absent' ? 'no reply' : read.message }
    let row = read.value[0]!
    for (let tries = 0; tries < claimTries; tries++) {
      const before = parseSeatRow(row)
      // An earlier try of this process may have been written after all.
      if (before?.incarnation === this.#incarnation) return this.#keep(before.generation, row.version, 'held')
      const plan = planClaim(before, newestKnown, this.#incarnation)
      const value: SeatRow = { ...plan.record }
      const result = await this.#platform.transact([{ ...this.#key, version: row.version }], [{ ...this.#key, value }])
      // A row that can't be parsed says nothing about its holder, so it counts as held.
      if (result.kind === 'committed') return this.#keep(value.generation, row.version + 1, before === undefined && row.version > 0 ? 'held' : plan.kind)
      if (result.kind !== 'conflict') return { kind: 'unavailable', message: result.message }
      row = result.rows[0] ?? row
    }
    return { kind: 'unavailable', message: `the row was written by others ${claimTries} times` }
  }

  /**
   * Asks the store whether the claim still holds. The check of a transaction sees the present
   * row, while a read may be stale and miss a newer claim.
   *
   * @returns the holder that the row names, or undefined without an answer
   */
  async checkHolder (): Promise<SeatHolder | undefined> {
    const held = this.#held
    if (held === undefined) return undefined
    const result = await this.#platform.transact([{ ...this.#key, version: held.version }], [])
    if (result.kind === 'committed') return { generation: held.generation, incarnation: this.#incarnation }
    const row = result.kind === 'conflict' ? result.rows[0] : undefined
    return row === undefined ? undefined : parseSeatRow(row)
  }

  /**
   * Marks the seat as released, so that a successor may use its share at once.
   *
   * @returns whether the store confirmed it
   */
  async release (): Promise<boolean> {
    const held = this.#held
    if (held === undefined) return false
    const value: SeatRow = { generation: held.generation, incarnation: this.#incarnation, state: 'released' }
    const result = await this.#platform.transact([{ ...this.#key, version: held.version }], [{ ...this.#key, value }])
    return result.kind === 'committed'
  }

  #keep (generation: number, version: number, seat: 'free' | 'held'): ClaimResult {
    this.#held = { generation, version }
    return { kind: 'claimed', generation, seat }
  }
}

function parseSeatRow (row: Row): SeatRow | undefined {
  const parsed = seatRowSchema.safeParse(row.value)
  return row.version > 0 && parsed.success ? parsed.data : undefined
}
