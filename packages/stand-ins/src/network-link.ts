import { connect, createServer, type Server, type Socket } from 'node:net'
import { bindServer, closeListener, formatAddress, parseAddress } from './addresses.js'
import { LinkConnection } from './link-connection.js'
import { type LinkMode } from './link-mode.js'

/** Settings of one link. */
export interface LinkSettings {
  /** Name by which the link is found. */
  readonly name: string
  /** Address that clients use; port 0 lets the system choose. */
  readonly listen: string
  /** The real address. */
  readonly connect: string
  /** One-way delay in milliseconds. */
  readonly delayMs: number
}

/** A simulated network path: forwards TCP bytes between the address that clients use and the real one. */
export class NetworkLink {
  /** Name by which the link is found. */
  readonly name: string
  readonly #server: Server
  readonly #destination: { readonly host: string, readonly port: number }
  readonly #connections = new Set<LinkConnection>()
  readonly #waiting = new Set<Socket>()
  #delayMs: number
  #mode: LinkMode = 'open'

  /**
   * @param settings - settings of the link
   */
  constructor (settings: LinkSettings) {
    this.name = settings.name
    this.#destination = parseAddress(settings.connect)
    this.#delayMs = settings.delayMs
    this.#server = createServer({ allowHalfOpen: true, noDelay: true }, client => { this.#accept(client) })
  }

  /** Address that the link listens on, as `IP:PORT`. */
  get address (): string { return formatAddress(this.#server.address()) }

  /** Present mode. */
  get mode (): LinkMode { return this.#mode }

  /**
   * Starts to listen.
   *
   * @param address - `IP:PORT`; port 0 lets the system choose
   * @returns the address with the real port
   */
  async listen (address: string): Promise<string> {
    return await bindServer(this.#server, address)
  }

  /** Counts the open connections, without those that wait for the end of a cut. */
  countConnections (): number { return this.#connections.size }

  /**
   * Changes the delay of new connections.
   *
   * @param delayMs - one-way delay in milliseconds
   */
  setDelay (delayMs: number): void { this.#delayMs = delayMs }

  /**
   * Changes the mode of the link and of its connections.
   *
   * @param mode - the new mode
   */
  setMode (mode: LinkMode): void {
    this.#mode = mode
    for (const connection of [...this.#connections]) connection.setMode(mode)
    if (mode === 'open' || mode === 'refuse') this.#releaseWaiting()
  }

  /** Makes existing connections discard all bytes for good; new ones work. */
  setSilent (): void {
    for (const connection of this.#connections) connection.setSilent()
  }

  /** Closes all connections and stops listening. */
  async close (): Promise<void> {
    for (const connection of [...this.#connections]) connection.close()
    for (const client of this.#waiting) client.destroy()
    await closeListener(this.#server)
  }

  #accept (client: Socket): void {
    if (client.destroyed) return
    if (this.#mode === 'refuse') client.resetAndDestroy()
    else if (this.#mode === 'open') this.#forward(client)
    else this.#hold(client)
  }

  #hold (client: Socket): void {
    client.pause()
    client.on('error', () => {})
    client.on('close', () => { this.#waiting.delete(client) })
    this.#waiting.add(client)
  }

  #releaseWaiting (): void {
    const waiting = [...this.#waiting]
    this.#waiting.clear()
    for (const client of waiting) this.#accept(client)
  }

  #forward (client: Socket): void {
    const server = connect({ ...this.#destination, allowHalfOpen: true, noDelay: true })
    const connection: LinkConnection = new LinkConnection(client, server, this.#delayMs, () => { this.#connections.delete(connection) })
    this.#connections.add(connection)
    // A client that waited for the end of a cut was paused.
    client.resume()
  }
}
