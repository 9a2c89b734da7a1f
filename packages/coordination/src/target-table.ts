import { type Demand, type TargetDescription } from '@sesamereel/state'
import { type AttemptResult } from './attempt.js'
import { FailureAttribution } from './failure-attribution.js'
import { type LeavingNotice, LeavingTracker } from './leaving-tracker.js'
import { type HealthSignal } from './target-health.js'
import { type RunningAttempt, type TargetReport, TargetState } from './target-state.js'

/** An unlisted target is remembered this long in milliseconds, so that its leaving mark survives a gap in the list. */
const rememberMs = 600_000

/** Change of a target's health that others are told about. */
export type HealthChange = 'ejected' | 'readmitted'

/** The targets of the own failure domain. */
export class TargetTable {
  private readonly targets = new Map<string, TargetState>()
  private listed: TargetState[] = []
  private readonly leaving = new LeavingTracker()
  private readonly attribution = new FailureAttribution()
  private peerEjections = new Map<string, ReadonlySet<string>>()

  get (id: string): TargetState | undefined {
    return this.targets.get(id)
  }

  /** @returns the targets that are in the newest list */
  list (): readonly TargetState[] {
    return this.listed
  }

  /**
   * Replaces the list.
   *
   * @returns ids of targets that are forgotten
   */
  applyList (descriptions: readonly TargetDescription[], now: number): readonly string[] {
    const ids = new Set<string>()
    for (const description of descriptions) {
      ids.add(description.id)
      const target = this.targets.get(description.id)
      if (target === undefined) this.targets.set(description.id, new TargetState(description))
      else target.applyDescription(description)
      this.leaving.applyPlatformList(description.id, description.state === 'leaving', now)
    }
    const forgotten: string[] = []
    this.listed = []
    for (const target of this.targets.values()) {
      if (ids.has(target.id)) {
        this.listed.push(target)
        continue
      }
      target.unlistedSince ??= now
      if (target.running.size === 0 && now - target.unlistedSince > rememberMs) {
        this.targets.delete(target.id)
        this.attribution.removeTarget(target.id)
        forgotten.push(target.id)
      }
    }
    this.leaving.retainOnly(new Set(this.targets.keys()))
    this.updateLeaving()
    return forgotten
  }

  /** Applies what a reply of the target tells. */
  applyReport (id: string, report: TargetReport): void {
    const target = this.targets.get(id)
    if (target === undefined) return
    this.leaving.observeReport(id, report.boot, report.leaving)
    target.isLeaving = this.leaving.isLeaving(id)
    target.applyReport(report)
  }

  /** Applies marks of leaving targets that a peer passed on. */
  applyPeerLeavingMarks (marks: readonly LeavingNotice[]): void {
    for (const mark of marks) if (this.targets.has(mark.id)) this.leaving.observeNotice(mark)
    this.updateLeaving()
  }

  /** @returns marks of leaving targets, to be passed on to peers */
  listLeaving (): readonly LeavingNotice[] {
    return this.leaving.listNotices()
  }

  /** @returns true when some listed target could run the demand while nothing else runs there */
  isAnyLargeEnough (demand: Demand): boolean {
    return this.listed.some(target => target.isLargeEnough(demand))
  }

  /** @returns true when some usable target has a free credit */
  isAnyFree (now: number): boolean {
    return this.listed.some(target => target.freeCredits > 0 && target.isUsable(now))
  }

  /**
   * Records the end of an attempt.
   *
   * @returns the attempt and a change of the target's health, if there was one
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
    const sign = this.judge(target, kind, result)
    return { attempt, change: target.health.recordSignal(sign, attempt?.isProbe ?? false, now) }
  }

  private updateLeaving (): void {
    for (const target of this.targets.values()) target.isLeaving = this.leaving.isLeaving(target.id)
  }

  private judge (target: TargetState, kind: string, result: AttemptResult): HealthSignal {
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
        // Starts that come late or get lost are wasted messages; a target that keeps doing so is avoided.
        return result.reason === 'late' || result.reason === 'not-seen' ? 'failure' : 'neutral'
      default:
        // Too much memory is the task's own fault, a cancellation nobody's.
        return 'neutral'
    }
  }

  /**
   * Takes over which targets a peer of the own domain has ejected. Only a change of the peer's
   * view counts, so that a peer with a broken link cannot keep the target ejected here.
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

  /** Forgets peers that are no longer listed. */
  retainPeers (peers: ReadonlySet<string>): void {
    for (const peer of this.peerEjections.keys()) if (!peers.has(peer)) this.peerEjections.delete(peer)
  }

  /** @returns ids of targets that own outcomes ejected */
  listEjected (): readonly string[] {
    return this.listed.filter(target => target.health.isEjectedLocally()).map(target => target.id)
  }
}
