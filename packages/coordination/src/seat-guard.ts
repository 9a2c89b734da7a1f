import { isLaterHolder, type SeatHolder } from './seat-holder.js'

/** Settings of a `SeatGuard`. */
export interface SeatGuardOptions {
  readonly incarnation: string
  /**
   * Whether the share may be used only after a recent confirmation by the store or a peer; false
   * in a domain with one seat, where there is no peer to ask.
   */
  readonly needsConfirmation: boolean
  /** Time in milliseconds after a confirmation for which the share may be used. */
  readonly isolationLimitMs: number
  /** Time in milliseconds after which all work and loans of an earlier holder have ended. */
  readonly quarantineMs: number
}

/** The quarantine is the isolation limit of 3 s plus the loan term of 14 s plus 1 s for heartbeats and clock drift. */
export const defaultSeatTimes = { isolationLimitMs: 3_000, quarantineMs: 18_000 } as const

/** Reply of the store or a peer about the holder of the seat, which may confirm it. */
export interface SeatCheckResult {
  /** Who replied. A peer must be in the own domain. */
  readonly source: 'store' | 'peer'
  /** Time when the request was sent, in milliseconds. */
  readonly sentAt: number
  /** Time when the reply was processed, in milliseconds. */
  readonly now: number
  /** Newest holder that the replier knows. */
  readonly newest: SeatHolder | undefined
  /** False when a peer may not have heard of all holders yet, see `SeatDirectory`. */
  readonly settled: boolean
}

/**
 * Decides whether an instance may use and lend the share of its seat (docs/design.md, section
 * 5). Times are monotonic milliseconds.
 *
 * It assumes that any peer of the domain, or the store, that can reach an earlier holder can
 * also reach the later holder, within the 1 s that the quarantine allows for it. It does not
 * cover a partition inside a domain that leaves the earlier holder connected to peers or to the
 * store, and the later one connected to neither.
 */
export class SeatGuard {
  private holder: SeatHolder
  private isClaimed = false
  private hasMetPeer = false
  private hasLaterHolder = false
  /** End of the quarantine; undefined until the store or a peer knows of this holder. */
  private usableFrom: number | undefined
  private confirmedAt = -Infinity

  /** @param newestKnown - newest holder of the seat that peers knew before this instance started */
  constructor (private readonly options: SeatGuardOptions, newestKnown?: SeatHolder) {
    this.holder = { generation: (newestKnown?.generation ?? 0) + 1, incarnation: options.incarnation }
  }

  /**
   * Records that the store has accepted the claim of this holder, see `planClaim`.
   *
   * @param kind - `free` when no earlier holder can still be running work
   * @param sentAt - time when the claim was sent
   * @param now - time when the reply to the claim was processed
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
      this.recordConfirmation('store', sentAt, now)
    }
  }

  /**
   * Records that the store cannot be reached at startup. If there are peers to ask, the
   * quarantine begins only with the first confirmation, because until then no peer refuses an
   * earlier holder.
   */
  recordStoreOutage (now: number): void {
    if (!this.options.needsConfirmation) this.usableFrom ??= now + this.options.quarantineMs
  }

  /**
   * Records a holder of the seat that was reported in a heartbeat or in a reply from another
   * domain. A later holder ends the right to use the share, but no such report confirms the
   * seat.
   */
  observeHolder (holder: SeatHolder): void {
    if (holder.incarnation === this.holder.incarnation || !isLaterHolder(holder, this.holder)) return
    // Without a claim and before the first contact with a peer, the own generation was only a guess.
    if (this.isClaimed || this.hasMetPeer) this.hasLaterHolder = true
    else this.holder = { generation: holder.generation + 1, incarnation: this.holder.incarnation }
  }

  /** Applies a reply of the store or of a peer of the own domain. */
  applyCheckResult ({ source, sentAt, now, newest, settled }: SeatCheckResult): void {
    if (newest === undefined) return
    this.observeHolder(newest)
    // A reply about another holder, or about an earlier guess of the generation, confirms nothing.
    if (newest.incarnation !== this.holder.incarnation || newest.generation !== this.holder.generation) return
    if (source === 'peer') {
      this.recordPeerContact(now)
      if (settled) this.recordConfirmation(source, sentAt, now)
    } else if (this.isClaimed) this.recordConfirmation(source, sentAt, now)
  }

  /** Tells whether no later holder is known and, where confirmation is needed, the latest one is recent enough. */
  isConfirmed (now: number): boolean {
    return !this.hasLaterHolder && (!this.options.needsConfirmation || now - this.confirmedAt < this.options.isolationLimitMs)
  }

  /** Tells whether the own share may be used and lent now. The caller checks it right before each start. */
  isShareUsable (now: number): boolean {
    return this.isConfirmed(now) && this.usableFrom !== undefined && now >= this.usableFrom
  }

  /** Tells whether a later holder is known. The instance then starts nothing more and exits. */
  isSuperseded (): boolean {
    return this.hasLaterHolder
  }

  /** Tells whether the store has recorded this holder. Until then, the caller repeats the claim. */
  hasClaim (): boolean {
    return this.isClaimed
  }

  /** Returns this holder as it is sent in heartbeats. */
  getHolder (): SeatHolder {
    return this.holder
  }

  /** Returns the time when the quarantine ends; undefined while it is not known. */
  getUsableFrom (): number | undefined {
    return this.usableFrom
  }

  /**
   * Restarts the quarantine at the first contact with a peer, because until then peers may have
   * confirmed an earlier holder.
   */
  private recordPeerContact (now: number): void {
    if (this.hasMetPeer) return
    this.hasMetPeer = true
    this.usableFrom = Math.max(this.usableFrom ?? 0, now + this.options.quarantineMs)
  }

  /**
   * Records a confirmation. A quarantine counts only if it is confirmed without an interruption
   * of `isolationLimitMs` or more. After an interruption, another holder may have completed its
   * own quarantine, and the store does not know of that holder if it was down. Only a peer can
   * rule this out, and only if the interruption was too short for another quarantine; otherwise
   * the quarantine restarts.
   */
  private recordConfirmation (source: 'store' | 'peer', sentAt: number, now: number): void {
    const { isolationLimitMs, quarantineMs, needsConfirmation } = this.options
    const interruptionMs = now - this.confirmedAt
    if (needsConfirmation && interruptionMs >= isolationLimitMs) {
      const wasUsable = this.usableFrom !== undefined && this.usableFrom < this.confirmedAt + isolationLimitMs
      if (!wasUsable || source === 'store' || interruptionMs >= quarantineMs - isolationLimitMs) this.usableFrom = now + quarantineMs
    }
    this.confirmedAt = Math.max(this.confirmedAt, sentAt)
  }
}
