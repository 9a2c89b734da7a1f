import { type DispatchState } from './dispatch-state.js'
import { type DispatchedJob } from './dispatched-job.js'
import { type AnnouncedStart } from './messages.js'
import { announcementWindowMs } from './order-witness.js'
import { type OwnerConnection } from './owner-registry.js'
import { type Run } from './run.js'
import { type TargetSession } from './target-session.js'

/** Time in milliseconds within which a witness must confirm an announcement; below the time that it keeps orders beyond their longest delay. */
const confirmTimeoutMs = announcementWindowMs - 100

/** A start whose capacity is reserved and whose order has not been sent. */
export interface PlannedStart {
  readonly job: DispatchedJob
  readonly session: TargetSession
  readonly run: Run
}

/** The starts of one round that one witness is told of. */
interface Announcement {
  readonly sequence: number
  readonly witness: OwnerConnection
  /** Monotonic time in milliseconds. */
  readonly announcedAt: number
  readonly starts: readonly PlannedStart[]
  /** Runs whose orders are not answered and not reported as unanswered, and that are not given up either. */
  readonly open: Set<Run>
  isConfirmed: boolean
}

/**
 * Announces start orders to another process before they are sent. That witness is the job's owner, or another instance if the
 * owner runs in this process: its loss is also that of the dispatcher. An order is sent once its witness has confirmed the
 * announcement, so that no order that this dispatcher leaves unanswered is unknown to its successor, unless the witness is lost as well.
 */
export class StartAnnouncements {
  readonly #state: DispatchState
  /** Announcements with open runs, in the order in which they were sent. */
  readonly #announcements = new Map<number, Announcement>()
  readonly #byRun = new Map<Run, Announcement>()
  /** Starts of the current round, by their witness. */
  #round = new Map<OwnerConnection, PlannedStart[]>()
  /** Starts that may be ordered now. */
  #confirmed: PlannedStart[] = []
  #lastSequence = 0
  readonly #lateOrderMs: number

  /** @param lateOrderMs - time in milliseconds after which an unanswered order can no longer be carried out */
  constructor (state: DispatchState, lateOrderMs: number) {
    this.#state = state
    this.#lateOrderMs = lateOrderMs
  }

  /** Sequence number up to which every announced order was answered, given up, or reported to its witness as unanswered. */
  get settledSequence (): number {
    const [oldest] = this.#announcements.keys()
    return oldest === undefined ? this.#lastSequence : oldest - 1
  }

  /**
   * Adds a planned start to the announcements of this round. Without a witness its order may be sent at once.
   */
  plan (start: PlannedStart): void {
    const witness = this.#state.owners.pickWitness(start.job.connection)
    const starts = witness === undefined ? this.#confirmed : this.#round.get(witness)
    if (starts === undefined) this.#round.set(witness!, [start])
    else starts.push(start)
  }

  /** Sends the announcements of this round, one to each witness. */
  sendRound (): void {
    if (this.#round.size === 0) return
    const now = this.#state.now()
    const { settledSequence } = this
    for (const [witness, starts] of this.#round) {
      const sequence = ++this.#lastSequence
      const announcement: Announcement = { sequence, witness, announcedAt: now, starts, open: new Set(starts.map(({ run }) => run)), isConfirmed: false }
      this.#announcements.set(sequence, announcement)
      for (const { run } of starts) this.#byRun.set(run, announcement)
      witness.send({ type: 'start-announcement', sequence, settledSequence, starts: starts.map(describeStart) })
    }
    this.#round = new Map()
  }

  /** Notes that a witness knows the orders of an announcement. */
  confirm (witness: OwnerConnection, sequence: number): void {
    const announcement = this.#announcements.get(sequence)
    if (announcement === undefined || announcement.witness !== witness || announcement.isConfirmed) return
    announcement.isConfirmed = true
    this.#state.metrics.observeAnnouncement('confirmed', this.#state.now() - announcement.announcedAt)
    this.#confirmed.push(...announcement.starts)
  }

  /** @returns the starts whose announcements were confirmed since the last call */
  takeConfirmed (): readonly PlannedStart[] {
    const confirmed = this.#confirmed
    this.#confirmed = []
    return confirmed
  }

  /** Notes that an order was answered, or will not be sent. */
  settle (run: Run): void {
    const announcement = this.#byRun.get(run)
    if (announcement === undefined) return
    this.#byRun.delete(run)
    announcement.open.delete(run)
    if (announcement.open.size === 0) this.#announcements.delete(announcement.sequence)
  }

  /** Tells the witness that an order was not answered, before its announcement may count as settled. */
  reportUnanswered (run: Run): void {
    const announcement = this.#byRun.get(run)
    if (announcement === undefined) return
    announcement.witness.send({ type: 'order-unanswered', task: run.task, attempt: run.attempt })
    this.settle(run)
  }

  /**
   * Gives up the starts that their witness has not confirmed in time, and those whose witness has closed its connection.
   * Forgets announcements whose orders can't be carried out any more.
   */
  check (now: number): void {
    for (const announcement of [...this.#announcements.values()]) {
      const { witness, isConfirmed, announcedAt, starts, sequence } = announcement
      if (isConfirmed && now - announcedAt > this.#lateOrderMs) for (const { run } of starts) this.settle(run)
      if (isConfirmed || (now - announcedAt <= confirmTimeoutMs && this.#state.owners.isOpen(witness))) continue
      this.#state.metrics.observeAnnouncement('given-up', now - announcedAt)
      this.#state.log('order', 'starts-unannounced', { witness: witness.ownerId, sequence, starts: starts.length, afterMs: Math.round(now - announcedAt), connected: this.#state.owners.isOpen(witness) })
      for (const { session, run } of starts) session.dropPlannedRun(run)
    }
  }
}

function describeStart ({ session, run }: PlannedStart): AnnouncedStart {
  return { task: run.task, attempt: run.attempt, target: session.info.id }
}
