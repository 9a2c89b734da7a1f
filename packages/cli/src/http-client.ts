import { Agent } from 'undici'

/** Time limit in milliseconds for opening a connection. */
const connectTimeoutMs = 2_000

/** One HTTP request to a server. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  readonly path: string
  readonly token?: string
  /** JSON text. */
  readonly body?: string
  /** W3C trace context header value. */
  readonly traceparent?: string
  /** Time limit in milliseconds for the whole exchange, including the body of the reply. */
  readonly timeoutMs: number
  /** Aborts the request; the result is then the same as for a lost reply. */
  readonly signal?: AbortSignal
}

/** Result of one HTTP request. */
export type HttpResult =
  | { readonly kind: 'reply', readonly server: string, readonly status: number, readonly body: unknown }
  /** No complete reply arrived; `sent` is false only when the request certainly never left this process. */
  | { readonly kind: 'lost', readonly server: string, readonly sent: boolean, readonly message: string }

/** Error codes which prove that no connection was opened, so that the request was not sent. */
const notSentErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'])

/** HTTP client with persistent connections and a time limit per request. */
export class HttpClient {
  readonly #agent: Agent

  /**
   * @param options - `connections` is the maximum number of open connections to one server
   */
  constructor (options: { readonly connections?: number } = {}) {
    this.#agent = new Agent({
      connect: { timeout: connectTimeoutMs },
      connections: options.connections ?? 128,
      // The time limit of each request covers these two, whose defaults are 5 minutes.
      headersTimeout: 0,
      bodyTimeout: 0
    })
  }

  /**
   * Sends a request. When its time limit is reached the connection is closed, so that an
   * unresponsive connection is never reused.
   *
   * @param server - `IP:PORT`
   * @param request - the request
   * @returns the reply, or the reason why there is none; never rejects
   */
  async send (server: string, request: HttpRequest): Promise<HttpResult> {
    const controller = new AbortController()
    const abort = (): void => { controller.abort() }
    const timer = setTimeout(abort, request.timeoutMs)
    request.signal?.addEventListener('abort', abort, { once: true })
    if (request.signal?.aborted === true) abort()
    try {
      const headers: Record<string, string> = {}
      if (request.token !== undefined) headers.authorization = `Bearer ${request.token}`
      if (request.body !== undefined) headers['content-type'] = 'application/json'
      if (request.traceparent !== undefined) headers.traceparent = request.traceparent
      const reply = await this.#agent.request({
        origin: `http://${server}`,
        path: request.path,
        method: request.method,
        headers,
        body: request.body ?? null,
        signal: controller.signal
      })
      const text = await reply.body.text()
      return { kind: 'reply', server, status: reply.statusCode, body: parseJson(text) }
    } catch (error) {
      if (controller.signal.aborted) {
        const reason = request.signal?.aborted === true ? 'interrupted' : `no reply within ${request.timeoutMs} ms`
        return { kind: 'lost', server, sent: true, message: `${server}: ${reason}` }
      }
      const { code, message } = error as { code?: string, message?: string }
      return { kind: 'lost', server, sent: !notSentErrorCodes.has(code ?? ''), message: `${server}: ${message ?? code ?? String(error)}` }
    } finally {
      clearTimeout(timer)
      request.signal?.removeEventListener('abort', abort)
    }
  }

  /** Closes all connections; requests in progress end as lost. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }
}

/**
 * Parses the body of a reply.
 *
 * @returns the value, or the text itself when it is not JSON
 */
function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
