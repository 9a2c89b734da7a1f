import { type ReadableSpan, type SpanProcessor } from '@opentelemetry/sdk-trace-base'

/** Maximum number of spans in memory; the oldest are dropped first. */
const maxSpans = 20_000

/** Keeps the latest finished spans in memory, so that traces can be read without a collector. */
export class TraceStore implements SpanProcessor {
  readonly #ringBuffer: Array<ReadableSpan | undefined> = []
  readonly #spansByTrace = new Map<string, ReadableSpan[]>()
  #nextIndex = 0

  onStart (): void {}

  onEnd (span: ReadableSpan): void {
    const dropped = this.#ringBuffer[this.#nextIndex]
    if (dropped !== undefined) this.#removeFromTrace(dropped)
    this.#ringBuffer[this.#nextIndex] = span
    this.#nextIndex = (this.#nextIndex + 1) % maxSpans
    const traceId = span.spanContext().traceId
    const spans = this.#spansByTrace.get(traceId)
    if (spans === undefined) this.#spansByTrace.set(traceId, [span])
    else spans.push(span)
  }

  /**
   * Finds the spans of a trace.
   *
   * @param traceId - 32 hexadecimal digits
   * @returns finished spans in the order in which they ended; empty for an unknown trace
   */
  findTrace (traceId: string): readonly ReadableSpan[] {
    return this.#spansByTrace.get(traceId) ?? []
  }

  async forceFlush (): Promise<void> {}

  async shutdown (): Promise<void> {}

  /** Removes the oldest span from its trace. It is the first in the list, since it is the oldest of all spans. */
  #removeFromTrace (span: ReadableSpan): void {
    const traceId = span.spanContext().traceId
    const spans = this.#spansByTrace.get(traceId)
    spans?.shift()
    if (spans?.length === 0) this.#spansByTrace.delete(traceId)
  }
}
