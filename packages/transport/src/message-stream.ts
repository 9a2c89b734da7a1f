import { connect, createServer, isIP, type Server, type Socket } from 'node:net'
import { Packr, Unpackr } from 'msgpackr'
import { splitAddress } from './http-listener.js'

/** Maximum number of bytes queued for a slow reader before its connection is closed. */
const maxQueuedBytes = 4 * 1024 * 1024

/** Maximum size in bytes of one message; the decoder holds an incomplete message in memory. */
const maxMessageBytes = 16 * 1024 * 1024

/** Handles the events of a message stream. */
export interface MessageStreamHandler {
  readonly onMessage: (message: unknown) => void
  /** Called once when the stream closes, also when it is closed by `close`. */
  readonly onClose: (reason: string) => void
}

/** Highest TCP port. */
const maxPort = 65_535

const packr = new Packr({ useRecords: false })
const unpackr = new Unpackr({ useRecords: false })

/** The message that was encoded last; a message to many peers is sent to one after the other. */
let lastEncoded: { readonly message: unknown, readonly bytes: Buffer } | undefined

/** Error with which the decoder reports that the last value continues in later bytes. */
interface IncompleteError extends Error {
  readonly incomplete: true
  /** Values before the incomplete one. */
  readonly values?: readonly unknown[]
  /** Start of the incomplete value. */
  readonly lastPosition: number
}

/** A two-way stream of MessagePack messages over one TCP connection. */
export class MessageStream {
  readonly #socket: Socket
  readonly #handler: MessageStreamHandler
  /** Encoded messages that are written together at the end of the current task. */
  #unwritten: Buffer[] = []
  /** Received start of a message that is not complete yet. */
  #incomplete: Buffer | undefined
  #isClosed = false

  constructor (socket: Socket, handler: MessageStreamHandler) {
    this.#socket = socket
    this.#handler = handler
    socket.setNoDelay(true)
    socket.on('data', (chunk: Buffer) => { this.#receive(chunk) })
    socket.on('error', (error: NodeJS.ErrnoException) => { this.close(error.code ?? error.message) })
    socket.on('close', () => { this.close('closed by the peer') })
  }

  /** Sends a message, which must not be changed afterwards; it is lost if the connection ends before it is written. */
  send (message: unknown): void {
    if (this.#isClosed) return
    let bytes: Buffer
    try {
      bytes = encode(message)
    } catch (error) {
      this.close(`a message cannot be encoded: ${formatError(error)}`)
      return
    }
    if (this.#unwritten.length === 0) queueMicrotask(() => { this.#flush() })
    this.#unwritten.push(bytes)
  }

  /**
   * Closes the connection at once, after messages that were sent before have been passed to the system.
   *
   * @param reason - passed to `onClose` of the handler
   */
  close (reason: string): void {
    if (this.#isClosed) return
    this.#flush()
    this.#isClosed = true
    this.#socket.destroy()
    this.#handler.onClose(reason)
  }

  #flush (): void {
    const unwritten = this.#unwritten
    if (unwritten.length === 0 || this.#isClosed) return
    this.#unwritten = []
    this.#socket.write(unwritten.length === 1 ? unwritten[0]! : Buffer.concat(unwritten))
    if (this.#socket.writableLength > maxQueuedBytes) this.close('the peer reads too slowly and too many bytes are queued for it')
  }

  #receive (chunk: Buffer): void {
    const bytes = this.#incomplete === undefined ? chunk : Buffer.concat([this.#incomplete, chunk])
    for (const message of this.#decode(bytes)) {
      if (this.#isClosed) return
      if (typeof message !== 'object' || message === null) {
        this.close('the peer sent a malformed message: not an object')
        return
      }
      this.#handler.onMessage(message)
    }
  }

  /** Decodes all complete messages and keeps the rest for the next chunk. */
  #decode (bytes: Buffer): readonly unknown[] {
    this.#incomplete = undefined
    try {
      return unpackr.unpackMultiple(bytes) as unknown[] | undefined ?? []
    } catch (error) {
      if (isIncompleteError(error) && bytes.length - error.lastPosition <= maxMessageBytes) {
        this.#incomplete = bytes.subarray(error.lastPosition)
        return error.values ?? []
      }
      this.close(`the peer sent a malformed message: ${formatError(error)}`)
      return []
    }
  }
}

function encode (message: unknown): Buffer {
  const last = lastEncoded
  if (last !== undefined && last.message === message) return last.bytes
  const bytes = packr.pack(message)
  lastEncoded = { message, bytes }
  return bytes
}

function isIncompleteError (error: unknown): error is IncompleteError {
  return error instanceof Error && (error as Partial<IncompleteError>).incomplete === true
}

function formatError (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}

/**
 * Opens a TCP connection to a stream server.
 *
 * @param address - `IP:PORT` of the server
 * @param timeoutMs - time in milliseconds that opening the connection may take
 * @returns the socket, or on failure an error code such as `ECONNREFUSED`, or `timeout`, or `invalid address`
 */
export async function openSocket (address: string, timeoutMs: number): Promise<Socket | string> {
  const { host, port } = splitAddress(address)
  if (isIP(host) === 0 || !Number.isInteger(port) || port < 1 || port > maxPort) return 'invalid address'
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
