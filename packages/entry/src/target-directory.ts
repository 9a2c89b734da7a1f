import { type Dispatcher } from '@sesamereel/coordination'
import { type TargetDescription } from '@sesamereel/state'
import { type EventLog } from './event-log.js'

/** Hands the platform's list of the own domain's targets to the dispatcher and to the connections. */
export class TargetDirectory {
  readonly #dispatcher: Pick<Dispatcher, 'applyTargets'>
  readonly #connect: (targets: readonly TargetDescription[]) => void
  readonly #log: EventLog
  #listed: readonly TargetDescription[] = []

  /**
   * @param connect - receives the list for the connections
   */
  constructor (dispatcher: Pick<Dispatcher, 'applyTargets'>, connect: (targets: readonly TargetDescription[]) => void, log: EventLog) {
    this.#dispatcher = dispatcher
    this.#connect = connect
    this.#log = log
  }

  /**
   * Takes the platform's list.
   *
   * @param targets - targets of the own domain
   */
  applyTargets (targets: readonly TargetDescription[]): void {
    const before = new Map(this.#listed.map(target => [target.id, target]))
    for (const target of targets) {
      const known = before.get(target.id)
      if (known === undefined) this.#log.log('info', 'target-listed', { target: target.id, address: target.address })
      if (target.state !== known?.state && target.state === 'leaving') this.#log.log('info', 'target-leaving', { target: target.id })
      before.delete(target.id)
    }
    for (const id of before.keys()) this.#log.log('info', 'target-dropped', { target: id })
    this.#listed = targets
    this.#connect(targets)
    this.#dispatcher.applyTargets(targets)
  }
}
