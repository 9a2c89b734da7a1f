import { type DispatcherMessage } from './messages.js'

/** Time in milliseconds that a lost owner has to connect again before its jobs are dropped. */
const reconnectGraceMs = 400

/** Sends messages to one owner. */
export abstract class OwnerConnection {
  /** Incarnation of the owner's instance. */
  abstract readonly ownerId: string
  abstract send (message: DispatcherMessage): void
}

/** The owners of jobs at one dispatcher. */
export class OwnerRegistry {
  readonly #connections = new Map<string, OwnerConnection>()
  readonly #disconnectedAt = new Map<string, number>()

  add (connection: OwnerConnection): void {
    this.#connections.set(connection.ownerId, connection)
    this.#disconnectedAt.delete(connection.ownerId)
  }

  remove (connection: OwnerConnection, now: number): void {
    if (this.#connections.get(connection.ownerId) !== connection) return
    this.#connections.delete(connection.ownerId)
    this.#disconnectedAt.set(connection.ownerId, now)
  }

  /** Records that jobs belong to this owner. */
  trackOwner (ownerId: string): void {
    if (!this.#connections.has(ownerId) && !this.#disconnectedAt.has(ownerId)) this.#disconnectedAt.set(ownerId, 0)
  }

  isConnected (ownerId: string): boolean {
    return this.#connections.has(ownerId)
  }

  send (ownerId: string, message: DispatcherMessage): void {
    this.#connections.get(ownerId)?.send(message)
  }

  /** @returns owners that stayed away for longer than the grace time, each once */
  takeExpired (now: number): readonly string[] {
    const expired: string[] = []
    for (const [ownerId, disconnectedAt] of this.#disconnectedAt) if (now - disconnectedAt > reconnectGraceMs) expired.push(ownerId)
    for (const ownerId of expired) this.#disconnectedAt.delete(ownerId)
    return expired
  }
}
