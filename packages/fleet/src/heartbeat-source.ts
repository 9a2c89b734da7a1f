import { type Dispatcher } from './dispatcher.js'
import { type HeartbeatMessage } from './messages.js'

/**
 * Builds the heartbeats of one dispatcher. A heartbeat is the same for all owners that have received the
 * one before, so its cost does not grow with the number of owners: it carries only the changes of the
 * list of lingering jobs, and the jobs that were cancelled since. The welcome carries the whole lists; for an owner of an earlier version its first
 * heartbeat does.
 */
export class HeartbeatSource {
  readonly #dispatcher: Dispatcher
  #lingering: ReadonlySet<string> = new Set()
  /** Jobs that welcomes have listed although the last heartbeat's list lacks them. */
  readonly #listedEarly = new Set<string>()
  /** Sequence number of the last cancelled job that a heartbeat has listed. */
  #cancelledSequence = 0

  constructor (dispatcher: Dispatcher) {
    this.#dispatcher = dispatcher
  }

  /** @returns ids of the lingering jobs for a welcome, and of those that have ended since the last heartbeat, as the next one removes them */
  listForWelcome (): readonly string[] {
    const lingering = this.#dispatcher.listLingering()
    for (const id of lingering) if (!this.#lingering.has(id)) this.#listedEarly.add(id)
    return [...new Set([...this.#lingering, ...lingering])]
  }

  /** Builds the next heartbeat for owners that have received the list and all heartbeats since. */
  createNext (sentAt: number, configurationVersion: number): HeartbeatMessage {
    const lingering = new Set(this.#dispatcher.listLingering())
    const added = [...lingering].filter(id => !this.#lingering.has(id))
    const removed = [...this.#lingering, ...this.#listedEarly].filter(id => !lingering.has(id))
    this.#lingering = lingering
    this.#listedEarly.clear()
    const cancelled = this.#dispatcher.listCancelled(this.#cancelledSequence)
    this.#cancelledSequence = cancelled.sequence
    return {
      type: 'heartbeat',
      sentAt,
      load: this.#dispatcher.summarizeLoad(),
      configurationVersion,
      settledSequence: this.#dispatcher.settledSequence,
      ...(added.length > 0 ? { lingeringAdded: added } : {}),
      ...(removed.length > 0 ? { lingeringRemoved: removed } : {}),
      ...(cancelled.entries.length > 0 ? { cancelledAdded: cancelled.entries } : {})
    }
  }

  /** @returns the heartbeat that was built last, for an owner that has not received the list yet */
  completeForNewOwner (heartbeat: HeartbeatMessage): HeartbeatMessage {
    const { lingeringAdded, lingeringRemoved, ...others } = heartbeat
    return { ...others, lingering: [...this.#lingering] }
  }
}
