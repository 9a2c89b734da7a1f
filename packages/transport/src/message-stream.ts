import { connect, createServer, type Server, type Socket } from 'node:net'
import { PackrStream, UnpackrStream } from 'msgpackr'
import { splitAddress } from './http-listener.js'

/** Maximum number of bytes queued for a slow reader before its connection is closed. */
const maxQueuedBytes = 4 * 1024 * 1024

/** Handles the events of a message stream. */
export interface MessageStreamHandler {
  readonly onMessage: (message: unknown) => void
  /** Called once when the stream closes, also when it is closed by `close`. */
  readonly onClose: (reason: string) => void
}

/** A two-way stream of MessagePack messages over one TCP connection. */
export class MessageStream {
  readonly #socket: Socket
  readonly #packer = new PackrStream({ useRecords: false })
  readonly #onClose: (reason: string) => void
  #isClosed = false

  constructor (socket: Socket, handler: MessageStreamHandler) {
    this.#socket = socket
    this.#onClose = handler.onClose
    socket.setNoDelay(true)
    const unpacker = new UnpackrStream({ useRecords: false })
    unpacker.on('data', (message: unknown) => { if (!this.#isClosed) handler.onMessage(message) })
    unpacker.on('error', (error: Error) => { this.close(`the peer sent a malformed message: ${error.message}`) })
    this.#packer.on('error', (error: Error) => { this.close(`a message cannot be encoded: ${error.message}`) })
    socket.on('error', (error: NodeJS.ErrnoException) => { this.close(error.code ?? error.message) })
    socket.on('close', () => { this.close('closed by the peer') })
    socket.pipe(unpacker)
    this.#packer.pipe(socket)
  }

  /** Sends a message; it is lost if the connection ends before the message is written. */
  send (message: unknown): void {
    if (this.#isClosed) return
    this.#packer.write(message)
    if (this.#socket.writableLength + this.#packer.readableLength > maxQueuedBytes) this.close('the peer reads too slowly and too many bytes are queued for it')
  }

  /**
   * Closes the connection at once.
   *
   * @param reason - passed to `onClose` of the handler
   */
  close (reason: string): void {
    if (this.#isClosed) return
    this.#isClosed = true
    this.#socket.destroy()
    this.#onClose(reason)
  }
}

/**
 * Opens a TCP connection to a stream server.
 *
 * @param address - `IP:PORT` of the server
 * @param timeoutMs - time in milliseconds that opening the connection may take
 * @returns the socket, or on failure an error code such as `ECONNREFUSED`, or `timeout`
 */
export async function openSocket (address: string, timeoutMs: number): Promise<Socket | string> {
  const { host, port } = splitAddress(address)
  return await new Promise(resolve => {
    const socket = connect({ host, port })
    const onError = (error: NodeJS.ErrnoException): void => {
      clearTimeout(timer)
      resolve(error.code ?? error.message)
    }
    const timer = setTimeout(() => {
      socket.off('error', onError)
      socket.on('error', () => { /* The timeout has already been reported to the caller. */ })
      socket.destroy()
      resolve('timeout')
    }, timeoutMs)
    socket.once('error', onError)
    socket.once('connect', () => {
      clearTimeout(timer)
      socket.off('error', onError)
      resolve(socket)
    })
  })
}

/** Accepts message streams on one address. */
export class StreamListener {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  readonly #address: string

  constructor (address: string, onConnection: (socket: Socket) => void) {
    this.#address = address
    this.#server = createServer({ noDelay: true }, socket => {
      this.#sockets.add(socket)
      socket.once('close', () => { this.#sockets.delete(socket) })
      onConnection(socket)
    })
  }

  /**
   * Starts accepting connections.
   *
   * @returns the port that the server listens on
   */
  async listen (): Promise<number> {
    const { host, port } = splitAddress(this.#address)
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen({ host, port, backlog: 511 }, () => {
        this.#server.off('error', reject)
        resolve()
      })
    })
    const bound = this.#server.address()
    return typeof bound === 'object' && bound !== null ? bound.port : port
  }

  /** Closes the server and all its connections. */
  close (): void {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }
}
