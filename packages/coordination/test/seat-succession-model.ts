import { planClaim, type SeatCheckResult, SeatDirectory, SeatGuard, type SeatHolder, type SeatRecord } from '../src/index.js'

/** Times of the model in seconds, shorter than the real ones; quarantine = isolation + workDuration + 1. */
export interface ModelTimes {
  readonly isolation: number
  /** Longest time for which work or a loan lasts after its start. */
  readonly workDuration: number
  readonly quarantine: number
  /** False lets the share be used without confirmation, to show that the model detects it. */
  readonly needsConfirmation: boolean
  /** True lets a peer confirm right after its start, to show that the model detects it. */
  readonly skipsSettleTime: boolean
}

export type Fault = 'none' | 'store' | 'cut-old' | 'cut-new' | 'pause-old' | 'pause-new' | 'pause-peer' | 'restart-peer' | 'start-new'

/** Which instance sends its requests first in a step, and to whom it sends the first one. */
export type RequestOrder = readonly [instance: 'old' | 'new', source: 'store' | 'peer']

const seat = { domain: 'gent', seat: 0 }

interface Instance {
  guard: SeatGuard | undefined
  paused: boolean
  cut: boolean
  /** Latest end, in milliseconds, of the work that the instance can have started. */
  worksUntil: number
  /** Replies that arrived while the instance was paused. */
  unreadReplies: readonly SeatCheckResult[]
}

/**
 * Model of one seat with an old and a new holder, one peer and the store. A cut separates a
 * holder from both the peer and the store.
 */
export class SeatSuccessionModel {
  now = 0
  private storeUp = true
  private row: SeatRecord = { generation: 1, incarnation: 'a-old', state: 'held' }
  private peer: SeatDirectory
  private peerPaused = false
  private readonly old: Instance
  private readonly new: Instance = { guard: undefined, paused: false, cut: false, worksUntil: 0, unreadReplies: [] }

  constructor (private readonly times: ModelTimes) {
    this.peer = new SeatDirectory(-10_000, 2_000)
    const guard = this.createGuard('a-old')
    guard.recordClaim('free', 1, 0, 0)
    this.old = { guard, paused: false, cut: false, worksUntil: 0, unreadReplies: [] }
  }

  clone (): SeatSuccessionModel {
    const copy = cloneObject(this)
    copy.peer = cloneObject(this.peer)
    Object.assign(copy.peer, { holders: new Map((this.peer as unknown as { holders: Map<string, SeatHolder> }).holders) })
    const copyInstance = (instance: Instance): Instance => ({ ...instance, guard: instance.guard && cloneObject(instance.guard) })
    return Object.assign(copy, { old: copyInstance(this.old), new: copyInstance(this.new) })
  }

  /**
   * Describes the state by the time differences that can still matter; states with equal
   * descriptions behave equally from then on. A time further back than the bound given here no
   * longer affects any comparison.
   */
  describeState (): string {
    const describeTime = (time: number | undefined, least: number): number => time === undefined ? 99 : Math.max(least, Math.round((time - this.now) / 1_000))
    const describeHolder = (holder: SeatHolder | undefined): string => `${holder?.generation}${holder?.incarnation}`
    const parts: Array<string | number | boolean> = [this.storeUp, this.peerPaused, describeHolder(this.row), describeHolder(this.peer.findHolder('gent.0'))]
    const peer = this.peer as unknown as { settledAt: number, tickedAt: number }
    parts.push(describeTime(peer.settledAt, 0), describeTime(peer.tickedAt, -2))
    for (const { guard, paused, cut, worksUntil, unreadReplies } of [this.old, this.new]) {
      parts.push(describeTime(worksUntil, 0))
      if (guard === undefined || guard.isSuperseded()) parts.push(guard === undefined)
      else {
        const fields = guard as unknown as { hasMetPeer: boolean, usableFrom: number | undefined, confirmedAt: number }
        const confirmedAt = describeTime(fields.confirmedAt, -this.times.quarantine)
        parts.push(paused, cut, describeHolder(guard.getHolder()), guard.hasClaim(), fields.hasMetPeer, confirmedAt, describeTime(fields.usableFrom, -this.times.quarantine))
        for (const { source, sentAt, newest, settled } of unreadReplies) parts.push(source, describeTime(sentAt, -this.times.quarantine), describeHolder(newest), settled)
      }
    }
    return parts.join()
  }

  /** Tells whether one holder is superseded and has no more work, so that no violation is possible any more. */
  isDecided (): boolean {
    return [this.old, this.new].some(({ guard, worksUntil }) => guard?.isSuperseded() === true && worksUntil <= this.now)
  }

  /** Lists the request orders that can make a difference with a fault; none if the fault cannot occur now. */
  listOrders (fault: Fault): readonly RequestOrder[] {
    const isStarted = this.new.guard !== undefined
    if (isStarted ? fault === 'start-new' : fault.endsWith('-new') && fault !== 'start-new') return []
    const instances = isStarted || fault === 'start-new' ? ['old', 'new'] as const : ['old'] as const
    return instances.flatMap((instance) => [[instance, 'peer'], [instance, 'store']] as const)
  }

  /** Applies one fault, advances by one second, and lets each instance send its requests once. */
  advance (fault: Fault, [firstInstance, firstSource]: RequestOrder): void {
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
      for (const reply of instance.unreadReplies) this.processReply(instance, instance.guard, { ...reply, now: this.now })
      instance.unreadReplies = []
      for (const source of firstSource === 'store' ? ['store', 'peer'] : ['peer', 'store']) {
        const reply = source === 'store' ? this.askStore(instance, instance.guard) : this.askPeer(instance, instance.guard)
        this.processReply(instance, instance.guard, reply)
      }
    }
  }

  /** Tells whether both holders have work on the share at the same time. */
  isViolated (): boolean {
    return this.old.worksUntil > this.now && this.new.worksUntil > this.now
  }

  /** Tells whether the new holder has work, so that a test can check that this ever happens. */
  isNewHolderWorking (): boolean {
    return this.new.worksUntil > this.now
  }

  private startNew (): void {
    if (this.new.guard !== undefined) return
    const newestKnown = this.peerPaused || this.new.cut ? undefined : this.peer.findHolder('gent.0')
    this.new.guard = this.createGuard('b-new', newestKnown)
    this.new.guard.recordStoreOutage(this.now)
  }

  /** Pauses or resumes an instance. The pause begins right after it has sent its requests. */
  private pause (instance: Instance): void {
    instance.paused = !instance.paused
    if (!instance.paused || instance.guard === undefined) return
    const replies = [this.askStore(instance, instance.guard), this.askPeer(instance, instance.guard)]
    instance.unreadReplies = replies.filter((reply) => reply !== undefined)
  }

  private processReply (instance: Instance, guard: SeatGuard, reply: SeatCheckResult | undefined): void {
    if (reply !== undefined) guard.applyCheckResult(this.times.skipsSettleTime ? { ...reply, settled: true } : reply)
    // An instance that may start work does so at once, with the longest duration.
    if (guard.isShareUsable(this.now)) instance.worksUntil = this.now + this.times.workDuration * 1_000
  }

  /** Claims the seat if the store has not recorded the holder yet, and reads the row. */
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
