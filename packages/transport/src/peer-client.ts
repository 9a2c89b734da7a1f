import { createTRPCClient, httpLink, TRPCClientError } from '@trpc/client'
import { type PeerRouter } from '@sesamereel/protocol'
import { ConnectionPool } from './connection-pool.js'
import { type ExchangeObserver } from './exchange-observer.js'
import { type ExchangeResult, type HttpRequest } from './exchange.js'

/** Maximum number of connections from this instance to one peer; each submission that waits for an answer occupies one. */
const maxConnectionsPerPeer = 256

/** Result of a peer call. `not-sent` means that the peer received nothing; after `unknown` it may have handled the call. */
export type PeerResult<T> =
  | { readonly kind: 'replied', readonly value: T }
  | { readonly kind: 'not-sent', readonly message: string }
  | { readonly kind: 'unknown', readonly message: string }

export type PeerApi = ReturnType<typeof createTRPCClient<PeerRouter>>

/** Reports a failed exchange to the tRPC client. */
class ExchangeError extends Error {
  readonly sent: boolean

  constructor (message: string, sent: boolean) {
    super(message)
    this.sent = sent
  }
}

/** tRPC client of one peer. */
export class PeerClient {
  readonly #pool: ConnectionPool
  readonly #address: string
  readonly #token: string
  readonly #observer: ExchangeObserver

  constructor (address: string, token: string, observer: ExchangeObserver) {
    this.#pool = new ConnectionPool({ address, maxConnections: maxConnectionsPerPeer, reservedConnections: 8 })
    this.#address = address
    this.#token = token
    this.#observer = observer
  }

  /**
   * Calls one procedure of the peer.
   *
   * @param operation - name of the procedure in the metrics
   * @param replyTimeoutMs - timeout of the reply in milliseconds
   * @param makeCall - makes the call
   * @returns the reply, or whether the peer may have received the call
   */
  async call<T> (operation: string, replyTimeoutMs: number, makeCall: (api: PeerApi) => Promise<T>): Promise<PeerResult<T>> {
    let lastResult: ExchangeResult | undefined
    const api = createTRPCClient<PeerRouter>({
      links: [httpLink({
        url: `http://${this.#address}`,
        headers: { authorization: `Bearer ${this.#token}` },
        fetch: async (url, init) => {
          const request = convertRequest(String(url), init as RequestInitLike)
          const result = await this.#pool.send(request, { replyTimeoutMs }).result
          this.#observer.observeExchange('peer', operation, result.kind)
          lastResult = result
          if (result.kind !== 'replied') throw new ExchangeError(result.message, result.kind === 'lost')
          return { ok: result.status < 400, json: async () => await Promise.resolve(JSON.parse(result.text) as unknown) }
        }
      })]
    })
    try {
      return { kind: 'replied', value: await makeCall(api) }
    } catch (error) {
      const message = error instanceof TRPCClientError || error instanceof Error ? error.message : String(error)
      return lastResult?.kind === 'not-sent' ? { kind: 'not-sent', message } : { kind: 'unknown', message }
    }
  }

  /**
   * Tells whether no call is in progress or queued.
   *
   * @returns true when the client can be closed without losing a call
   */
  isIdle (): boolean {
    return this.#pool.isIdle()
  }

  async close (): Promise<void> {
    await this.#pool.close()
  }
}

interface RequestInitLike {
  readonly method?: string
  readonly body?: unknown
  readonly headers?: unknown
}

function convertRequest (url: string, init: RequestInitLike): HttpRequest {
  const parsed = new URL(url)
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries((init.headers ?? {}) as Record<string, string>)) headers[name.toLowerCase()] = value
  return {
    method: init.method === 'POST' ? 'POST' : 'GET',
    path: parsed.pathname + parsed.search,
    headers,
    ...(typeof init.body === 'string' ? { body: init.body } : {})
  }
}
