import { type ReadableSpan, type SpanProcessor } from '@opentelemetry/sdk-trace-base'

/** Spans that are kept; the oldest are dropped first. */
const maxSpans = 20_000

/** Keeps the latest finished spans in memory, so that one trace can be read without a collector. */
export class TraceStore implements SpanProcessor {
  readonly #spans: Array<ReadableSpan | undefined> = []
  readonly #byTrace = new Map<string, ReadableSpan[]>()
  #next = 0

  onStart (): void {}

  onEnd (span: ReadableSpan): void {
    const dropped = this.#spans[this.#next]
    if (dropped !== undefined) this.#drop(dropped)
    this.#spans[this.#next] = span
    this.#next = (this.#next + 1) % maxSpans
    const traceId = span.spanContext().traceId
    const spans = this.#byTrace.get(traceId)
    if (spans === undefined) this.#byTrace.set(traceId, [span])
    else spans.push(span)
  }

  /**
   * Finds the spans of a trace.
   *
   * @param traceId - 32 hexadecimal digits
   * @returns finished spans, in the order in which they ended
   */
  findTrace (traceId: string): readonly ReadableSpan[] {
    return this.#byTrace.get(traceId) ?? []
  }

  async forceFlush (): Promise<void> {}

  async shutdown (): Promise<void> {}

  /** The oldest span of all is also the oldest of its trace. */
  #drop (span: ReadableSpan): void {
    const traceId = span.spanContext().traceId
    const spans = this.#byTrace.get(traceId)
    spans?.shift()
    if (spans?.length === 0) this.#byTrace.delete(traceId)
  }
}
