import { createServer, type RequestListener, type Server } from 'node:http'
import { type AddressInfo, type Socket } from 'node:net'
import { createResultError } from '@sesamereel/state'

export interface ListenerLimits {
  /** Most connections that are accepted at once. */
  readonly maxConnections: number
  /** Time in milliseconds that a request has for its header. */
  readonly headerTimeoutMs: number
  /** Time in milliseconds that a request has for its header and body. */
  readonly requestTimeoutMs: number
  /** Largest header in bytes. */
  readonly maxHeaderBytes: number
}

export const defaultListenerLimits: ListenerLimits = {
  maxConnections: 4_096,
  headerTimeoutMs: 5_000,
  requestTimeoutMs: 30_000,
  maxHeaderBytes: 16 * 1024
}

/** An HTTP server on one address. */
export class HttpListener {
  readonly #server: Server
  readonly #address: string

  constructor (address: string, listener: RequestListener, limits: ListenerLimits = defaultListenerLimits) {
    this.#address = address
    this.#server = createServer({
      headersTimeout: limits.headerTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      maxHeaderSize: limits.maxHeaderBytes,
      // Longer than the idle time of the clients' pools, so that the client closes first.
      keepAliveTimeout: 10_000,
      connectionsCheckingInterval: Math.min(1_000, limits.headerTimeoutMs),
      noDelay: true
    }, listener)
    this.#server.maxConnections = limits.maxConnections
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => { refuseMalformed(error, socket) })
  }

  /**
   * Begins to accept connections.
   *
   * @returns the address as `IP:PORT`, with the port that the system assigned for port 0
   */
  async listen (): Promise<string> {
    const { host, port } = splitAddress(this.#address)
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen({ host, port, backlog: 511 }, () => {
        this.#server.off('error', reject)
        resolve()
      })
    })
    const bound = this.#server.address() as AddressInfo
    return bound.family === 'IPv6' ? `[${bound.address}]:${bound.port}` : `${bound.address}:${bound.port}`
  }

  /**
   * Stops accepting connections, lets requests under way finish and closes all connections.
   *
   * @param graceMs - time in milliseconds after which open connections are cut
   */
  async close (graceMs: number): Promise<void> {
    const closed = new Promise<void>(resolve => { this.#server.close(() => { resolve() }) })
    this.#server.closeIdleConnections()
    const sweep = setInterval(() => { this.#server.closeIdleConnections() }, 50)
    const cut = setTimeout(() => { this.#server.closeAllConnections() }, graceMs)
    await closed
    clearInterval(sweep)
    clearTimeout(cut)
  }
}

/**
 * Splits `IP:PORT`.
 *
 * @returns the host without brackets and the port
 */
export function splitAddress (address: string): { readonly host: string, readonly port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}

function refuseMalformed (error: NodeJS.ErrnoException, socket: Socket): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy()
    return
  }
  const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request'
  const body = JSON.stringify(createResultError('MalformedRequest', `the HTTP request cannot be parsed: ${error.code ?? error.message}`))
  socket.end(`HTTP/1.1 ${status}\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n\r\n${body}`)
}
