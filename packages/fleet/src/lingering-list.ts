import { type HeartbeatMessage } from './messages.js'

/** An owner's copy of a dispatcher's list of lingering jobs: those that a resubmission may concern. */
export class LingeringList {
  #jobIds = new Set<string>()
  /** The list of the dispatcher before, whose runs may go on without being known to the present one. */
  #earlierJobIds: ReadonlySet<string> = new Set()
  /** Monotonic time in milliseconds at which the list was last known to be current; undefined until it was received on this connection. */
  #receivedAt: number | undefined

  has (jobId: string): boolean {
    return this.#jobIds.has(jobId)
  }

  /** @returns whether the dispatcher before the present one listed the job */
  wasListedEarlier (jobId: string): boolean {
    return this.#earlierJobIds.has(jobId)
  }

  /** @returns milliseconds since the list was last received; undefined if it was not on this connection */
  measureAgeMs (now: number): number | undefined {
    return this.#receivedAt === undefined ? undefined : now - this.#receivedAt
  }

  /** Begins a connection with the list of its welcome, which a dispatcher of an earlier version sends with its first heartbeat. */
  begin (jobIds: readonly string[] | undefined, isNewDispatcher: boolean, now: number): void {
    this.#receivedAt = undefined
    if (jobIds === undefined) return
    if (isNewDispatcher) this.#earlierJobIds = this.#jobIds
    this.replace(jobIds, now)
  }

  /** Replaces the whole list. */
  replace (jobIds: readonly string[], now: number): void {
    this.#jobIds = new Set(jobIds)
    this.#receivedAt = now
  }

  /** Applies the changes that a heartbeat carries. */
  update ({ lingering, lingeringAdded = [], lingeringRemoved = [] }: HeartbeatMessage, now: number): void {
    if (lingering !== undefined) this.#jobIds = new Set(lingering)
    for (const id of lingeringRemoved) this.#jobIds.delete(id)
    for (const id of lingeringAdded) this.#jobIds.add(id)
    this.#receivedAt = now
  }
}
