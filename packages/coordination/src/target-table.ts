import { type Demand, type TargetDescription } from '@sesamereel/state'
import { type AttemptResult } from './attempt.js'
import { FailureAttribution } from './failure-attribution.js'
import { type LeavingNotice, LeavingTracker } from './leaving-tracker.js'
import { type HealthSignal } from './target-health.js'
import { type RunningAttempt, type TargetReport, TargetState } from './target-state.js'

/** Time in milliseconds for which an unlisted target is remembered, so that its leaving notice survives a gap in the list. */
const unlistedRetentionMs = 600_000

/** Change of a target's health that is reported to the observer. */
export type HealthChange = 'ejected' | 'readmitted'

/** The targets of this instance's failure domain. */
export class TargetTable {
  private readonly targets = new Map<string, TargetState>()
  private listedTargets: TargetState[] = []
  private readonly leavingTracker = new LeavingTracker()
  private readonly attribution = new FailureAttribution()
  private peerEjections = new Map<string, ReadonlySet<string>>()

  get (id: string): TargetState | undefined {
    return this.targets.get(id)
  }

  /** @returns the targets in the latest list */
  list (): readonly TargetState[] {
    return this.listedTargets
  }

  /**
   * Replaces the list of targets.
   *
   * @returns ids of the targets that are no longer remembered
   */
  applyList (descriptions: readonly TargetDescription[], now: number): readonly string[] {
    const ids = new Set<string>()
    for (const description of descriptions) {
      ids.add(description.id)
      const target = this.targets.get(description.id)
      if (target === undefined) this.targets.set(description.id, new TargetState(description))
      else target.applyDescription(description)
      this.leavingTracker.applyPlatformList(description.id, description.state === 'leaving', now)
    }
    const forgotten: string[] = []
    this.listedTargets = []
    for (const target of this.targets.values()) {
      if (ids.has(target.id)) {
        this.listedTargets.push(target)
        continue
      }
      target.unlistedSince ??= now
      if (target.running.size === 0 && now - target.unlistedSince > unlistedRetentionMs) {
        this.targets.delete(target.id)
        this.attribution.removeTarget(target.id)
        forgotten.push(target.id)
      }
    }
    this.leavingTracker.retainOnly(new Set(this.targets.keys()))
    this.updateLeaving()
    return forgotten
  }

  /** Applies the state that a reply of a target reports; ignored for an unknown target. */
  applyReport (id: string, report: TargetReport): void {
    const target = this.targets.get(id)
    if (target === undefined) return
    this.leavingTracker.observeReport(id, report.boot, report.leaving)
    target.isLeaving = this.leavingTracker.isLeaving(id)
    target.applyReport(report)
  }

  /** Applies leaving notices of targets that a peer passed on. */
  applyPeerLeavingNotices (notices: readonly LeavingNotice[]): void {
    for (const notice of notices) if (this.targets.has(notice.id)) this.leavingTracker.observeNotice(notice)
    this.updateLeaving()
  }

  /** @returns the notices of leaving targets, to be passed on to peers */
  listLeaving (): readonly LeavingNotice[] {
    return this.leavingTracker.listNotices()
  }

  /** @returns true when the demand fits the total capacity of at least one listed target */
  isAnyLargeEnough (demand: Demand): boolean {
    return this.listedTargets.some(target => target.isLargeEnough(demand))
  }

  /** @returns true when at least one usable target has a free slot credit */
  hasFreeTarget (now: number): boolean {
    return this.listedTargets.some(target => target.freeCredits > 0 && target.isUsable(now))
  }

  /**
   * Records the end of an attempt.
   *
   * @returns the attempt, undefined when it is unknown, and the change of the target's health, if any
   */
  recordEnd (target: TargetState, taskId: string, kind: string, result: AttemptResult, now: number): { attempt: RunningAttempt | undefined, change: HealthChange | undefined } {
    const attempt = target.recordEnd(taskId)
    if (result.kind === 'not-started') {
      const boot = target.getBoot()
      if (result.reason === 'leaving' && boot !== undefined) this.applyReport(target.id, { boot, freeSlots: 0, leaving: true })
      if (result.reason === 'slots' || result.reason === 'resources' || result.reason === 'boot' || result.reason === 'leaving') target.beginBackOff(now)
    } else {
      target.resetBackOff()
    }
    const signal = this.classifyHealth(target, kind, result)
    return { attempt, change: target.health.recordSignal(signal, attempt?.isProbe ?? false, now) }
  }

  private updateLeaving (): void {
    for (const target of this.targets.values()) target.isLeaving = this.leavingTracker.isLeaving(target.id)
  }

  private classifyHealth (target: TargetState, kind: string, result: AttemptResult): HealthSignal {
    switch (result.kind) {
      case 'succeeded':
        this.attribution.recordOutcome(kind, target.id, false)
        return 'success'
      case 'failed':
      case 'timed-out':
        return this.attribution.recordOutcome(kind, target.id, true) ? 'failure' : 'neutral'
      case 'unknown':
        return 'failure'
      case 'not-started':
        if (result.reason === 'no-connection') return 'connection-failure'
        // Starts that arrive late or get lost are wasted messages, so a target where this keeps happening is avoided.
        return result.reason === 'late' || result.reason === 'not-seen' ? 'failure' : 'neutral'
      default:
        // Excessive memory use is a fault of the task, and a cancellation is no fault at all.
        return 'neutral'
    }
  }

  /**
   * Applies the set of targets that a peer of the same domain has ejected. Only changes of the set
   * have an effect, so that a peer with a broken link cannot keep a target ejected here.
   */
  applyPeerEjections (peer: string, ejected: readonly string[], now: number): void {
    const before = this.peerEjections.get(peer)
    const after = new Set(ejected)
    for (const id of after) {
      if (before?.has(id) !== true) this.targets.get(id)?.health.applyPeerEjection(now)
    }
    if (before !== undefined) {
      for (const id of before) {
        if (!after.has(id)) this.targets.get(id)?.health.clearPeerEjection()
      }
    }
    this.peerEjections.set(peer, after)
  }

  /** Forgets the ejections of all peers that are not given. */
  retainPeers (peers: ReadonlySet<string>): void {
    for (const peer of this.peerEjections.keys()) if (!peers.has(peer)) this.peerEjections.delete(peer)
  }

  /** @returns ids of the listed targets that are ejected because of attempts of this instance */
  listEjected (): readonly string[] {
    return this.listedTargets.filter(target => target.health.isEjectedLocally()).map(target => target.id)
  }
}
