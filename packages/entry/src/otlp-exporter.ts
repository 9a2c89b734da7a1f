import { type Attributes } from '@opentelemetry/api'
import { type ReadableSpan, type SpanProcessor } from '@opentelemetry/sdk-trace-base'
import { ConnectionPool } from '@sesamereel/transport'
import { buildExportRequest } from './otlp-format.js'

/** Spans that wait for their export; more are dropped, since tracing must not use up the memory. */
const maxWaiting = 8_192
const batchSize = 512
const intervalMs = 1_000
const exportDeadlineMs = 5_000

/** Exports spans in batches by OTLP/HTTP in JSON. A failed batch is dropped and counted. */
export class OtlpExporter implements SpanProcessor {
  readonly #pool: ConnectionPool
  readonly #path: string
  readonly #resource: Attributes
  readonly #reportDropped: (count: number) => void
  readonly #timer: NodeJS.Timeout
  #waiting: ReadableSpan[] = []
  #exporting: Promise<void> | undefined

  /**
   * @param collector - address of the collector; the path is `/v1/traces` when it has none
   * @param resource - attributes of the process
   * @param reportDropped - receives the number of spans that were not exported
   */
  constructor (collector: string, resource: Attributes, reportDropped: (count: number) => void) {
    const url = new URL(collector)
    this.#pool = new ConnectionPool({ address: url.host, maxConnections: 1, reservedConnections: 0 })
    this.#path = url.pathname === '/' ? '/v1/traces' : url.pathname
    this.#resource = resource
    this.#reportDropped = reportDropped
    this.#timer = setInterval(() => { this.#flush().catch(() => {}) }, intervalMs)
    this.#timer.unref()
  }

  onStart (): void {}

  onEnd (span: ReadableSpan): void {
    if (this.#waiting.length >= maxWaiting) this.#reportDropped(1)
    else this.#waiting.push(span)
    if (this.#waiting.length >= batchSize) this.#flush().catch(() => {})
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
    this.#exporting ??= this.#exportAll().finally(() => { this.#exporting = undefined })
    await this.#exporting
  }

  async #exportAll (): Promise<void> {
    while (this.#waiting.length > 0) {
      const batch = this.#waiting.slice(0, batchSize)
      this.#waiting = this.#waiting.slice(batchSize)
      const body = JSON.stringify(buildExportRequest(batch, this.#resource))
      const result = await this.#pool.send({ method: 'POST', path: this.#path, body }, { replyTimeoutMs: exportDeadlineMs }).result
      if (result.kind !== 'replied' || result.status >= 300) this.#reportDropped(batch.length)
    }
  }
}
