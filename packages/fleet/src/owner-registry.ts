import { type DispatcherMessage } from './messages.js'

/** Time in milliseconds that a disconnected owner has to reconnect before its jobs are dropped. */
const reconnectGraceMs = 400

/** A dispatcher's connection to one owner. */
export abstract class OwnerConnection {
  /** Incarnation id of the owner's instance. */
  abstract readonly ownerId: string
  /** Rises with each connection that the owner opens to this dispatcher's domain; 0 for owners of an earlier version. */
  abstract readonly sequence: number
  /** Whether the connection is being closed because no message arrived on it; the owner may be paused or cut off. */
  isSilent = false
  /** Whether the owner runs in another process and confirms announcements of starts. */
  readonly isWitness: boolean = false
  /** Failure domain of the owner's instance; undefined for owners of an earlier version. */
  readonly homeDomain: string | undefined = undefined
  /** Token of the dispatcher of the domain to which the owner was connected last; undefined if there was none. */
  readonly knownToken: number | undefined = undefined
  abstract send (message: DispatcherMessage): void
}

/** What is known of one owner. Times are the dispatcher's monotonic time in milliseconds. */
interface OwnerRecord {
  /** Open connections in the order in which they were accepted; messages go to the newest. */
  readonly connections: OwnerConnection[]
  /** Time at which no connection was left open; later connections clear it only with a message of the owner. */
  disconnectedAt: number | undefined
  /** Highest sequence number of the owner's connections. */
  newestSequence: number
}

/** The owners that have jobs at a dispatcher or are connected to it. */
export class OwnerRegistry {
  readonly #owners = new Map<string, OwnerRecord>()
  readonly #welcomedAt = new Map<OwnerConnection, number>()
  /**
   * Time at which the owner is certain to have lived and to have had the jobs that it submitted on a connection,
   * because it has received a message that was sent then on this connection. Kept after the end of the connection.
   */
  readonly #confirmedAt = new WeakMap<OwnerConnection, number>()
  /** Open connections over which the owner has answered the welcome, so that it has submitted its jobs on them. */
  readonly #answered = new Set<OwnerConnection>()

  /**
   * Adds a connection whose owner is welcomed.
   *
   * @param welcomedAt - send time of the welcome, by the clock that counts suspensions as all send times are
   */
  add (connection: OwnerConnection, welcomedAt: number): void {
    const owner = this.#owners.get(connection.ownerId) ?? { connections: [], disconnectedAt: undefined, newestSequence: 0 }
    this.#owners.set(connection.ownerId, owner)
    owner.connections.push(connection)
    owner.newestSequence = Math.max(owner.newestSequence, connection.sequence)
    this.#welcomedAt.set(connection, welcomedAt)
  }

  /** Removes a closed connection, and starts the owner's grace time if it was the last one. */
  remove (connection: OwnerConnection, now: number): void {
    this.#welcomedAt.delete(connection)
    this.#answered.delete(connection)
    const owner = this.#owners.get(connection.ownerId)
    const index = owner?.connections.indexOf(connection) ?? -1
    if (owner === undefined || index < 0) return
    owner.connections.splice(index, 1)
    // An owner whose attempts to reconnect fail gets no further grace time.
    if (owner.connections.length === 0) owner.disconnectedAt ??= now
  }

  /**
   * Records that an owner has jobs. An owner that is neither connected nor within its grace time counts
   * as disconnected since time 0 of the clock, so that it expires.
   */
  trackOwner (ownerId: string): void {
    if (!this.#owners.has(ownerId)) this.#owners.set(ownerId, { connections: [], disconnectedAt: 0, newestSequence: 0 })
  }

  /**
   * Records a message that an owner sends only after the welcome, which proves that the owner has received it.
   * The time at which the message is handled proves nothing: it may have waited while this process
   * was paused.
   *
   * @param heardSentAt - send time of the newest message that the owner has received; by default that of the welcome
   */
  confirm (connection: OwnerConnection, heardSentAt = this.#welcomedAt.get(connection)): void {
    const owner = this.#owners.get(connection.ownerId)
    if (owner === undefined || heardSentAt === undefined) return
    this.#confirmedAt.set(connection, Math.max(this.getConfirmedAt(connection), heardSentAt))
    if (this.#welcomedAt.has(connection)) owner.disconnectedAt = undefined
  }

  /**
   * @param connection - the connection over which an owner submitted a job last
   * @returns the time at which the owner is certain to have lived and to have had the job; `-Infinity` if there is none
   */
  getConfirmedAt (connection: OwnerConnection): number {
    return this.#confirmedAt.get(connection) ?? -Infinity
  }

  /** Records that the owner has received the welcome on a connection, and submitted its jobs on it in reply. */
  markAnswered (connection: OwnerConnection): void {
    if (this.#welcomedAt.has(connection)) this.#answered.add(connection)
  }

  /**
   * @param connection - the connection over which an owner submitted a job last
   * @returns whether the owner has reconnected without submitting the job again, so that it no longer has it
   */
  hasGivenUp (connection: OwnerConnection): boolean {
    const isOpen = this.#welcomedAt.has(connection)
    const others = this.#owners.get(connection.ownerId)?.connections ?? []
    // The end of an earlier connection may be noticed long after the owner has replaced it.
    return others.some(other => this.#answered.has(other) && (!isOpen || other.sequence > connection.sequence))
  }

  /** @returns whether the owner has opened a newer connection, on which it submits all its jobs again */
  isSuperseded (connection: OwnerConnection): boolean {
    return connection.sequence < (this.#owners.get(connection.ownerId)?.newestSequence ?? 0)
  }

  isConnected (ownerId: string): boolean {
    return (this.#owners.get(ownerId)?.connections.length ?? 0) > 0
  }

  /** @returns whether a connection has not been closed */
  isOpen (connection: OwnerConnection): boolean {
    return this.#welcomedAt.has(connection)
  }

  /** @returns the open connections of owners that can be witnesses and have answered lately */
  listWitnesses (): readonly OwnerConnection[] {
    return [...this.#answered].filter(({ isWitness, isSilent }) => isWitness && !isSilent)
  }

  /** @returns for each connected owner the time at which it is certain to have lived; `-Infinity` if there is none */
  listConnected (): ReadonlyMap<string, number> {
    const connected = [...this.#owners].filter(([, { connections }]) => connections.length > 0)
    return new Map(connected.map(([ownerId, { connections }]) => [ownerId, Math.max(...connections.map(connection => this.getConfirmedAt(connection)))]))
  }

  /** Sends a message to an owner; drops it if the owner is not connected. */
  send (ownerId: string, message: DispatcherMessage): void {
    this.#owners.get(ownerId)?.connections.at(-1)?.send(message)
  }

  /** @returns owners that have been disconnected for longer than the grace time; each is returned once */
  takeExpired (now: number): readonly string[] {
    const expired = [...this.#owners].filter(([, { disconnectedAt }]) => disconnectedAt !== undefined && now - disconnectedAt > reconnectGraceMs).map(([ownerId]) => ownerId)
    for (const ownerId of expired) {
      const owner = this.#owners.get(ownerId)!
      if (owner.connections.length === 0) this.#owners.delete(ownerId)
      else owner.disconnectedAt = undefined
    }
    return expired
  }
}
