import { createServer, type RequestListener, type Server } from 'node:http'
import { type AddressInfo, type Socket } from 'node:net'
import { createResultError } from '@sesamereel/state'
import { type ClientLimit, type ListenerName } from './client-budget.js'
import { type ClientGuard } from './client-guard.js'

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

/** Limits that a request exceeded, by the error code of the parser. */
const exceededLimits: Readonly<Record<string, ClientLimit>> = { HPE_HEADER_OVERFLOW: 'header-size', ERR_HTTP_REQUEST_TIMEOUT: 'timeout' }

/** Limits that the operator's configuration can change while the listener runs. */
export interface ConfiguredLimits {
  readonly headerTimeoutMs: number
  /** Time in milliseconds after which a connection without a request is closed. */
  readonly idleTimeoutMs: number
  readonly maxHeaderBytes: number
}

/** The share of a listener in the budget of its process. */
export interface ListenerBudget {
  readonly guard: ClientGuard
  readonly name: ListenerName
}

/** An HTTP server on one address. */
export class HttpListener {
  readonly #server: Server
  readonly #address: string
  readonly #guard: ClientGuard | undefined

  /**
   * @param address - `IP:PORT` to listen on
   * @param budget - the process's budget, which then bounds the connections instead of `limits.maxConnections`
   */
  constructor (address: string, listener: RequestListener, limits: ListenerLimits = defaultListenerLimits, budget?: ListenerBudget) {
    this.#address = address
    this.#guard = budget?.guard
    this.#server = createServer({
      headersTimeout: limits.headerTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      maxHeaderSize: limits.maxHeaderBytes,
      // Longer than the idle timeout of the clients' connection pools, so that the client closes first.
      keepAliveTimeout: 10_000,
      connectionsCheckingInterval: Math.min(1_000, limits.headerTimeoutMs),
      noDelay: true
    }, budget === undefined ? listener : (request, response) => { if (budget.guard.beginRequest(request, response)) listener(request, response) })
    if (budget === undefined) this.#server.maxConnections = limits.maxConnections
    else this.#server.on('connection', (socket: Socket) => { budget.guard.addConnection(socket, budget.name) })
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => { this.#onClientError(error, socket) })
  }

  /** Applies limits to new connections and to the next requests of open ones. */
  applyLimits (limits: ConfiguredLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMs
    this.#server.keepAliveTimeout = limits.idleTimeoutMs
    // The parser reads this member for each new connection; it is not part of the published types.
    Object.assign(this.#server, { maxHeaderSize: limits.maxHeaderBytes })
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

  #onClientError (error: NodeJS.ErrnoException, socket: Socket): void {
    // The parser's time-out for headers also ends connections that have sent nothing; these are idle, and the guard's sweep closes them.
    if (this.#guard !== undefined && error.code === 'ERR_HTTP_REQUEST_TIMEOUT' && socket.bytesRead === 0) return
    this.#guard?.markFailed(socket, exceededLimits[error.code ?? ''])
    respondToClientError(error, socket)
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
