import { Client } from 'undici'
import { type ConnectionExchange, type Exchange, type ExchangeResult, type HttpRequest, startExchange } from './exchange.js'

export interface ConnectionPoolOptions {
  /** `IP:PORT` of the server. */
  readonly address: string
  /** Maximum number of connections that are open at the same time. */
  readonly maxConnections: number
  /** Number of connections that only requests with `needsNewConnection` may use. */
  readonly reservedConnections: number
  /** Size in bytes beyond which a reply body is not read and counts as lost; `defaultMaxReplyBytes` when absent. */
  readonly maxReplyBytes?: number
}

export interface SendOptions {
  /** Time in milliseconds after which the request is no longer written; `replyTimeoutMs` when absent. */
  readonly sendTimeoutMs?: number
  /** Time in milliseconds after which the pool stops waiting for the reply. */
  readonly replyTimeoutMs: number
  /**
   * Receives a reply that comes after the timeout, with the time in milliseconds for which it is waited for. The connection is
   * kept meanwhile, unless another request needs it.
   */
  readonly lateReply?: { readonly timeoutMs: number, readonly onReply: (reply: Extract<ExchangeResult, { kind: 'replied' }>) => void }
  /** Whether to open a new connection, because an existing one may be unresponsive. */
  readonly needsNewConnection?: boolean
}

interface QueuedRequest {
  readonly needsNewConnection: boolean
  readonly start: (client: Client) => void
}

/** Time in milliseconds that opening a connection may take; a round trip inside a domain takes less than a millisecond. */
const connectTimeoutMs = 1_000

