import { type DispatchState } from './dispatch-state.js'
import { type DispatchedJob } from './dispatched-job.js'
import { type AnnouncedStart } from './messages.js'
import { announcementWindowMs } from './order-witness.js'
import { type OwnerConnection } from './owner-registry.js'
import { type Run } from './run.js'
import { type TargetSession } from './target-session.js'
import { WitnessChoice } from './witness-choice.js'

/** Time in milliseconds within which an announcement must be confirmed; below the time that witnesses keep orders beyond their longest delay. */
const confirmTimeoutMs = announcementWindowMs - 100

/** Time in milliseconds after which a further witness is told of starts that no witness beside the owner has confirmed. */
const nextWitnessMs = 40

/** Time in milliseconds after which the confirmation of the job's owner is enough, as no other witness answers. */
const ownerAloneMs = 200

/** A start whose capacity is reserved and whose order has not been sent. */
export interface PlannedStart {
  readonly job: DispatchedJob
  readonly session: TargetSession
  readonly run: Run
}

/** The starts of one round for the jobs of one owner. */
interface OwnersStarts {
  /** The owner, who is told of its starts; undefined if it runs in this process or can't confirm announcements. */
  readonly owner: OwnerConnection | undefined
  readonly starts: readonly PlannedStart[]
  hasOwnerConfirmed: boolean
  /** Whether the orders may be sent, or were given up. */
  isDecided: boolean
}

/** The starts of one round. */
interface Announcement {
  readonly sequence: number
  /** Monotonic time in milliseconds. */
  readonly announcedAt: number
  readonly groups: readonly OwnersStarts[]
  /** Owners beside those of the jobs that were told of all starts. */
  readonly others: Set<OwnerConnection>
  /** Whether one of them has confirmed, or there is none. */
  isWitnessed: boolean
  /** Runs whose orders are not answered and not reported as unanswered, and that are not given up either. */
  readonly open: Set<Run>
}

/**
 * Announces start orders to two other processes before they are sent: to the job's owner, so that it can tell a successor when it
 * submits the job again, and to an instance of another failure domain, if there is one, so that the loss of a whole domain leaves a
 * witness. An order is sent once both have confirmed. An order that is not answered is thus known when this dispatcher is lost.
 */
export class StartAnnouncements {
  readonly #state: DispatchState
  readonly #lateOrderMs: number
  readonly #choice: WitnessChoice
  /** Announcements with open runs, in the order in which they were sent. */
  readonly #announcements = new Map<number, Announcement>()
  readonly #byRun = new Map<Run, Announcement>()
  /** Starts of the current round by the owners that are told of them. */
  #round = new Map<OwnerConnection | undefined, PlannedStart[]>()
  /** Starts that may be ordered now. */
  #confirmed: PlannedStart[] = []
  #lastSequence = 0

  /** @param lateOrderMs - time in milliseconds after which an unanswered order can no longer be carried out */
  constructor (state: DispatchState, lateOrderMs: number, choice: WitnessChoice) {
    this.#state = state
    this.#lateOrderMs = lateOrderMs
    this.#choice = choice
  }

  /** Sequence number up to which every announced order was answered, given up, or reported to its witnesses as unanswered. */
  get settledSequence (): number {
    const [oldest] = this.#announcements.keys()
    return oldest === undefined ? this.#lastSequence : oldest - 1
  }

  /** Adds a planned start to the announcement of this round. */
  plan (start: PlannedStart): void {
    const { connection } = start.job
    const owner = connection.isWitness && this.#state.owners.isOpen(connection) ? connection : undefined
    const starts = this.#round.get(owner)
    if (starts === undefined) this.#round.set(owner, [start])
    else starts.push(start)
  }

