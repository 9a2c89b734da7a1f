import { type Attributes } from '@opentelemetry/api'
import { type ReadableSpan, type SpanProcessor } from '@opentelemetry/sdk-trace-base'
import { ConnectionPool } from '@sesamereel/transport'
import { buildExportRequest } from './otlp-format.js'

/** Maximum number of spans that wait for export. Further spans are dropped to bound the memory that tracing uses. */
const maxQueuedSpans = 8_192
const maxBatchSpans = 512
const flushIntervalMs = 1_000
const exportTimeoutMs = 5_000

/** Exports spans in batches over OTLP/HTTP as JSON. A failed batch is not retried; its spans are reported as dropped. */
export class OtlpExporter implements SpanProcessor {
  readonly #pool: ConnectionPool
  readonly #path: string
  readonly #resource: Attributes
  readonly #reportDropped: (count: number) => void
  readonly #timer: NodeJS.Timeout
  #queue: ReadableSpan[] = []
  #ongoingExport: Promise<void> | undefined

  /**
   * @param collector - URL of the collector; the path is `/v1/traces` when the URL has none
   * @param resource - resource attributes that describe the process
   * @param reportDropped - receives the number of spans that were not exported
   */
  constructor (collector: string, resource: Attributes, reportDropped: (count: number) => void) {
    const url = new URL(collector)
    this.#pool = new ConnectionPool({ address: url.host, maxConnections: 1, reservedConnections: 0 })
    this.#path = url.pathname === '/' ? '/v1/traces' : url.pathname
    this.#resource = resource
    this.#reportDropped = reportDropped
    this.#timer = setInterval(() => { this.#flush().catch(() => {}) }, flushIntervalMs)
    this.#timer.unref()
  }

  onStart (): void {}

  onEnd (span: ReadableSpan): void {
    if (this.#queue.length >= maxQueuedSpans) this.#reportDropped(1)
    else this.#queue.push(span)
    if (this.#queue.length >= maxBatchSpans) this.#flush().catch(() => {})
  }

  async forceFlush (): Promise<void> {
    await this.#flush()
  }

  async shutdown (): Promise<void> {
    clearInterval(this.#timer)
    await this.#flush()
    await this.#pool.close()
  }

  async #flush (): Promise<void> {
    this.#ongoingExport ??= this.#exportAll().finally(() => { this.#ongoingExport = undefined })
    await this.#ongoingExport
  }

  async #exportAll (): Promise<void> {
    while (this.#queue.length > 0) {
      const batch = this.#queue.slice(0, maxBatchSpans)
      this.#queue = this.#queue.slice(maxBatchSpans)
      const body = JSON.stringify(buildExportRequest(batch, this.#resource))
      const result = await this.#pool.send({ method: 'POST', path: this.#path, body }, { replyTimeoutMs: exportTimeoutMs }).result
      if (result.kind !== 'replied' || result.status >= 300) this.#reportDropped(batch.length)
    }
  }
}
