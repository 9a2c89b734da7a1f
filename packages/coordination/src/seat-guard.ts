import { isLaterHolder, type SeatHolder } from './seat-holder.js'

export interface SeatGuardOptions {
  readonly incarnation: string
  /** False in a domain with one seat, where there is no peer to ask. */
  readonly needsConfirmation: boolean
  /** Longest time in milliseconds since a confirmation within which the share is used. */
  readonly isolationLimitMs: number
  /** Time in milliseconds after which all work and loans of an earlier holder have ended. */
  readonly quarantineMs: number
}

/** Isolation limit 3 s, loan term 14 s and 1 s for heartbeats and clocks make the quarantine. */
export const defaultSeatTimes = { isolationLimitMs: 3_000, quarantineMs: 18_000 } as const

/** A reply that may confirm the seat. */
export interface SeatCheckResult {
  /** A peer must be of the own domain. */
  readonly source: 'store' | 'peer'
  /** When the request was sent, in milliseconds. */
  readonly sentAt: number
  /** When the reply was read, in milliseconds. */
  readonly now: number
  /** Newest holder that the replier knows. */
  readonly newest: SeatHolder | undefined
  /** False when a peer may not have heard from all holders yet, see `SeatDirectory`. */
  readonly settled: boolean
}

/**
 * Decides whether an instance may use and lend the share of its seat (docs/design.md,
 * section 5). Times are monotonic milliseconds.
 *
 * It assumes that whoever can reach an earlier holder (a peer of the domain or the store) can
 * reach the later holder too, within the 1 s that the quarantine leaves for it. A partition
 * inside a domain that leaves the earlier holder with peers, or with the store, and the later
 * one without them is not covered.
 */
export class SeatGuard {
  private holder: SeatHolder
  private isClaimed = false
  private hasMetPeer = false
  private superseded = false
  /** End of the quarantine; undefined until somebody else knows of this holder. */
  private usableFrom: number | undefined
  private confirmedAt = -Infinity

  /** @param newestKnown - newest holder of the seat that peers knew before the start */
  constructor (private readonly options: SeatGuardOptions, newestKnown?: SeatHolder) {
    this.holder = { generation: (newestKnown?.generation ?? 0) + 1, incarnation: options.incarnation }
  }

  /**
   * Takes note that the store has recorded this holder, see `planClaim`.
   *
   * @param kind - `free` when no earlier holder can be at work
   * @param sentAt - when the claim was sent
   * @param now - when its success was read
   */
  recordClaim (kind: 'free' | 'held', generation: number, sentAt: number, now: number): void {
    this.holder = { generation, incarnation: this.options.incarnation }
    this.isClaimed = true
    if (kind === 'free') {
      this.usableFrom = now
      this.hasMetPeer = true
      this.confirmedAt = Math.max(this.confirmedAt, sentAt)
    } else {
      this.usableFrom ??= now + this.options.quarantineMs
      this.acceptConfirmation('store', sentAt, now)
    }
  }

  /**
   * Takes note that the store cannot be reached at startup. With peers to ask, the quarantine
   * begins with the first confirmation, because before it nobody refuses an earlier holder.
   */
  recordStoreOutage (now: number): void {
    if (!this.options.needsConfirmation) this.usableFrom ??= now + this.options.quarantineMs
  }

  /**
   * Takes note of a holder of the seat that anybody has named, in a heartbeat or in a reply
   * from another domain. It can end the right to the share, but never confirms it.
   */
  observeHolder (holder: SeatHolder): void {
    if (holder.incarnation === this.holder.incarnation || !isLaterHolder(holder, this.holder)) return
    // Without a claim and before the first contact with a peer, the generation was a guess.
    if (this.isClaimed || this.hasMetPeer) this.superseded = true
    else this.holder = { generation: holder.generation + 1, incarnation: this.holder.incarnation }
  }

  /** Takes a reply of the store or of a peer of the own domain into account. */
  applyCheckResult ({ source, sentAt, now, newest, settled }: SeatCheckResult): void {
    if (newest === undefined) return
    this.observeHolder(newest)
    // A reply about an earlier guess of the generation, or about somebody else, confirms nothing.
    if (newest.incarnation !== this.holder.incarnation || newest.generation !== this.holder.generation) return
    if (source === 'peer') {
      this.meetPeer(now)
      if (settled) this.acceptConfirmation(source, sentAt, now)
    } else if (this.isClaimed) this.acceptConfirmation(source, sentAt, now)
  }

  /** Tells whether the latest confirmation is recent enough. */
  isConfirmed (now: number): boolean {
    return !this.superseded && (!this.options.needsConfirmation || now - this.confirmedAt < this.options.isolationLimitMs)
  }

  /** Tells whether the own share may be used and lent now; asked right before each start. */
  isShareUsable (now: number): boolean {
    return this.isConfirmed(now) && this.usableFrom !== undefined && now >= this.usableFrom
  }

  /** Tells whether a later holder is known; the instance then starts nothing more and exits. */
  isSuperseded (): boolean {
    return this.superseded
  }

  /** Tells whether the store has recorded this holder; until then the claim is to be repeated. */
  hasClaim (): boolean {
    return this.isClaimed
  }

  /** Reads the holder as heartbeats carry it. */
  getHolder (): SeatHolder {
    return this.holder
  }

  /** Reads when the quarantine ends; undefined while that is not known. */
  getUsableFrom (): number | undefined {
    return this.usableFrom
  }

  /** Peers may have confirmed an earlier holder until the first of them heard of this one. */
  private meetPeer (now: number): void {
    if (this.hasMetPeer) return
    this.hasMetPeer = true
    this.usableFrom = Math.max(this.usableFrom ?? 0, now + this.options.quarantineMs)
  }

  /**
   * A quarantine counts only while it is confirmed without a break. After a break, another
   * holder may have passed its own quarantine, and the store may not know of it if it was
   * down; only a peer can tell, and only if too little time has passed for that.
   */
  private acceptConfirmation (source: 'store' | 'peer', sentAt: number, now: number): void {
    const { isolationLimitMs, quarantineMs, needsConfirmation } = this.options
    const silence = now - this.confirmedAt
    if (needsConfirmation && silence >= isolationLimitMs) {
      const wasUsable = this.usableFrom !== undefined && this.usableFrom < this.confirmedAt + isolationLimitMs
      if (!wasUsable || source === 'store' || silence >= quarantineMs - isolationLimitMs) this.usableFrom = now + quarantineMs
    }
    this.confirmedAt = Math.max(this.confirmedAt, sentAt)
  }
}