/**
 * A bounded pool of connections to one server, each with at most one request in progress.
 * A request that times out before any byte of its reply was received closes its connection and all idle
 * ones, since they may be unresponsive for the same reason; the next request opens a new connection.
 */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions
  readonly #idle: Client[] = []
  readonly #busy = new Set<Client>()
  /** Busy connections on which only a late reply is waited for, the oldest first. */
  readonly #late = new Map<Client, ConnectionExchange>()
  readonly #queue: QueuedRequest[] = []
  #isClosed = false

  constructor (options: ConnectionPoolOptions) {
    this.#options = options
  }

  /**
   * Tells whether even a request with `needsNewConnection` would have to wait for a connection.
   *
   * @returns true when all connections have a request in progress
   */
  hasAllConnectionsBusy (): boolean {
    return this.#busy.size >= this.#options.maxConnections
  }

  /**
   * Tells whether no request is in progress or queued.
   *
   * @returns true when the pool can be closed without losing a request
   */
  isIdle (): boolean {
    return this.#busy.size === 0 && this.#queue.length === 0
  }

  /**
   * Counts the connections, both busy and idle.
   */
  countConnections (): number {
    return this.#busy.size + this.#idle.length
  }

  /**
   * Sends a request over an idle connection or a new one, or queues it until a connection is free.
   *
   * @param request - the request to send
   * @param options - timeouts, and whether a new connection is needed
   * @returns the exchange; time in the queue counts towards both timeouts. It ends as `not-sent` if no connection can be
   *   made to the address, for example because its port is out of range
   */
  send (request: HttpRequest, options: SendOptions): Exchange {
    if (this.#isClosed) return endUnsent('the connection pool is closed')
    let client: Client | undefined
    try {
      client = this.#acquire(options.needsNewConnection === true)
    } catch (error) {
      return endUnsent(error instanceof Error ? error.message : String(error))
    }
    if (client !== undefined) return this.#startOn(client, request, options, 0)
    return this.#enqueue(request, options)
  }

  /**
   * Closes all connections. Requests that were already written end as `lost`.
   */
  async close (): Promise<void> {
    this.#isClosed = true
    const clients = [...this.#idle, ...this.#busy]
    this.#idle.length = 0
    await Promise.allSettled(clients.map(async client => { await client.destroy() }))
  }

  #acquire (needsNewConnection: boolean): Client | undefined {
    const limit = needsNewConnection ? this.#options.maxConnections : this.#options.maxConnections - this.#options.reservedConnections
    if (this.#busy.size >= limit && !this.#giveUpLateReply()) return undefined
    if (!needsNewConnection) {
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
      // Exchanges have their own timeouts.
      headersTimeout: 0,
      bodyTimeout: 0
    })
  }

  /** @returns whether there was a connection on which only a late reply was waited for */
  #giveUpLateReply (): boolean {
    const [oldest] = this.#late
    if (oldest === undefined) return false
    const [client, exchange] = oldest
    this.#late.delete(client)
    this.#busy.delete(client)
    exchange.abort('the connection is needed')
    return true
  }

  /** @param waitedMs - time in milliseconds that the request has waited for the connection */
  #startOn (client: Client, request: HttpRequest, { sendTimeoutMs, replyTimeoutMs, lateReply }: SendOptions, waitedMs: number): Exchange {
    this.#busy.add(client)
    const timeouts = { sendMs: Math.max(0, (sendTimeoutMs ?? replyTimeoutMs) - waitedMs), replyMs: Math.max(0, replyTimeoutMs - waitedMs), lateReplyMs: lateReply?.timeoutMs ?? 0 }
    const exchange = startExchange(client, request, timeouts, this.#options.maxReplyBytes)
    const result = exchange.result.then(result => {
      if (result.kind === 'lost' && result.timedOutWithoutData) this.#closeIdle()
      if (!exchange.awaitsLateReply()) {
        this.#release(client, result.kind === 'replied')
        return result
      }
      this.#late.set(client, exchange)
      this.#startQueued()
      exchange.ended.then(reply => {
        if (this.#late.delete(client)) this.#release(client, reply !== undefined)
        if (reply !== undefined) lateReply?.onReply(reply)
      }, () => {})
      return result
    })
    return { result, abort: exchange.abort }
  }

  #release (client: Client, isReusable: boolean): void {
    this.#busy.delete(client)
    if (!isReusable || this.#isClosed) client.destroy().catch(() => {})
    else if (!client.destroyed) this.#idle.push(client)
    this.#startQueued()
  }

  /** Starts queued requests while there are connections for them. */
  #startQueued (): void {
    while (this.#queue.length > 0) {
      const next = this.#isClosed ? undefined : this.#acquire(this.#queue[0]!.needsNewConnection)
      if (next === undefined) break
      this.#queue.shift()!.start(next)
    }
  }

  /** Closes the idle connections after a request without a reply, as they may be unresponsive as well. */
  #closeIdle (): void {
    for (const idle of this.#idle.splice(0)) idle.destroy().catch(() => {})
  }

  #enqueue (request: HttpRequest, options: SendOptions): Exchange {
    const queuedAt = performance.now()
    const sendTimeoutMs = options.sendTimeoutMs ?? options.replyTimeoutMs
    let startedExchange: Exchange | undefined
    let abort: (message: string) => void = () => {}
    const result = new Promise<ExchangeResult>(resolve => {
      const queued: QueuedRequest = {
        needsNewConnection: options.needsNewConnection === true,
        start: client => {
          clearTimeout(timer)
          const waitedMs = performance.now() - queuedAt
          startedExchange = this.#startOn(client, request, options, waitedMs)
          startedExchange.result.then(resolve, () => {})
        }
      }
      const removeFromQueue = (message: string): void => {
        const index = this.#queue.indexOf(queued)
        if (index >= 0) this.#queue.splice(index, 1)
        resolve({ kind: 'not-sent', message })
      }
      const timer = setTimeout(() => { removeFromQueue(`no free connection within ${Math.round(sendTimeoutMs)} ms`) }, sendTimeoutMs)
      abort = message => {
        clearTimeout(timer)
        if (startedExchange === undefined) removeFromQueue(message)
        else startedExchange.abort(message)
      }
      // Requests for a new connection resolve attempts and may use the reserved connections, so they go first.
      if (queued.needsNewConnection) this.#queue.unshift(queued)
      else this.#queue.push(queued)
    })
    return { result, abort: message => { abort(message) } }
  }
}

/** @returns an exchange that has ended before any byte was written */
function endUnsent (message: string): Exchange {
  return { result: Promise.resolve({ kind: 'not-sent', message }), abort: () => {} }
}
