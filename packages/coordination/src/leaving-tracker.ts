/** A subject that is leaving, as heartbeats carry it. */
export interface LeavingNotice {
  readonly id: string
  /** Incarnation of an instance or boot id of a target that leaves. */
  readonly epoch: string
}

/** After this time without any sign of leaving, a mark that only the list gave is dropped. */
const listOnlyMarkMs = 30_000

interface Subject {
  epoch: string | undefined
  isLeaving: boolean
  /** The mark rests on the list alone, which may have meant an earlier epoch. */
  isListOnly: boolean
  /** The list still describes an earlier epoch as leaving. */
  isListStale: boolean
  /** Since when the list has said live again. */
  liveSince: number | undefined
}

/**
 * Who is leaving, from the platform's list, the subjects themselves and peers. A mark stays
 * for the whole epoch (incarnation or boot), whichever source gave it first, because the list
 * lags and may come from different front ends. Times are monotonic milliseconds.
 */
export class LeavingTracker {
  private readonly subjects = new Map<string, Subject>()
  /** Epochs that a later one replaced; late reports about them are ignored. */
  private readonly pastEpochs = new Set<string>()
  /** Marks from peers about epochs that have not been seen here yet. */
  private readonly pending = new Set<string>()

  /** Takes the platform's list into account. */
  applyPlatformList (id: string, isLeaving: boolean, now: number): void {
    const subject = this.adopt(id)
    if (isLeaving) {
      subject.liveSince = undefined
      if (subject.isListStale || subject.isLeaving) return
      subject.isLeaving = true
      subject.isListOnly = true
    } else {
      subject.isListStale = false
      subject.liveSince ??= now
      if (subject.isListOnly && now - subject.liveSince >= listOnlyMarkMs) subject.isLeaving = subject.isListOnly = false
    }
  }

  /** Takes a report of the subject itself into account. */
  observeReport (id: string, epoch: string, isLeaving: boolean): void {
    const name = formatEpoch(id, epoch)
    if (this.pastEpochs.has(name)) return
    const subject = this.adopt(id)
    if (subject.epoch !== epoch) {
      if (subject.epoch !== undefined) {
        this.pastEpochs.add(formatEpoch(id, subject.epoch))
        subject.isListStale = subject.isLeaving
        subject.isLeaving = subject.isListOnly = false
        subject.liveSince = undefined
      }
      subject.epoch = epoch
    }
    if (isLeaving || this.pending.delete(name)) {
      subject.isLeaving = true
      subject.isListOnly = false
    }
  }

  /** Takes a mark that a peer passed on into account. */
  observeNotice (mark: LeavingNotice): void {
    const name = formatEpoch(mark.id, mark.epoch)
    if (this.subjects.get(mark.id)?.epoch === mark.epoch) this.observeReport(mark.id, mark.epoch, true)
    else if (!this.pastEpochs.has(name)) this.pending.add(name)
  }

  /** Tells whether a subject gets no new work. */
  isLeaving (id: string): boolean {
    return this.subjects.get(id)?.isLeaving ?? false
  }

  /** Lists the marks of known epochs, for heartbeats. */
  listNotices (): readonly LeavingNotice[] {
    const marks: LeavingNotice[] = []
    for (const [id, { epoch, isLeaving }] of this.subjects) if (isLeaving && epoch !== undefined) marks.push({ id, epoch })
    return marks
  }

  /** Forgets all subjects that the caller no longer knows. */
  retainOnly (ids: ReadonlySet<string>): void {
    for (const id of this.subjects.keys()) if (!ids.has(id)) this.subjects.delete(id)
    for (const names of [this.pastEpochs, this.pending]) {
      for (const name of names) if (!ids.has(name.slice(0, name.lastIndexOf(' ')))) names.delete(name)
    }
  }

  private adopt (id: string): Subject {
    let subject = this.subjects.get(id)
    if (subject === undefined) {
      subject = { epoch: undefined, isLeaving: false, isListOnly: false, isListStale: false, liveSince: undefined }
      this.subjects.set(id, subject)
    }
    return subject
  }
}

function formatEpoch (id: string, epoch: string): string {
  return `${id} ${epoch}`
}
