import { type Clock, isLaterHolder, SeatGuard, type SeatGuardOptions, type SeatHolder, type SeatCheckResult } from '@sesamereel/coordination'
import { type EventLog } from './event-log.js'
import { type Identity } from './identity.js'
import { type SeatClaim } from './seat-claim.js'

/** The store is asked for a confirmation when peers have given none for this time in milliseconds. */
const storeConfirmAfterMs = 900

export interface SeatKeeperOptions {
  readonly identity: Identity
  readonly clock: Clock
  readonly log: EventLog
  readonly claim: SeatClaim
  readonly guardOptions: Omit<SeatGuardOptions, 'incarnation'>
  /** Called once when a later holder of the seat is known. */
  readonly onSuperseded: () => void
}

/** Claims the seat of the instance, keeps it confirmed and notices a later holder. */
export class SeatKeeper {
  readonly #options: SeatKeeperOptions
  #guard: SeatGuard | undefined
  /** Newest other holder that anybody has named. */
  #rival: SeatHolder | undefined
  #confirmedAt = -Infinity
  #wasUsable = false
  #wasSuperseded = false

  constructor (options: SeatKeeperOptions) {
    this.#options = options
  }

  /**
   * Begins to hold the seat; called after peers were asked for earlier holders.
   */
  async start (): Promise<void> {
    const { identity, guardOptions: times } = this.#options
    this.#guard = new SeatGuard({ ...times, incarnation: identity.incarnation }, this.#rival)
    await this.claimOrConfirm()
  }

  /**
   * Claims the seat if that was not possible yet, else confirms it when no peer has lately.
   */
  async claimOrConfirm (): Promise<void> {
    const guard = this.#guard
    if (guard === undefined) return
    if (!guard.hasClaim()) await this.#claim(guard)
    else if (this.#options.guardOptions.needsConfirmation && this.#options.clock.now() - this.#confirmedAt >= storeConfirmAfterMs) await this.#confirmByStore(guard)
    this.#noteChanges(guard)
  }

  /**
   * Takes note of a holder of the own seat that a heartbeat names.
   */
  observeHolder (holder: SeatHolder | undefined): void {
    if (holder === undefined || holder.incarnation === this.#options.identity.incarnation) return
    if (isLaterHolder(holder, this.#rival)) this.#rival = holder
    this.#guard?.observeHolder(holder)
    if (this.#guard !== undefined) this.#noteChanges(this.#guard)
  }

  /**
   * Takes the answer of a peer of the own domain into account.
   */
  applyPeerCheck (report: Omit<SeatCheckResult, 'source'>): void {
    this.observeHolder(report.newest)
    this.#confirm({ ...report, source: 'peer' })
  }

  /** Reads the holder as heartbeats carry it; generation 0 while earlier holders are not known. */
  readHolder (): SeatHolder {
    return this.#guard?.getHolder() ?? { generation: 0, incarnation: this.#options.identity.incarnation }
  }

  isShareUsable (): boolean {
    return this.#guard?.isShareUsable(this.#options.clock.now()) ?? false
  }

  isConfirmed (): boolean {
    return this.#guard?.isConfirmed(this.#options.clock.now()) ?? false
  }

  isSuperseded (): boolean {
    return this.#guard?.isSuperseded() ?? false
  }

  /** Describes the seat for the status. */
  describe (): object {
    const now = this.#options.clock.now()
    const usableFrom = this.#guard?.getUsableFrom()
    return {
      ...this.readHolder(),
      claimed: this.#guard?.hasClaim() ?? false,
      confirmed: this.isConfirmed(),
      shareUsable: this.isShareUsable(),
      quarantineLeftMs: usableFrom === undefined ? null : Math.max(0, Math.round(usableFrom - now))
    }
  }

  async #claim (guard: SeatGuard): Promise<void> {
    const { clock, log, claim } = this.#options
    const sentAt = clock.now()
    const result = await claim.claim(this.#rival)
    if (result.kind === 'claimed') {
      guard.recordClaim(result.seat, result.generation, sentAt, clock.now())
      this.#confirmedAt = Math.max(this.#confirmedAt, sentAt)
      log.log('info', 'seat-claimed', { generation: result.generation, found: result.seat })
    } else {
      guard.recordStoreOutage(clock.now())
      log.log('warn', 'seat-not-claimed', { reason: result.message })
    }
  }

  async #confirmByStore (guard: SeatGuard): Promise<void> {
    const sentAt = this.#options.clock.now()
    const newest = await this.#options.claim.checkHolder()
    if (newest === undefined) return
    if (newest.incarnation !== this.#options.identity.incarnation) this.observeHolder(newest)
    this.#confirm({ source: 'store', sentAt, now: this.#options.clock.now(), newest, settled: true })
  }

  #confirm (report: SeatCheckResult): void {
    const guard = this.#guard
    if (guard === undefined) return
    guard.applyCheckResult(report)
    if (report.settled && report.newest?.incarnation === this.#options.identity.incarnation) this.#confirmedAt = Math.max(this.#confirmedAt, report.sentAt)
    this.#noteChanges(guard)
  }

  #noteChanges (guard: SeatGuard): void {
    const { clock, log, onSuperseded } = this.#options
    const isUsable = guard.isShareUsable(clock.now())
    if (isUsable !== this.#wasUsable) log.log('info', isUsable ? 'share-usable' : 'share-not-usable', { generation: guard.getHolder().generation })
    this.#wasUsable = isUsable
    if (!guard.isSuperseded() || this.#wasSuperseded) return
    this.#wasSuperseded = true
    log.log('warn', 'seat-superseded', { generation: guard.getHolder().generation, by: this.#rival?.incarnation, newest: this.#rival?.generation })
    onSuperseded()
  }
}
