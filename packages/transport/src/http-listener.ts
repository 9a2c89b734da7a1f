import { createServer, type RequestListener, type Server } from 'node:http'
import { type AddressInfo, type Socket } from 'node:net'
import { createResultError } from '@sesamereel/state'

export interface ListenerLimits {
  /** Maximum number of connections that are open at the same time. */
  readonly maxConnections: number
  /** Time in milliseconds within which the header of a request must arrive. */
  readonly headerTimeoutMs: number
  /** Time in milliseconds within which the header and body of a request must arrive. */
  readonly requestTimeoutMs: number
  /** Maximum size of a request header in bytes. */
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
      // Longer than the idle timeout of the clients' connection pools, so that the client closes first.
      keepAliveTimeout: 10_000,
      connectionsCheckingInterval: Math.min(1_000, limits.headerTimeoutMs),
      noDelay: true
    }, listener)
    this.#server.maxConnections = limits.maxConnections
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => { respondToClientError(error, socket) })
  }

  /**
   * Starts accepting connections.
   *
   * @returns the address as `IP:PORT`; for port 0, with the port that the system assigned
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
   * Stops accepting connections, waits for requests in progress and closes all connections.
   *
   * @param graceMs - time in milliseconds after which connections that are still open are closed by force
   */
  async close (graceMs: number): Promise<void> {
    const closed = new Promise<void>(resolve => { this.#server.close(() => { resolve() }) })
    this.#server.closeIdleConnections()
    const idleTimer = setInterval(() => { this.#server.closeIdleConnections() }, 50)
    const graceTimer = setTimeout(() => { this.#server.closeAllConnections() }, graceMs)
    await closed
    clearInterval(idleTimer)
    clearTimeout(graceTimer)
  }
}

/**
 * Splits `IP:PORT` into the host, without the brackets of an IPv6 address, and the port.
 */
export function splitAddress (address: string): { readonly host: string, readonly port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}

function respondToClientError (error: NodeJS.ErrnoException, socket: Socket): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy()
    return
  }
  const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request'
  const body = JSON.stringify(createResultError('MalformedRequest', `the HTTP request cannot be parsed: ${error.code ?? error.message}`))
  socket.end(`HTTP/1.1 ${status}\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n\r\n${body}`)
}
