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

/** How long an exchange waits for the parts of its course. Times in milliseconds, counted from its start. */
export interface ExchangeTimeouts {
  /** Time after which the request is no longer written. */
  readonly sendMs: number
  /** Time after which the result is no longer waited for. */
  readonly replyMs: number
  /** Time after that for which a late reply is still received; 0 to close the connection at once. */
  readonly lateReplyMs: number
}

/** A request in progress. */
export interface Exchange {
  readonly result: Promise<ExchangeResult>
  /** Ends the exchange at once and closes its connection; does nothing after its end. */
  readonly abort: (message: string) => void
}

/** A request in progress on one connection. */
export interface ConnectionExchange extends Exchange {
  /**
   * Resolves when the connection carries no exchange any more: at once after the result, unless a late reply is waited for; with
   * that reply if it came.
   */
  readonly ended: Promise<Extract<ExchangeResult, { kind: 'replied' }> | undefined>
  /** Whether the result has timed out and a late reply is waited for. */
  readonly awaitsLateReply: () => boolean
}

/** Size limit of a reply body in bytes, unless the caller sets a lower one. */
export const defaultMaxReplyBytes = 64 * 1024 * 1024

/**
 * Sends one request over a connection that has no other request in progress.
 *
 * @param client - the connection; it is destroyed when the exchange times out or is aborted
 * @param request - the request to send
 * @param maxReplyBytes - size in bytes beyond which a reply body is not read and counts as lost
 * @returns the exchange; its result never rejects
 */
export function startExchange (client: Client, request: HttpRequest, timeouts: ExchangeTimeouts, maxReplyBytes = defaultMaxReplyBytes): ConnectionExchange {
  const handler = new ExchangeHandler(client, timeouts, maxReplyBytes)
  try {
    const headers = request.body === undefined ? { ...request.headers } : { 'content-type': 'application/json', ...request.headers }
    client.dispatch({ method: request.method, path: request.path, headers, body: request.body ?? null, idempotent: false }, handler)
  } catch (error) {
    handler.abort(error instanceof Error ? error.message : String(error))
  }
  return { result: handler.result, ended: handler.ended, awaitsLateReply: () => handler.awaitsLateReply, abort: message => { handler.abort(message) } }
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly result: Promise<ExchangeResult>
  readonly ended: ConnectionExchange['ended']
  readonly #client: Client
  readonly #maxReplyBytes: number
  readonly #lateReplyMs: number
  #resolveResult!: (result: ExchangeResult) => void
  #resolveEnded!: (reply: Extract<ExchangeResult, { kind: 'replied' }> | undefined) => void
  #isFinished = false
  /** Ends the wait for a late reply; undefined while there is none. */
  #lateTimer: NodeJS.Timeout | undefined
  /** Set immediately before the request is written; while it is false, no byte has been sent. */
  #isSent = false
  #responseStarted = false
  #status = 0
  #etag: string | undefined
  #chunks: Buffer[] = []
  #receivedBytes = 0
  #sendTimer: NodeJS.Timeout | undefined
  readonly #replyTimer: NodeJS.Timeout

  constructor (client: Client, { sendMs, replyMs, lateReplyMs }: ExchangeTimeouts, maxReplyBytes: number) {
    this.#client = client
    this.#maxReplyBytes = maxReplyBytes
    this.#lateReplyMs = lateReplyMs
    this.result = new Promise(resolve => { this.#resolveResult = resolve })
    this.ended = new Promise(resolve => { this.#resolveEnded = resolve })
    this.#replyTimer = setTimeout(() => { this.#endUnlessReceived('no reply', replyMs) }, replyMs)
    if (sendMs < replyMs) {
      this.#sendTimer = setTimeout(() => { if (!this.#isSent) this.#onTimeout('no connection', sendMs) }, sendMs)
    }
  }

  get awaitsLateReply (): boolean { return this.#lateTimer !== undefined }

  abort (message: string): void {
    // Once ended, the connection may already carry another exchange.
    if (this.#isFinished && !this.awaitsLateReply) return
    this.#fail(message, false)
    this.#end(undefined)
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
    const reply = { kind: 'replied', status: this.#status, text, ...(this.#etag === undefined ? {} : { etag: this.#etag }) } as const
    this.#finish(reply)
    this.#end(reply)
  }

  onResponseError (controller: Dispatcher.DispatchController, error: Error): void {
    this.#fail(error.message, false)
    this.#end(undefined)
  }

  /** Ends the exchange after the event loop has read all sockets: while this process was busy, the reply may have arrived. */
  #endUnlessReceived (missing: string, afterMs: number): void {
    setImmediate(() => { if (!this.#isFinished) this.#onTimeout(missing, afterMs) })
  }

  #onTimeout (missing: string, afterMs: number): void {
    const message = `${missing} within ${Math.round(afterMs)} ms`
    if (this.#isSent && this.#lateReplyMs > 0) this.#lateTimer = setTimeout(() => { this.abort(message) }, this.#lateReplyMs)
    this.#fail(message, this.#isSent && !this.#responseStarted)
    if (this.awaitsLateReply) return
    this.#end(undefined)
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

  #end (reply: Extract<ExchangeResult, { kind: 'replied' }> | undefined): void {
    clearTimeout(this.#lateTimer)
    this.#lateTimer = undefined
    this.#resolveEnded(reply)
  }
}
