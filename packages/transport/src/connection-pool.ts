import { Client } from 'undici'
import { type Exchange, type ExchangeResult, type HttpRequest, startExchange } from './exchange.js'

export interface ConnectionPoolOptions {
  /** `IP:PORT` of the server. */
  readonly address: string
  /** Most connections that are open at once. */
  readonly maxConnections: number
  /** Connections that only fresh requests may open. */
  readonly reservedConnections: number
}

export interface SendOptions {
  /** Time in milliseconds from now after which the request is no longer written; the deadline when absent. */
  readonly sendTimeoutMs?: number
  /** Time in milliseconds from now after which no reply is awaited. */
  readonly replyTimeoutMs: number
  /** Whether to open a new connection, because an open one may be unresponsive. */
  readonly needsNewConnection?: boolean
}

interface Waiter {
  readonly fresh: boolean
  readonly start: (client: Client) => void
}

/** A connect that takes longer is given up; a round trip is below a millisecond inside a domain. */
const connectTimeoutMs = 1_000

/**
 * A bounded set of connections to one server, each with at most one request under way.
 * A missed deadline without a byte received closes that connection and all idle ones, since
 * they may have become unresponsive by the same cause; the next request opens a new one.
 */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions
  readonly #idle: Client[] = []
  readonly #busy = new Set<Client>()
  readonly #waiters: Waiter[] = []
  #closed = false

  constructor (options: ConnectionPoolOptions) {
    this.#options = options
  }

  /**
   * Tells whether a fresh request would have to wait for a connection.
   *
   * @returns true when all connections have a request under way
   */
  hasAllConnectionsBusy (): boolean {
    return this.#busy.size >= this.#options.maxConnections
  }

  /**
   * Tells whether no request is under way or waiting.
   *
   * @returns true when closing loses nothing
   */
  isIdle (): boolean {
    return this.#busy.size === 0 && this.#waiters.length === 0
  }

  /**
   * Counts the connections.
   *
   * @returns the number of connections that are open or kept for reuse
   */
  countConnections (): number {
    return this.#busy.size + this.#idle.length
  }

  /**
   * Sends a request, over an idle connection if there is one.
   *
   * @param request - what to send
   * @param options - deadlines
   * @returns the exchange; waiting for a connection counts against both deadlines
   */
  send (request: HttpRequest, options: SendOptions): Exchange {
    const client = this.#closed ? undefined : this.#take(options.needsNewConnection === true)
    if (client !== undefined) return this.#start(client, request, options.sendTimeoutMs ?? options.replyTimeoutMs, options.replyTimeoutMs)
    if (this.#closed) return { result: Promise.resolve({ kind: 'not-sent', message: 'the pool is closed' }), abort: () => {} }
    return this.#enqueue(request, options)
  }

  /**
   * Closes all connections; requests under way end as lost.
   */
  async close (): Promise<void> {
    this.#closed = true
    const clients = [...this.#idle, ...this.#busy]
    this.#idle.length = 0
    await Promise.allSettled(clients.map(async client => { await client.destroy() }))
  }

  #take (fresh: boolean): Client | undefined {
    const limit = fresh ? this.#options.maxConnections : this.#options.maxConnections - this.#options.reservedConnections
    if (this.#busy.size >= limit) return undefined
    if (!fresh) {
      while (this.#idle.length > 0) {
        const client = this.#idle.pop()!
        if (!client.destroyed && !client.closed) return client
      }
    } else if (this.countConnections() >= this.#options.maxConnections) {
      this.#idle.shift()?.destroy().catch(() => {})
    }
    return new Client(`http://${this.#options.address}`, {
      pipelining: 1,
      connectTimeout: connectTimeoutMs,
      // Exchanges have their own deadlines.
      headersTimeout: 0,
      bodyTimeout: 0
    })
  }

  #start (client: Client, request: HttpRequest, sendByMs: number, deadlineMs: number): Exchange {
    this.#busy.add(client)
    const exchange = startExchange(client, request, sendByMs, deadlineMs)
    const result = exchange.result.then(result => {
      this.#release(client, result)
      return result
    })
    return { result, abort: exchange.abort }
  }

  #release (client: Client, result: ExchangeResult): void {
    this.#busy.delete(client)
    if (result.kind !== 'replied' || this.#closed) client.destroy().catch(() => {})
    else if (!client.destroyed) this.#idle.push(client)
    if (result.kind === 'lost' && result.silent) {
      for (const idle of this.#idle.splice(0)) idle.destroy().catch(() => {})
    }
    while (this.#waiters.length > 0) {
      const next = this.#closed ? undefined : this.#take(this.#waiters[0]!.fresh)
      if (next === undefined) break
      this.#waiters.shift()!.start(next)
    }
  }

  #enqueue (request: HttpRequest, options: SendOptions): Exchange {
    const since = performance.now()
    const sendByMs = options.sendTimeoutMs ?? options.replyTimeoutMs
    let inner: Exchange | undefined
    let abort: (message: string) => void = () => {}
    const result = new Promise<ExchangeResult>(resolve => {
      const waiter: Waiter = {
        fresh: options.needsNewConnection === true,
        start: client => {
          clearTimeout(timer)
          const waited = performance.now() - since
          inner = this.#start(client, request, Math.max(0, sendByMs - waited), Math.max(0, options.replyTimeoutMs - waited))
          inner.result.then(resolve, () => {})
        }
      }
      const leave = (message: string): void => {
        const index = this.#waiters.indexOf(waiter)
        if (index >= 0) this.#waiters.splice(index, 1)
        resolve({ kind: 'not-sent', message })
      }
      const timer = setTimeout(() => { leave(`no free connection within ${Math.round(sendByMs)} ms`) }, sendByMs)
      abort = message => {
        clearTimeout(timer)
        if (inner === undefined) leave(message)
        else inner.abort(message)
      }
      // Fresh requests resolve attempts and may use the reserve, so they go first.
      if (waiter.fresh) this.#waiters.unshift(waiter)
      else this.#waiters.push(waiter)
    })
    return { result, abort: message => { abort(message) } }
  }
}
