import { type DispatcherMessage } from './messages.js'

/** Time in milliseconds that a disconnected owner has to reconnect before its jobs are dropped. */
const reconnectGraceMs = 400

/** A dispatcher's connection to one owner. */
export abstract class OwnerConnection {
  /** Incarnation id of the owner's instance. */
  abstract readonly ownerId: string
  abstract send (message: DispatcherMessage): void
}

/** The owners that have jobs at a dispatcher or are connected to it. */
export class OwnerRegistry {
  readonly #connections = new Map<string, OwnerConnection>()
  readonly #disconnectedAt = new Map<string, number>()

  /** Adds a connection; it replaces an earlier one of the same owner. */
  add (connection: OwnerConnection): void {
    this.#connections.set(connection.ownerId, connection)
    this.#disconnectedAt.delete(connection.ownerId)
  }

  /** Removes a closed connection and starts the owner's grace time, unless a newer connection has replaced it. */
  remove (connection: OwnerConnection, now: number): void {
    if (this.#connections.get(connection.ownerId) !== connection) return
    this.#connections.delete(connection.ownerId)
    this.#disconnectedAt.set(connection.ownerId, now)
  }

  /**
   * Records that an owner has jobs. An owner that is neither connected nor within its grace time counts
   * as disconnected since time 0 of the clock, so that it expires.
   */
  trackOwner (ownerId: string): void {
    if (!this.#connections.has(ownerId) && !this.#disconnectedAt.has(ownerId)) this.#disconnectedAt.set(ownerId, 0)
  }

  isConnected (ownerId: string): boolean {
    return this.#connections.has(ownerId)
  }

  /** Sends a message to an owner; drops it if the owner is not connected. */
  send (ownerId: string, message: DispatcherMessage): void {
    this.#connections.get(ownerId)?.send(message)
  }

  /** @returns owners that have been disconnected for longer than the grace time; each is returned once */
  takeExpired (now: number): readonly string[] {
    const expired: string[] = []
    for (const [ownerId, disconnectedAt] of this.#disconnectedAt) if (now - disconnectedAt > reconnectGraceMs) expired.push(ownerId)
    for (const ownerId of expired) this.#disconnectedAt.delete(ownerId)
    return expired
  }
}