  /** Sends the announcement of this round to its witnesses. */
  sendRound (): void {
    if (this.#round.size === 0) return
    const groups = [...this.#round].map(([owner, starts]): OwnersStarts => ({ owner, starts, hasOwnerConfirmed: owner === undefined, isDecided: false }))
    this.#round = new Map()
    const open = new Set(groups.flatMap(({ starts }) => starts.map(({ run }) => run)))
    const announcement: Announcement = { sequence: this.#lastSequence + 1, announcedAt: this.#state.now(), groups, others: new Set(), isWitnessed: false, open }
    const { settledSequence } = this
    this.#lastSequence++
    this.#announcements.set(announcement.sequence, announcement)
    for (const run of open) this.#byRun.set(run, announcement)
    for (const { owner, starts } of groups) owner?.send({ type: 'start-announcement', sequence: announcement.sequence, settledSequence, starts: starts.map(describeStart) })
    announcement.isWitnessed = !this.#tellOther(announcement)
    this.#orderConfirmed(announcement)
  }

  /** Notes that a witness knows the orders that it was told of. */
  confirm (witness: OwnerConnection, sequence: number): void {
    const announcement = this.#announcements.get(sequence)
    if (announcement === undefined) return
    for (const group of announcement.groups) if (group.owner === witness) group.hasOwnerConfirmed = true
    if (announcement.others.has(witness)) announcement.isWitnessed = true
    this.#orderConfirmed(announcement)
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

  /** @returns the orders that were sent and have no answer yet */
  listSent (): readonly AnnouncedStart[] {
    const groups = [...this.#announcements.values()].flatMap(({ groups, open }) => groups.map(({ starts }) => starts.filter(({ run }) => open.has(run) && run.sends > 0)))
    return groups.flat().map(describeStart)
  }

  /**
   * Tells the witnesses that an order was not answered, before its announcement may count as settled.
   *
   * @returns the connections of the witnesses
   */
  reportUnanswered (run: Run): readonly OwnerConnection[] {
    const announcement = this.#byRun.get(run)
    if (announcement === undefined) return []
    const owner = announcement.groups.find(({ starts }) => starts.some(start => start.run === run))?.owner
    const witnesses = owner === undefined ? [...announcement.others] : [owner, ...announcement.others]
    for (const witness of witnesses) witness.send({ type: 'order-unanswered', task: run.task, attempt: run.attempt })
    this.settle(run)
    return witnesses
  }

  /**
   * Tells further witnesses of starts that none has confirmed, and gives up starts that are not confirmed in time, or whose owner
   * has closed its connection. Forgets announcements whose orders can't be carried out any more.
   */
  check (now: number): void {
    for (const announcement of [...this.#announcements.values()]) {
      const waitedMs = now - announcement.announcedAt
      if (waitedMs > this.#lateOrderMs) for (const run of [...announcement.open]) this.settle(run)
      if (!announcement.isWitnessed && waitedMs > nextWitnessMs) this.#tellOther(announcement)
      for (const group of announcement.groups) if (!group.isDecided) this.#checkGroup(announcement, group, waitedMs)
      this.#orderConfirmed(announcement)
    }
  }

  #checkGroup (announcement: Announcement, group: OwnersStarts, waitedMs: number): void {
    const { owner, starts } = group
    const isOwnerOpen = owner === undefined || this.#state.owners.isOpen(owner)
    if (waitedMs <= confirmTimeoutMs && isOwnerOpen) return
    group.isDecided = true
    this.#state.metrics.observeAnnouncement('given-up', waitedMs)
    this.#state.log('order', 'starts-unannounced', { owner: owner?.ownerId, sequence: announcement.sequence, starts: starts.length, afterMs: Math.round(waitedMs), connected: isOwnerOpen, witnesses: announcement.others.size })
    for (const { session, run } of starts) {
      session.dropPlannedRun(run)
      this.settle(run)
    }
  }

  /**
   * Tells a witness that has no jobs in an announcement of all its starts.
   *
   * @returns whether there was one
   */
  #tellOther (announcement: Announcement): boolean {
    const told = new Set([...announcement.others, ...announcement.groups.map(({ owner }) => owner)])
    const other = this.#choice.choose(connection => !told.has(connection))
    if (other === undefined) return false
    announcement.others.add(other)
    other.send({ type: 'start-announcement', sequence: announcement.sequence, settledSequence: this.settledSequence, starts: announcement.groups.flatMap(({ starts }) => starts.map(describeStart)) })
    return true
  }

  #orderConfirmed (announcement: Announcement): void {
    const waitedMs = this.#state.now() - announcement.announcedAt
    for (const group of announcement.groups) {
      const isOwnerEnough = group.owner !== undefined && waitedMs > ownerAloneMs
      if (group.isDecided || !group.hasOwnerConfirmed || !(announcement.isWitnessed || isOwnerEnough)) continue
      group.isDecided = true
      this.#state.metrics.observeAnnouncement('confirmed', waitedMs)
      this.#confirmed.push(...group.starts)
    }
  }
}

function describeStart ({ session, run }: PlannedStart): AnnouncedStart {
  return { task: run.task, attempt: run.attempt, target: session.info.id }
}
