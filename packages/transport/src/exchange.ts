import { type Client, type Dispatcher } from 'undici'

/** One HTTP request. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
}

/**
 * How an exchange ended. `not-sent` means that no byte of the request was written to a
 * connection; after `lost` the server may have received and handled the request.
 */
export type ExchangeResult =
  | { readonly kind: 'replied', readonly status: number, readonly etag?: string, readonly text: string }
  | { readonly kind: 'not-sent', readonly message: string }
  | { readonly kind: 'lost', readonly message: string, /** Whether the reply timed out before any byte of it was received. */ readonly timedOutWithoutData: boolean }

/** A request in progress. */
export interface Exchange {
  readonly result: Promise<ExchangeResult>
  /** Ends the exchange at once and closes its connection; does nothing after its end. */
  readonly abort: (message: string) => void
}

/** Size limit of a reply body in bytes, unless the caller sets a lower one. */
export const defaultMaxReplyBytes = 64 * 1024 * 1024

/**
 * Sends one request over a connection that has no other request in progress.
 *
 * @param client - the connection; it is destroyed when the exchange times out or is aborted
 * @param request - the request to send
 * @param sendTimeoutMs - time in milliseconds after which the request is no longer written
 * @param replyTimeoutMs - time in milliseconds after which the exchange stops waiting for the reply
 * @param maxReplyBytes - size in bytes beyond which a reply body is not read and counts as lost
 * @returns the exchange; its result never rejects
 */
export function startExchange (client: Client, request: HttpRequest, sendTimeoutMs: number, replyTimeoutMs: number, maxReplyBytes = defaultMaxReplyBytes): Exchange {
  const handler = new ExchangeHandler(client, sendTimeoutMs, replyTimeoutMs, maxReplyBytes)
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
  readonly #maxReplyBytes: number
  #resolveResult!: (result: ExchangeResult) => void
  #isFinished = false
  /** Set immediately before the request is written; while it is false, no byte has been sent. */
  #isSent = false
  #responseStarted = false
  #status = 0
  #etag: string | undefined
  #chunks: Buffer[] = []
  #receivedBytes = 0
  #sendTimer: NodeJS.Timeout | undefined
  readonly #replyTimer: NodeJS.Timeout

  constructor (client: Client, sendTimeoutMs: number, replyTimeoutMs: number, maxReplyBytes: number) {
    this.#client = client
    this.#maxReplyBytes = maxReplyBytes
    this.result = new Promise(resolve => { this.#resolveResult = resolve })
    this.#replyTimer = setTimeout(() => { this.#endUnlessReceived('no reply', replyTimeoutMs) }, replyTimeoutMs)
    if (sendTimeoutMs < replyTimeoutMs) {
      this.#sendTimer = setTimeout(() => { if (!this.#isSent) this.#onTimeout('no connection', sendTimeoutMs) }, sendTimeoutMs)
    }
  }

  abort (message: string): void {
    // Once finished, the connection may already carry another exchange.
    if (this.#isFinished) return
    this.#fail(message, false)
    this.#client.destroy().catch(() => {})
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.#isFinished) {
      controller.abort(new Error('the exchange has ended'))
      return
    }
    this.#isSent = true
    clearTimeout(this.#sendTimer)
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
    this.#responseStarted = true
    this.#status = status
    if (typeof headers['etag'] === 'string') this.#etag = headers['etag']
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#receivedBytes += chunk.length
    if (this.#receivedBytes > this.#maxReplyBytes) {
      this.abort(`the reply is longer than ${this.#maxReplyBytes} bytes`)
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

  /** Ends the exchange after the event loop has read all sockets: while this process was busy, the reply may have arrived. */
  #endUnlessReceived (missing: string, afterMs: number): void {
    setImmediate(() => { if (!this.#isFinished) this.#onTimeout(missing, afterMs) })
  }

  #onTimeout (missing: string, afterMs: number): void {
    this.#fail(`${missing} within ${Math.round(afterMs)} ms`, this.#isSent && !this.#responseStarted)
    this.#client.destroy().catch(() => {})
  }

  #fail (message: string, timedOutWithoutData: boolean): void {
    this.#finish(this.#isSent ? { kind: 'lost', message, timedOutWithoutData } : { kind: 'not-sent', message })
  }

  #finish (result: ExchangeResult): void {
    if (this.#isFinished) return
    this.#isFinished = true
    clearTimeout(this.#replyTimer)
    clearTimeout(this.#sendTimer)
    this.#resolveResult(result)
  }
}
