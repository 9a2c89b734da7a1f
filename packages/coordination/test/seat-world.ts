import { planClaim, SeatDirectory, SeatGuard, type SeatHolder, type SeatRecord, type SeatCheckResult } from '../src/index.js'

/** Times of the model in seconds, smaller than the real ones; quarantine = isolation + hold + 1. */
export interface ModelTimes {
  readonly isolation: number
  /** Longest time for which work or a loan goes on after a start. */
  readonly hold: number
  readonly quarantine: number
  /** False uses the share without confirmation, to show that the model notices. */
  readonly needsConfirmation: boolean
  /** True lets a peer confirm right after its start, to show that the model notices. */
  readonly skipSettling: boolean
}

export type Fault = 'none' | 'store' | 'cut-old' | 'cut-new' | 'pause-old' | 'pause-new' | 'pause-peer' | 'restart-peer' | 'start-new'

/** Which instance asks first in a step, and whom it asks first. */
export type Order = readonly [instance: 'old' | 'new', source: 'store' | 'peer']

const seat = { domain: 'gent', seat: 0 }

interface Instance {
  guard: SeatGuard | undefined
  paused: boolean
  cut: boolean
  /** End of the latest work that the instance can have started. */
  holdsUntil: number
  /** Replies that arrived while the instance was paused. */
  unread: readonly SeatCheckResult[]
}

/** One seat with an old and a new holder, one peer and the store. A cut separates a holder from both. */
export class SeatWorld {
  now = 0
  private storeUp = true
  private row: SeatRecord = { generation: 1, incarnation: 'a-old', state: 'held' }
  private peer: SeatDirectory
  private peerPaused = false
  private readonly old: Instance
  private readonly new: Instance = { guard: undefined, paused: false, cut: false, holdsUntil: 0, unread: [] }

  constructor (private readonly times: ModelTimes) {
    this.peer = new SeatDirectory(-10_000, 2_000)
    const guard = this.createGuard('a-old')
    guard.recordClaim('free', 1, 0, 0)
    this.old = { guard, paused: false, cut: false, holdsUntil: 0, unread: [] }
  }

  clone (): SeatWorld {
    const copy = cloneObject(this)
    copy.peer = cloneObject(this.peer)
    Object.assign(copy.peer, { holders: new Map((this.peer as unknown as { holders: Map<string, SeatHolder> }).holders) })
    const copyInstance = (instance: Instance): Instance => ({ ...instance, guard: instance.guard && cloneObject(instance.guard) })
    return Object.assign(copy, { old: copyInstance(this.old), new: copyInstance(this.new) })
  }

  /**
   * Names the state by the time differences that can still matter; equal names have equal
   * futures. A time further back than the bound given here decides no comparison any more.
   */
  describe (): string {
    const near = (time: number | undefined, least: number): number => time === undefined ? 99 : Math.max(least, Math.round((time - this.now) / 1_000))
    const describeHolder = (holder: SeatHolder | undefined): string => `${holder?.generation}${holder?.incarnation}`
    const parts: Array<string | number | boolean> = [this.storeUp, this.peerPaused, describeHolder(this.row), describeHolder(this.peer.findHolder('gent.0'))]
    const peer = this.peer as unknown as { settledAt: number, tickedAt: number }
    parts.push(near(peer.settledAt, 0), near(peer.tickedAt, -2))
    for (const { guard, paused, cut, holdsUntil, unread } of [this.old, this.new]) {
      parts.push(near(holdsUntil, 0))
      if (guard === undefined || guard.isSuperseded()) parts.push(guard === undefined)
      else {
        const fields = guard as unknown as { hasMetPeer: boolean, usableFrom: number | undefined, confirmedAt: number }
        const confirmedAt = near(fields.confirmedAt, -this.times.quarantine)
        parts.push(paused, cut, describeHolder(guard.getHolder()), guard.hasClaim(), fields.hasMetPeer, confirmedAt, near(fields.usableFrom, -this.times.quarantine))
        for (const { source, sentAt, newest, settled } of unread) parts.push(source, near(sentAt, -this.times.quarantine), describeHolder(newest), settled)
      }
    }
    return parts.join()
  }

  /** Tells whether one holder has ended for good, so that nothing can go wrong any more. */
  isDecided (): boolean {
    return [this.old, this.new].some(({ guard, holdsUntil }) => guard?.isSuperseded() === true && holdsUntil <= this.now)
  }

