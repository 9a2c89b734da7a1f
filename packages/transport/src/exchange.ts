import { type Client, type Dispatcher } from 'undici'

/** One HTTP request. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
}

/**
 * How an exchange ended. `not-sent` proves that no byte of the request was written to a
 * connection; after `lost` the request may have been received and carried out.
 */
export type ExchangeResult =
  | { readonly kind: 'replied', readonly status: number, readonly etag?: string, readonly text: string }
  | { readonly kind: 'not-sent', readonly message: string }
  | { readonly kind: 'lost', readonly message: string, /** No byte came before the deadline. */ readonly silent: boolean }

/** An exchange that is under way. */
export interface Exchange {
  readonly result: Promise<ExchangeResult>
  /** Ends the exchange now and closes its connection. */
  readonly abort: (message: string) => void
}

/** Largest reply in bytes that is read. */
const maxReplyBytes = 64 * 1024 * 1024

/**
 * Sends one request over a connection that has no other request under way.
 *
 * @param client - the connection; it is destroyed when the exchange misses a deadline
 * @param request - what to send
 * @param sendByMs - time in milliseconds from now after which the request is no longer written
 * @param deadlineMs - time in milliseconds from now after which no reply is awaited
 * @returns the exchange; its result never rejects
 */
export function startExchange (client: Client, request: HttpRequest, sendByMs: number, deadlineMs: number): Exchange {
  const handler = new ExchangeHandler(client, sendByMs, deadlineMs)
  try {
    const headers = request.body === undefined ? { ...request.headers } : { 'content-type': 'application/json', ...request.headers }
    client.dispatch({ method: request.method, path: request.path, headers, body: request.body ?? null, idempotent: false }, handler)
  } catch (error) {
    handler.abort(error instanceof Error ? error.message : String(error))
  }
  return { result: handler.result, abort: message => { handler.abort(message) } }
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly result: Promise<ExchangeResult>
  readonly #client: Client
  #settle!: (result: ExchangeResult) => void
  #settled = false
  /** Set right before the request is written; without it no byte was sent. */
  #sent = false
  #heard = false
  #status = 0
  #etag: string | undefined
  #chunks: Buffer[] = []
  #bytes = 0
  #sendTimer: NodeJS.Timeout | undefined
  readonly #deadlineTimer: NodeJS.Timeout

  constructor (client: Client, sendByMs: number, deadlineMs: number) {
    this.#client = client
    this.result = new Promise(resolve => { this.#settle = resolve })
    this.#deadlineTimer = setTimeout(() => { this.#expire('no reply', deadlineMs) }, deadlineMs)
    if (sendByMs < deadlineMs) {
      this.#sendTimer = setTimeout(() => { if (!this.#sent) this.#expire('no connection', sendByMs) }, sendByMs)
    }
  }

  abort (message: string): void {
    // After the end the connection may already serve another exchange.
    if (this.#settled) return
    this.#fail(message, false)
    this.#client.destroy().catch(() => {})
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.#settled) {
      controller.abort(new Error('the exchange has ended'))
      return
    }
    this.#sent = true
    clearTimeout(this.#sendTimer)
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
    this.#heard = true
    this.#status = status
    if (typeof headers['etag'] === 'string') this.#etag = headers['etag']
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#bytes += chunk.length
    if (this.#bytes > maxReplyBytes) {
      this.abort(`the reply is longer than ${maxReplyBytes} bytes`)
      return
    }
    this.#chunks.push(chunk)
  }

  onResponseEnd (): void {
    const text = this.#chunks.length === 1 ? this.#chunks[0]!.toString('utf8') : Buffer.concat(this.#chunks).toString('utf8')
    this.#finish({ kind: 'replied', status: this.#status, text, ...(this.#etag === undefined ? {} : { etag: this.#etag }) })
  }

  onResponseError (controller: Dispatcher.DispatchController, error: Error): void {
    this.#fail(error.message, false)
  }

  #expire (what: string, afterMs: number): void {
    this.#fail(`${what} within ${Math.round(afterMs)} ms`, this.#sent && !this.#heard)
    this.#client.destroy().catch(() => {})
  }

  #fail (message: string, silent: boolean): void {
    this.#finish(this.#sent ? { kind: 'lost', message, silent } : { kind: 'not-sent', message })
  }

  #finish (result: ExchangeResult): void {
    if (this.#settled) return
    this.#settled = true
    clearTimeout(this.#deadlineTimer)
    clearTimeout(this.#sendTimer)
    this.#settle(result)
  }
}
