import { type Socket } from 'node:net'
import { ByteRelay } from './byte-relay.js'
import { type LinkMode } from './link-mode.js'

/** Time in milliseconds after which the other side of a silent or cut connection that one side closed is closed too. */
const silentCloseMs = 5_000

/** One connection through a link: a socket on each side and a relay in each direction. */
export class LinkConnection {
  readonly #client: Socket
  readonly #server: Socket
  readonly #toServer: ByteRelay
  readonly #toClient: ByteRelay
  readonly #onClose: () => void
  #openSockets = 2
  #isSilent = false
  #isCut = false

  /**
   * @param client - socket of the client
   * @param server - socket to the real address
   * @param delayMs - one-way delay in milliseconds
   * @param onClose - called when both sockets are closed
   */
  constructor (client: Socket, server: Socket, delayMs: number, onClose: () => void) {
    this.#client = client
    this.#server = server
    this.#toServer = new ByteRelay(client, server, delayMs)
    this.#toClient = new ByteRelay(server, client, delayMs)
    this.#onClose = onClose
    this.#watch(client, server)
    this.#watch(server, client)
  }

  /**
   * Applies a mode of the link to this connection.
   *
   * @param mode - the new mode
   */
  setMode (mode: LinkMode): void {
    this.#isCut = mode !== 'open'
    this.#toServer.setBlocked(mode === 'cut' || mode === 'cut-to-server')
    this.#toClient.setBlocked(mode === 'cut' || mode === 'cut-to-client')
    if (mode === 'refuse') this.close()
  }

  /** Discards all bytes from now on; the sockets stay open. */
  setSilent (): void {
    this.#isSilent = true
    this.#toServer.setSilent()
    this.#toClient.setSilent()
  }

  /** Resets both sockets. */
  close (): void {
    this.#toServer.close()
    this.#toClient.close()
    this.#client.resetAndDestroy()
    this.#server.resetAndDestroy()
  }

  #watch (socket: Socket, other: Socket): void {
    // The close event that follows an error says that there was one.
    socket.on('error', () => {})
    socket.on('close', hadError => {
      this.#openSockets--
      if (this.#openSockets === 0) this.#onClose()
      this.#closeOther(other, hadError)
    })
  }

  #closeOther (other: Socket, hadError: boolean): void {
    // A reset must not pass through a cut or a silent connection either.
    if (this.#isSilent || (hadError && this.#isCut)) setTimeout(() => { other.destroy() }, silentCloseMs).unref()
    else if (hadError && !other.destroyed) other.resetAndDestroy()
  }
}
