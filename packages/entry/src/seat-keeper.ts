import { type Clock, isLaterHolder, SeatGuard, type SeatGuardOptions, type SeatHolder, type SeatCheckResult } from '@sesamereel/coordination'
import { type EventLog } from './event-log.js'
import { type Identity } from './identity.js'
import { type SeatClaim } from './seat-claim.js'

/** Time in milliseconds without a confirmation by peers after which the store is asked for one. */
const storeCheckAfterMs = 900

export interface SeatKeeperOptions {
  readonly identity: Identity
  readonly clock: Clock
  readonly log: EventLog
  readonly claim: SeatClaim
  readonly guardOptions: Omit<SeatGuardOptions, 'incarnation'>
  /** Called once when a later holder of the seat is known. */
  readonly onSuperseded: () => void
}

/** Claims the seat of the instance, renews its confirmation and detects a later holder. */
export class SeatKeeper {
  readonly #options: SeatKeeperOptions
  #guard: SeatGuard | undefined
  /** Newest other holder of the seat that a peer or the store has reported. */
  #newestOtherHolder: SeatHolder | undefined
  #confirmedAt = -Infinity
  #wasUsable = false
  #wasSuperseded = false

  constructor (options: SeatKeeperOptions) {
    this.#options = options
  }

  /**
   * Makes the first attempt to claim the seat. Peers have to be asked for earlier holders before.
   */
  async start (): Promise<void> {
    const { identity, guardOptions: times } = this.#options
    this.#guard = new SeatGuard({ ...times, incarnation: identity.incarnation }, this.#newestOtherHolder)
    await this.claimOrConfirm()
  }

  /**
   * Claims the seat if that has not succeeded yet. Otherwise, where confirmation is needed, confirms
   * it with the store if the latest confirmation is too old.
   */
  async claimOrConfirm (): Promise<void> {
    const guard = this.#guard
    if (guard === undefined) return
    if (!guard.hasClaim()) await this.#claim(guard)
    else if (this.#options.guardOptions.needsConfirmation && this.#options.clock.now() - this.#confirmedAt >= storeCheckAfterMs) await this.#confirmWithStore(guard)
    this.#reportChanges(guard)
  }

  /**
   * Records a holder of the own seat that a peer or the store reports.
   */
  observeHolder (holder: SeatHolder | undefined): void {
    if (holder === undefined || holder.incarnation === this.#options.identity.incarnation) return
    if (isLaterHolder(holder, this.#newestOtherHolder)) this.#newestOtherHolder = holder
    this.#guard?.observeHolder(holder)
    if (this.#guard !== undefined) this.#reportChanges(this.#guard)
  }

  /**
   * Applies the reply of a peer of the own domain about the holder of the seat.
   */
  applyPeerCheck (report: Omit<SeatCheckResult, 'source'>): void {
    this.observeHolder(report.newest)
    this.#applyCheck({ ...report, source: 'peer' })
  }

  /** Returns the holder that heartbeats report; its generation is 0 until `start` is called. */
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

  /** Describes the seat for the status response. */
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
    const result = await claim.claim(this.#newestOtherHolder)
    if (result.kind === 'claimed') {
      guard.recordClaim(result.seat, result.generation, sentAt, clock.now())
      this.#confirmedAt = Math.max(this.#confirmedAt, sentAt)
      log.log('info', 'seat-claimed', { generation: result.generation, found: result.seat })
    } else {
      guard.recordStoreOutage(clock.now())
      log.log('warn', 'seat-not-claimed', { reason: result.message })
    }
  }

  async #confirmWithStore (guard: SeatGuard): Promise<void> {
    const sentAt = this.#options.clock.now()
    const newest = await this.#options.claim.checkHolder()
    if (newest === undefined) return
    if (newest.incarnation !== this.#options.identity.incarnation) this.observeHolder(newest)
    this.#applyCheck({ source: 'store', sentAt, now: this.#options.clock.now(), newest, settled: true })
  }

  #applyCheck (report: SeatCheckResult): void {
    const guard = this.#guard
    if (guard === undefined) return
    guard.applyCheckResult(report)
    if (report.settled && report.newest?.incarnation === this.#options.identity.incarnation) this.#confirmedAt = Math.max(this.#confirmedAt, report.sentAt)
    this.#reportChanges(guard)
  }

  #reportChanges (guard: SeatGuard): void {
    const { clock, log, onSuperseded } = this.#options
    const isUsable = guard.isShareUsable(clock.now())
    if (isUsable !== this.#wasUsable) log.log('info', isUsable ? 'share-usable' : 'share-not-usable', { generation: guard.getHolder().generation })
    this.#wasUsable = isUsable
    if (!guard.isSuperseded() || this.#wasSuperseded) return
    this.#wasSuperseded = true
    log.log('warn', 'seat-superseded', { generation: guard.getHolder().generation, by: this.#newestOtherHolder?.incarnation, newest: this.#newestOtherHolder?.generation })
    onSuperseded()
  }
}
