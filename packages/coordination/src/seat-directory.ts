import { formatSeat, type SeatId } from '@sesamereel/state'
import { isLaterHolder, type SeatHolder } from './seat-holder.js'

/** Reply of an instance to a peer that asks for confirmation of the peer's seat. */
export interface SeatCheckReply {
  /** Newest holder of the requester's seat that the replier knows, the requester included. */
  readonly newest: SeatHolder
  /** False while the replier may not have heard of all holders yet. */
  readonly settled: boolean
}

/**
 * Time in milliseconds that an instance must have run before it confirms seats of others: six
 * heartbeats within a domain.
 */
const defaultSettleTimeMs = 3_000

/** Gap in milliseconds between two ticks above which the process counts as paused. Ticks come every 500 ms. */
const maxTickGapMs = 1_500

/**
 * Keeps the newest known holder of each seat. An instance that has just started or was paused
 * confirms no seat until it must have heard of any later holder, because the first request that
 * it reads may come from an earlier holder. Times are monotonic milliseconds.
 */
export class SeatDirectory {
  private readonly holders = new Map<string, SeatHolder>()
  private settledAt: number
  private tickedAt: number

  /** @param settleMs - time in milliseconds from the start or the end of a pause to the first confirmation */
  constructor (now: number, private readonly settleMs: number = defaultSettleTimeMs) {
    this.tickedAt = now
    this.settledAt = now + this.settleMs
  }

  /** Records that the process is running. The caller calls it with each round of heartbeats. */
  recordTick (now: number): void {
    if (now - this.tickedAt > maxTickGapMs) this.settledAt = now + this.settleMs
    this.tickedAt = now
  }

  /**
   * Records a holder that a peer is or has reported.
   *
   * @param seat - `DOMAIN.SEAT`
   * @returns true when no later holder of the seat is known
   */
  observeHolder (seat: string, holder: SeatHolder): boolean {
    const known = this.holders.get(seat)
    if (known !== undefined && known.generation === holder.generation && known.incarnation === holder.incarnation) return true
    if (!isLaterHolder(holder, known)) return false
    // Callers may pass whole heartbeats, which must not become part of the next heartbeat.
    this.holders.set(seat, { generation: holder.generation, incarnation: holder.incarnation })
    return true
  }

  /** Records the instance that asks for confirmation of its seat, and returns the reply for it. */
  answerSeatCheck (seat: SeatId, requester: SeatHolder, now: number): SeatCheckReply {
    this.observeHolder(formatSeat(seat), requester)
    this.detectPause(now)
    return { newest: this.holders.get(formatSeat(seat))!, settled: now >= this.settledAt }
  }

  /** Finds the newest known holder of a seat given as `DOMAIN.SEAT`. */
  findHolder (seat: string): SeatHolder | undefined {
    return this.holders.get(seat)
  }

  /**
   * Lists the newest known holders of the seats of the given domains, for heartbeats. With the
   * holders of all domains, a heartbeat would grow by 56 bytes for each seat of the topology.
   */
  listHolders (domains: readonly string[]): Readonly<Record<string, SeatHolder>> {
    const prefixes = domains.map((domain) => `${domain}.`)
    return Object.fromEntries([...this.holders].filter(([seat]) => prefixes.some((prefix) => seat.startsWith(prefix))))
  }

  /**
   * Detects a pause before the next tick, because a request may be the first thing that a
   * process handles after a pause.
   */
  private detectPause (now: number): void {
    if (now - this.tickedAt > maxTickGapMs) this.recordTick(now)
  }
}
