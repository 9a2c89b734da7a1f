/** Report in a heartbeat that an instance or a target is leaving. */
export interface LeavingNotice {
  readonly id: string
  /** Incarnation of the instance or boot id of the target that is leaving. */
  readonly epoch: string
}

/**
 * Time in milliseconds after which a leaving state that only the platform's list reported is
 * cleared, counted from when the list reports `live` again.
 */
const listOnlyRetentionMs = 30_000

/** State of a tracked instance or target. */
interface Subject {
  epoch: string | undefined
  isLeaving: boolean
  /** The leaving state comes only from the list, which may have meant an earlier epoch. */
  isListOnly: boolean
  /** The list still reports an earlier epoch as leaving. */
  isListStale: boolean
  /** Time since which the list has reported the subject as live. */
  liveSince: number | undefined
}

/**
 * Tracks which instances or targets (subjects) are leaving, from the platform's list, from the
 * subjects' own reports and from peers. The leaving state lasts for the whole epoch (incarnation
 * or boot), whichever source reported it first, because the list lags and may come from
 * different front ends. Times are monotonic milliseconds.
 */
export class LeavingTracker {
  private readonly subjects = new Map<string, Subject>()
  /** Epochs that have been replaced by a later one; late reports about them are ignored. */
  private readonly pastEpochs = new Set<string>()
  /** Notices from peers about epochs that have not been seen here yet. */
  private readonly pendingNotices = new Set<string>()

  /** Applies an entry of the platform's list. */
  applyPlatformList (id: string, isLeaving: boolean, now: number): void {
    const subject = this.getOrCreateSubject(id)
    if (isLeaving) {
      subject.liveSince = undefined
      if (subject.isListStale || subject.isLeaving) return
      subject.isLeaving = true
      subject.isListOnly = true
    } else {
      subject.isListStale = false
      subject.liveSince ??= now
      if (subject.isListOnly && now - subject.liveSince >= listOnlyRetentionMs) subject.isLeaving = subject.isListOnly = false
    }
  }

  /** Applies a subject's own report. A new epoch clears the leaving state of the earlier one. */
  observeReport (id: string, epoch: string, isLeaving: boolean): void {
    const epochKey = formatEpochKey(id, epoch)
    if (this.pastEpochs.has(epochKey)) return
    const subject = this.getOrCreateSubject(id)
    if (subject.epoch !== epoch) {
      if (subject.epoch !== undefined) {
        this.pastEpochs.add(formatEpochKey(id, subject.epoch))
        subject.isListStale = subject.isLeaving
        subject.isLeaving = subject.isListOnly = false
        subject.liveSince = undefined
      }
      subject.epoch = epoch
    }
    if (isLeaving || this.pendingNotices.delete(epochKey)) {
      subject.isLeaving = true
      subject.isListOnly = false
    }
  }

  /**
   * Applies a notice from a peer. A notice about an unknown epoch takes effect when the subject
   * first reports that epoch.
   */
  observeNotice (notice: LeavingNotice): void {
    const epochKey = formatEpochKey(notice.id, notice.epoch)
    if (this.subjects.get(notice.id)?.epoch === notice.epoch) this.observeReport(notice.id, notice.epoch, true)
    else if (!this.pastEpochs.has(epochKey)) this.pendingNotices.add(epochKey)
  }

  /** Tells whether a subject is leaving, so that it gets no new work. */
  isLeaving (id: string): boolean {
    return this.subjects.get(id)?.isLeaving ?? false
  }

  /** Lists the notices for heartbeats: the leaving subjects whose epoch is known. */
  listNotices (): readonly LeavingNotice[] {
    const notices: LeavingNotice[] = []
    for (const [id, { epoch, isLeaving }] of this.subjects) if (isLeaving && epoch !== undefined) notices.push({ id, epoch })
    return notices
  }

  /** Removes all subjects except the given ones. */
  retainOnly (ids: ReadonlySet<string>): void {
    for (const id of this.subjects.keys()) if (!ids.has(id)) this.subjects.delete(id)
    for (const epochKeys of [this.pastEpochs, this.pendingNotices]) {
      for (const epochKey of epochKeys) if (!ids.has(epochKey.slice(0, epochKey.lastIndexOf(' ')))) epochKeys.delete(epochKey)
    }
  }

  private getOrCreateSubject (id: string): Subject {
    let subject = this.subjects.get(id)
    if (subject === undefined) {
      subject = { epoch: undefined, isLeaving: false, isListOnly: false, isListStale: false, liveSince: undefined }
      this.subjects.set(id, subject)
    }
    return subject
  }
}

function formatEpochKey (id: string, epoch: string): string {
  return `${id} ${epoch}`
}
