import { Agent } from 'undici'

/** Time in milliseconds within which a connection must be open. */
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
  /** Time in milliseconds within which the whole reply must be there. */
  readonly timeoutMs: number
  /** Ends the request early; its outcome is then the same as that of a lost reply. */
  readonly signal?: AbortSignal
}

/** What became of one HTTP request. */
export type HttpResult =
  | { readonly kind: 'reply', readonly server: string, readonly status: number, readonly body: unknown }
  /** No whole reply; `sent` is false only when the request certainly never left this process. */
  | { readonly kind: 'lost', readonly server: string, readonly sent: boolean, readonly message: string }

const notSentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'])

/** Sends requests over kept connections, each with its own deadline. */
export class HttpClient {
  readonly #agent: Agent

  /**
   * @param options - `connections` is the largest number of open connections to one server
   */
  constructor (options: { readonly connections?: number } = {}) {
    this.#agent = new Agent({
      connect: { timeout: connectTimeoutMs },
      connections: options.connections ?? 128,
      // The deadline of each request covers these two, which otherwise are 5 minutes.
      headersTimeout: 0,
      bodyTimeout: 0
    })
  }

  /**
   * Sends a request. At the deadline the connection is closed, so that an unresponsive
   * connection is never used again.
   *
   * @param server - `IP:PORT`
   * @param request - what to send
   * @returns the reply, or how it was lost; never rejects
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
      return { kind: 'lost', server, sent: !notSentCodes.has(code ?? ''), message: `${server}: ${message ?? code ?? String(error)}` }
    } finally {
      clearTimeout(timer)
      request.signal?.removeEventListener('abort', abort)
    }
  }

  /** Closes all connections; requests that are still open are lost. */
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
