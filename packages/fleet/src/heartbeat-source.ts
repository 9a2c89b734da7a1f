import { type Dispatcher } from './dispatcher.js'
import { type HeartbeatMessage } from './messages.js'

/**
 * Builds the heartbeats of one dispatcher. A heartbeat is the same for all owners that have received the
 * one before, so its cost does not grow with the number of owners: it carries only the changes of the
 * list of lingering jobs. An owner's first heartbeat carries the whole list.
 */
export class HeartbeatSource {
  readonly #dispatcher: Dispatcher
  #lingering: ReadonlySet<string> = new Set()

  constructor (dispatcher: Dispatcher) {
    this.#dispatcher = dispatcher
  }

  /** Builds the next heartbeat for owners that have received all heartbeats since their first. */
  createNext (sentAt: number, configurationVersion: number): HeartbeatMessage {
    const lingering = new Set(this.#dispatcher.listLingering())
    const added = [...lingering].filter(id => !this.#lingering.has(id))
    const removed = [...this.#lingering].filter(id => !lingering.has(id))
    this.#lingering = lingering
    return {
      type: 'heartbeat',
      sentAt,
      load: this.#dispatcher.summarizeLoad(),
      configurationVersion,
      ...(added.length > 0 ? { lingeringAdded: added } : {}),
      ...(removed.length > 0 ? { lingeringRemoved: removed } : {})
    }
  }

  /** @returns the heartbeat that was built last, for an owner that has received none yet */
  completeForNewOwner (heartbeat: HeartbeatMessage): HeartbeatMessage {
    const { type, sentAt, load, configurationVersion } = heartbeat
    return { type, sentAt, load, configurationVersion, lingering: [...this.#lingering] }
  }
}
