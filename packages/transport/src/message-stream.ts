import { connect, createServer, type Server, type Socket } from 'node:net'
import { PackrStream, UnpackrStream } from 'msgpackr'
import { splitAddress } from './http-listener.js'

/** Bytes that may wait for a slow reader before its connection is closed. */
const maxQueuedBytes = 4 * 1024 * 1024

/** Receives what happens on a message stream. */
export interface MessageStreamHandler {
  readonly onMessage: (message: unknown) => void
  /** Called once, also after `close`. */
  readonly onClose: (reason: string) => void
}

/** A two-way stream of MessagePack messages over one TCP connection. */
export class MessageStream {
  readonly #socket: Socket
  readonly #packer = new PackrStream({ useRecords: false })
  readonly #onClose: (reason: string) => void
  #closed = false

  constructor (socket: Socket, handler: MessageStreamHandler) {
    this.#socket = socket
    this.#onClose = handler.onClose
    socket.setNoDelay(true)
    const unpacker = new UnpackrStream({ useRecords: false })
    unpacker.on('data', (message: unknown) => { if (!this.#closed) handler.onMessage(message) })
    unpacker.on('error', (error: Error) => { this.close(`the peer sent a malformed message: ${error.message}`) })
    this.#packer.on('error', (error: Error) => { this.close(`a message cannot be encoded: ${error.message}`) })
    socket.on('error', (error: NodeJS.ErrnoException) => { this.close(error.code ?? error.message) })
    socket.on('close', () => { this.close('closed by the peer') })
    socket.pipe(unpacker)
    this.#packer.pipe(socket)
  }

  /** Sends a message; it is lost when the connection ends first. */
  send (message: unknown): void {
    if (this.#closed) return
    this.#packer.write(message)
    if (this.#socket.writableLength + this.#packer.readableLength > maxQueuedBytes) this.close('the peer does not read')
  }

  /**
   * Closes the connection at once.
   *
   * @param reason - handed to the handler
   */
  close (reason: string): void {
    if (this.#closed) return
    this.#closed = true
    this.#socket.destroy()
    this.#onClose(reason)
  }
}

/**
 * Connects to a stream server.
 *
 * @param address - `IP:PORT`
 * @param timeoutMs - time in milliseconds that the connection may take
 * @returns the socket, or why there is none: an error code such as `ECONNREFUSED`, or `timeout`
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
      socket.on('error', () => { /* The caller was already told of the timeout. */ })
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
   * Begins to accept connections.
   *
   * @returns the port
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
