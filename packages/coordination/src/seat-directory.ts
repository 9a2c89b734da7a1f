import { formatSeat, type SeatId } from '@sesamereel/state'
import { isLaterHolder, type SeatHolder } from './seat-holder.js'

/** What an instance answers about the seat of a peer that asks for confirmation. */
export interface SeatCheckReply {
  /** Newest holder of the asker's seat that the answering instance knows, the asker included. */
  readonly newest: SeatHolder
  /** False while the answering instance may not have heard from all holders yet. */
  readonly settled: boolean
}

/** How long an instance must have run before it confirms others: six heartbeats in a domain. */
const defaultSettleMs = 3_000

/** A gap between two ticks (one each 500 ms) above this means that the process was paused. */
const pausedAfterMs = 1_500

/**
 * The newest holder of each seat that an instance knows. An instance that has just started or
 * was paused confirms nobody until it must have heard from a later holder, because the request
 * of an earlier holder may be the first one that it reads. Times are monotonic milliseconds.
 */
export class SeatDirectory {
  private readonly holders = new Map<string, SeatHolder>()
  private settledAt: number
  private tickedAt: number

  /** @param settleMs - time from the start or the end of a pause to the first confirmation */
  constructor (now: number, private readonly settleMs: number = defaultSettleMs) {
    this.tickedAt = now
    this.settledAt = now + this.settleMs
  }

  /** Notes that the process runs; called with each round of heartbeats. */
  recordTick (now: number): void {
    if (now - this.tickedAt > pausedAfterMs) this.settledAt = now + this.settleMs
    this.tickedAt = now
  }

  /**
   * Notes a holder that a peer is or knows of.
   *
   * @param seat - `DOMAIN.SEAT`
   * @returns true when no later holder of the seat is known
   */
  observeHolder (seat: string, holder: SeatHolder): boolean {
    const known = this.holders.get(seat)
    if (known !== undefined && known.generation === holder.generation && known.incarnation === holder.incarnation) return true
    if (!isLaterHolder(holder, known)) return false
    // Callers pass whole heartbeats, which must not be nested in the next heartbeat.
    this.holders.set(seat, { generation: holder.generation, incarnation: holder.incarnation })
    return true
  }

  /** Answers the holder of a seat that asks for confirmation. */
  answerSeatCheck (seat: SeatId, asker: SeatHolder, now: number): SeatCheckReply {
    this.observeHolder(formatSeat(seat), asker)
    this.noteTickIfPaused(now)
    return { newest: this.holders.get(formatSeat(seat))!, settled: now >= this.settledAt }
  }

  /** Finds the newest known holder of a seat given as `DOMAIN.SEAT`. */
  findHolder (seat: string): SeatHolder | undefined {
    return this.holders.get(seat)
  }

  /**
   * Lists the newest known holders of the seats of some domains, for heartbeats. A heartbeat
   * with all holders would grow by 56 bytes for each seat of the whole topology.
   */
  listHolders (domains: readonly string[]): Readonly<Record<string, SeatHolder>> {
    const prefixes = domains.map((domain) => `${domain}.`)
    return Object.fromEntries([...this.holders].filter(([seat]) => prefixes.some((prefix) => seat.startsWith(prefix))))
  }

  /** A request may be the first thing that a process handles after a pause. */
  private noteTickIfPaused (now: number): void {
    if (now - this.tickedAt > pausedAfterMs) this.recordTick(now)
  }
}
