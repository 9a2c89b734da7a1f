import { once } from 'node:events'
import { connect, createServer, type Server, type Socket } from 'node:net'
import { formatAddress, parseAddress } from './http-server.js'

/**
 * What a link carries. A cut holds the bytes of the named direction, as a network does while the
 * sender repeats them, and delivers them when it ends. New connections wait during any cut, since
 * a handshake needs both directions. `refuse` resets connections instead.
 */
export type LinkMode = 'open' | 'cut' | 'cut-to-server' | 'cut-to-client' | 'refuse'

/** Bytes held in one direction above which the sender is paused. */
const maxHeldBytes = 4 * 1024 * 1024

/** Time in milliseconds after which the far side of a silent or cut connection that its client closed is closed too. */
const silentCloseMs = 5_000

interface Held {
  readonly deliverAt: number
  /** Undefined stands for the end of the stream. */
  readonly chunk: Buffer | undefined
}

/** Carries the bytes of one direction of a connection, late or held. */
class Pump {
  readonly #from: Socket
  readonly #to: Socket
  readonly #delayMs: number
  readonly #held: Held[] = []
  #heldBytes = 0
  #timer: NodeJS.Timeout | undefined
  #blocked = false
  #silent = false

  constructor (from: Socket, to: Socket, delayMs: number) {
    this.#from = from
    this.#to = to
    this.#delayMs = delayMs
    from.on('data', chunk => { this.#accept(chunk) })
    from.on('end', () => { this.#accept(undefined) })
    to.on('drain', () => { if (this.#heldBytes <= maxHeldBytes) from.resume() })
  }

  setBlocked (blocked: boolean): void {
    this.#blocked = blocked
    if (!blocked) this.#flush()
  }

  /** Drops everything from now on. */
  setSilent (): void {
    this.#silent = true
    this.#held.length = 0
    this.#heldBytes = 0
    this.#from.resume()
  }

  close (): void {
    clearTimeout(this.#timer)
  }

  #accept (chunk: Buffer | undefined): void {
    if (this.#silent) return
    if (this.#delayMs === 0 && !this.#blocked && this.#held.length === 0) {
      this.#send(chunk)
      return
    }
    this.#held.push({ deliverAt: performance.now() + this.#delayMs, chunk })
    this.#heldBytes += chunk?.length ?? 0
    if (this.#heldBytes > maxHeldBytes) this.#from.pause()
    if (this.#held.length === 1) this.#flush()
  }

  #flush (): void {
    clearTimeout(this.#timer)
    if (this.#blocked || this.#silent) return
    const now = performance.now()
    // Timers have a resolution of 1 ms; half of it is delivered early rather than late.
    while (this.#held.length > 0 && this.#held[0]!.deliverAt <= now + 0.5) {
      const { chunk } = this.#held.shift()!
      this.#heldBytes -= chunk?.length ?? 0
      this.#send(chunk)
    }
    if (this.#held.length > 0) this.#timer = setTimeout(() => { this.#flush() }, this.#held[0]!.deliverAt - now)
    else this.#from.resume()
  }

  #send (chunk: Buffer | undefined): void {
    if (this.#to.destroyed) return
    if (chunk === undefined) this.#to.end()
    else if (!this.#to.write(chunk)) this.#from.pause()
  }
}

/** One connection through a link. */
class LinkConnection {
  readonly #client: Socket
  readonly #server: Socket
  readonly #toServer: Pump
  readonly #toClient: Pump
  #silent = false
  #cut = false

  constructor (client: Socket, server: Socket, delayMs: number, report: () => void) {
    this.#client = client
    this.#server = server
    this.#toServer = new Pump(client, server, delayMs)
    this.#toClient = new Pump(server, client, delayMs)
    let open = 2
    for (const [socket, other] of [[client, server], [server, client]] as const) {
      socket.on('error', () => {})
      socket.on('close', hadError => {
        open--
        if (open === 0) report()
        // A reset must not pass through a cut or a silent connection either.
        if (this.#silent || (hadError && this.#cut)) setTimeout(() => { other.destroy() }, silentCloseMs).unref()
        else if (hadError && !other.destroyed) other.resetAndDestroy()
      })
    }
  }

  setMode (mode: LinkMode): void {
    this.#cut = mode !== 'open'
    this.#toServer.setBlocked(mode === 'cut' || mode === 'cut-to-server')
    this.#toClient.setBlocked(mode === 'cut' || mode === 'cut-to-client')
    if (mode === 'refuse') this.close()
  }

  setSilent (): void {
    this.#silent = true
    this.#toServer.setSilent()
    this.#toClient.setSilent()
  }

  close (): void {
    this.#toServer.close()
    this.#toClient.close()
    this.#client.resetAndDestroy()
    this.#server.resetAndDestroy()
  }
}

export interface LinkSettings {
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
  readonly name: string
  readonly #server: Server
  readonly #connect: { readonly host: string, readonly port: number }
  readonly #connections = new Set<LinkConnection>()
  readonly #waiting = new Set<Socket>()
  #delayMs: number
  #mode: LinkMode = 'open'

  constructor (settings: LinkSettings) {
    this.name = settings.name
    this.#connect = parseAddress(settings.connect)
    this.#delayMs = settings.delayMs
    this.#server = createServer({ allowHalfOpen: true, noDelay: true }, client => { this.#accept(client) })
  }

  async listen (address: string): Promise<string> {
    const { host, port } = parseAddress(address)
    this.#server.listen(port, host, 4096)
    await once(this.#server, 'listening')
    return this.address
  }

  get address (): string { return formatAddress(this.#server.address()) }

  get mode (): LinkMode { return this.#mode }

  countConnections (): number { return this.#connections.size }

  setDelay (delayMs: number): void { this.#delayMs = delayMs }

  setMode (mode: LinkMode): void {
    this.#mode = mode
    for (const connection of [...this.#connections]) connection.setMode(mode)
    if (mode === 'open' || mode === 'refuse') {
      const waiting = [...this.#waiting]
      this.#waiting.clear()
      for (const client of waiting) this.#accept(client)
    }
  }

  /** Existing connections carry nothing any more; new ones work. */
  setSilent (): void {
    for (const connection of this.#connections) connection.setSilent()
  }

  async close (): Promise<void> {
    for (const connection of [...this.#connections]) connection.close()
    for (const client of this.#waiting) client.destroy()
    const closed = once(this.#server, 'close')
    this.#server.close()
    await closed
  }

  #accept (client: Socket): void {
    if (client.destroyed) return
    if (this.#mode === 'refuse') {
      client.resetAndDestroy()
    } else if (this.#mode !== 'open') {
      client.pause()
      client.on('error', () => {})
      client.on('close', () => { this.#waiting.delete(client) })
      this.#waiting.add(client)
    } else {
      const server = connect({ ...this.#connect, allowHalfOpen: true, noDelay: true })
      const connection: LinkConnection = new LinkConnection(client, server, this.#delayMs, () => { this.#connections.delete(connection) })
      this.#connections.add(connection)
      // A client that waited for the end of a cut was paused.
      client.resume()
    }
  }
}