  /** Lists the orders of requests that can make a difference with a fault; none if the fault cannot happen now. */
  listOrders (fault: Fault): readonly Order[] {
    const isStarted = this.new.guard !== undefined
    if (isStarted ? fault === 'start-new' : fault.endsWith('-new') && fault !== 'start-new') return []
    const instances = isStarted || fault === 'start-new' ? ['old', 'new'] as const : ['old'] as const
    return instances.flatMap((instance) => [[instance, 'peer'], [instance, 'store']] as const)
  }

  /** Applies one fault, advances by a second, and lets each instance ask once. */
  advance (fault: Fault, [firstInstance, firstSource]: Order): void {
    if (fault === 'store') this.storeUp = !this.storeUp
    else if (fault === 'cut-old') this.old.cut = !this.old.cut
    else if (fault === 'cut-new') this.new.cut = !this.new.cut
    else if (fault === 'pause-old') this.pause(this.old)
    else if (fault === 'pause-new') this.pause(this.new)
    else if (fault === 'pause-peer') this.peerPaused = !this.peerPaused
    else if (fault === 'restart-peer') this.peer = new SeatDirectory(this.now, 2_000)
    else if (fault === 'start-new') this.startNew()
    this.now += 1_000
    if (!this.peerPaused) this.peer.recordTick(this.now)
    for (const instance of firstInstance === 'new' ? [this.new, this.old] : [this.old, this.new]) {
      if (instance.guard === undefined || instance.paused) continue
      for (const report of instance.unread) this.read(instance, instance.guard, { ...report, now: this.now })
      instance.unread = []
      for (const source of firstSource === 'store' ? ['store', 'peer'] : ['peer', 'store']) {
        const report = source === 'store' ? this.askStore(instance, instance.guard) : this.askPeer(instance, instance.guard)
        this.read(instance, instance.guard, report)
      }
    }
  }

  /** Tells whether both holders have work on the share at the same time. */
  isViolated (): boolean {
    return this.old.holdsUntil > this.now && this.new.holdsUntil > this.now
  }

  /** Tells whether the new holder uses the share, so that a check can show that it ever does. */
  isNewAtWork (): boolean {
    return this.new.holdsUntil > this.now
  }

  private startNew (): void {
    if (this.new.guard !== undefined) return
    const newestKnown = this.peerPaused || this.new.cut ? undefined : this.peer.findHolder('gent.0')
    this.new.guard = this.createGuard('b-new', newestKnown)
    this.new.guard.recordStoreOutage(this.now)
  }

  /** Pauses or resumes an instance; it is paused right after it sent its requests. */
  private pause (instance: Instance): void {
    instance.paused = !instance.paused
    if (!instance.paused || instance.guard === undefined) return
    const reports = [this.askStore(instance, instance.guard), this.askPeer(instance, instance.guard)]
    instance.unread = reports.filter((report) => report !== undefined)
  }

  private read (instance: Instance, guard: SeatGuard, report: SeatCheckResult | undefined): void {
    if (report !== undefined) guard.applyCheckResult(this.times.skipSettling ? { ...report, settled: true } : report)
    // An instance that may start work does so at once, for as long as it can.
    if (guard.isShareUsable(this.now)) instance.holdsUntil = this.now + this.times.hold * 1_000
  }

  /** Claims the seat, or asks for the row when it is claimed. */
  private askStore (instance: Instance, guard: SeatGuard): SeatCheckResult | undefined {
    if (!this.storeUp || instance.cut) return undefined
    if (!guard.hasClaim()) {
      const plan = planClaim(this.row, guard.getHolder(), guard.getHolder().incarnation)
      this.row = plan.record
      guard.recordClaim(plan.kind, plan.record.generation, this.now, this.now)
    }
    return { source: 'store', sentAt: this.now, now: this.now, newest: this.row, settled: true }
  }

  private askPeer (instance: Instance, guard: SeatGuard): SeatCheckResult | undefined {
    if (this.peerPaused || instance.cut || guard.isSuperseded()) return undefined
    return { source: 'peer', sentAt: this.now, now: this.now, ...this.peer.answerSeatCheck(seat, guard.getHolder(), this.now) }
  }

  private createGuard (incarnation: string, newestKnown?: SeatHolder): SeatGuard {
    const { isolation, quarantine, needsConfirmation } = this.times
    return new SeatGuard({ incarnation, needsConfirmation, isolationLimitMs: isolation * 1_000, quarantineMs: quarantine * 1_000 }, newestKnown)
  }
}

function cloneObject<T extends object> (value: T): T {
  return Object.assign(Object.create(Object.getPrototypeOf(value) as object) as T, value)
}
