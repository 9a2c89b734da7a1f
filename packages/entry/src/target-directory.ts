import { type Dispatcher } from '@sesamereel/coordination'
import { type TargetDescription } from '@sesamereel/state'
import { type EventLog } from './event-log.js'

/** Applies the platform's list of targets in the own domain to the dispatcher and the target connections, and logs its changes. */
export class TargetDirectory {
  readonly #dispatcher: Pick<Dispatcher, 'applyTargets'>
  readonly #connect: (targets: readonly TargetDescription[]) => void
  readonly #log: EventLog
  #targets: readonly TargetDescription[] = []

  /**
   * @param connect - receives the list in order to update the connections
   */
  constructor (dispatcher: Pick<Dispatcher, 'applyTargets'>, connect: (targets: readonly TargetDescription[]) => void, log: EventLog) {
    this.#dispatcher = dispatcher
    this.#connect = connect
    this.#log = log
  }

  /**
   * Applies a new list.
   *
   * @param targets - all listed targets of the own domain
   */
  applyTargets (targets: readonly TargetDescription[]): void {
    const removed = new Map(this.#targets.map(target => [target.id, target]))
    for (const target of targets) {
      const previous = removed.get(target.id)
      if (previous === undefined) this.#log.log('info', 'target-listed', { target: target.id, address: target.address })
      if (target.state !== previous?.state && target.state === 'leaving') this.#log.log('info', 'target-leaving', { target: target.id })
      removed.delete(target.id)
    }
    for (const id of removed.keys()) this.#log.log('info', 'target-dropped', { target: id })
    this.#targets = targets
    this.#connect(targets)
    this.#dispatcher.applyTargets(targets)
  }
}
