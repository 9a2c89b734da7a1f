import { type Dispatcher, LeavingMarks, type LeavingMark, type Clock } from '@sesamereel/coordination'
import { type TargetReply } from '@sesamereel/protocol'
import { type TargetDescription } from '@sesamereel/state'
import { type EventLog } from './event-log.js'

export interface TargetDirectoryOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly dispatcher: Pick<Dispatcher, 'applyTargets' | 'observeTarget'>
  /** Receives the list for the connections. */
  readonly connect: (targets: readonly TargetDescription[]) => void
}

/** The targets of the own domain: the platform's list, corrected by replies and by peers. */
export class TargetDirectory {
  readonly #options: TargetDirectoryOptions
  readonly #marks = new LeavingMarks()
  #listed: readonly TargetDescription[] = []
  #leaving = ''

  constructor (options: TargetDirectoryOptions) {
    this.#options = options
  }

  /**
   * Takes the platform's list.
   *
   * @param targets - targets of the own domain
   */
  applyList (targets: readonly TargetDescription[]): void {
    const now = this.#options.clock.now()
    const ids = new Set(targets.map(target => target.id))
    const known = new Set(this.#listed.map(target => target.id))
    for (const target of targets) {
      this.#marks.applyList(target.id, target.state === 'leaving', now)
      if (!known.has(target.id)) this.#options.log.log('info', 'target-listed', { target: target.id, address: target.address })
    }
    for (const id of known) if (!ids.has(id)) this.#options.log.log('info', 'target-dropped', { target: id })
    this.#marks.keep(ids)
    this.#listed = targets
    this.#options.connect(targets)
    this.#publish()
  }

  /**
   * Takes what a reply of a target says about it.
   */
  observeReply (targetId: string, reply: TargetReply): void {
    this.#marks.observe(targetId, reply.boot, reply.leaving)
    this.#options.dispatcher.observeTarget(targetId, { boot: reply.boot, freeSlots: reply.freeSlots, leaving: reply.leaving })
    if (reply.leaving) this.#publishChanges()
  }

  /**
   * Takes the marks that a peer of the domain passed on.
   */
  observeMarks (marks: readonly LeavingMark[]): void {
    if (marks.length === 0) return
    for (const mark of marks) this.#marks.observeMark(mark)
    this.#publishChanges()
  }

  listMarks (): readonly LeavingMark[] {
    return this.#marks.listMarks()
  }

  /** Describes the targets as they are used. */
  listTargets (): readonly TargetDescription[] {
    return this.#listed.map(target => ({ ...target, state: this.#marks.isLeaving(target.id) ? 'leaving' : 'live' }))
  }

  #publishChanges (): void {
    if (this.#describeLeaving() !== this.#leaving) this.#publish()
  }

  #publish (): void {
    const leaving = this.#describeLeaving()
    if (leaving !== this.#leaving) this.#options.log.log('info', 'targets-leaving', { targets: leaving })
    this.#leaving = leaving
    this.#options.dispatcher.applyTargets(this.listTargets())
  }

  #describeLeaving (): string {
    return this.#listed.filter(target => this.#marks.isLeaving(target.id)).map(target => target.id).join(',')
  }
}
