import { type DispatcherMessage } from './messages.js'

/** Time in milliseconds that a lost owner has to connect again before its jobs are dropped. */
const ownerGraceMs = 400

/** Sends messages to one owner. */
export abstract class OwnerConnection {
  /** Incarnation of the owner's instance. */
  abstract readonly ownerId: string
  abstract send (message: DispatcherMessage): void
}

/** The owners of jobs at one dispatcher. */
export class OwnerRegistry {
  readonly #ports = new Map<string, OwnerConnection>()
  readonly #lostAt = new Map<string, number>()

  add (port: OwnerConnection): void {
    this.#ports.set(port.ownerId, port)
    this.#lostAt.delete(port.ownerId)
  }

  remove (port: OwnerConnection, now: number): void {
    if (this.#ports.get(port.ownerId) !== port) return
    this.#ports.delete(port.ownerId)
    this.#lostAt.set(port.ownerId, now)
  }

  /** Records that jobs belong to this owner. */
  trackOwner (ownerId: string): void {
    if (!this.#ports.has(ownerId) && !this.#lostAt.has(ownerId)) this.#lostAt.set(ownerId, 0)
  }

  isConnected (ownerId: string): boolean {
    return this.#ports.has(ownerId)
  }

  send (ownerId: string, message: DispatcherMessage): void {
    this.#ports.get(ownerId)?.send(message)
  }

  /** @returns owners that stayed away for longer than the grace time, each once */
  takeExpired (now: number): readonly string[] {
    const expired: string[] = []
    for (const [ownerId, lostAt] of this.#lostAt) if (now - lostAt > ownerGraceMs) expired.push(ownerId)
    for (const ownerId of expired) this.#lostAt.delete(ownerId)
    return expired
  }
}
