import { type Attributes, context, type Span, SpanKind, SpanStatusCode, trace, TraceFlags, type Tracer } from '@opentelemetry/api'
import { BasicTracerProvider, ParentBasedSampler, type SpanProcessor, TraceIdRatioBasedSampler } from '@opentelemetry/sdk-trace-base'
import { convertSpan, type OtlpSpan } from './otlp-format.js'
import { type TraceStore } from './trace-store.js'

/** Fraction of the requests without a trace context that are sampled. It is low because a span costs about as much as a message. */
const rootSampleRatio = 0.01

export type SpanRole = 'server' | 'client'

/** Span that has been started and not yet ended. */
export interface ActiveSpan {
  /** Whether the span is sampled and so recorded. An unsampled span costs almost nothing. */
  readonly isRecorded: boolean
  /** Trace context for the next hop. */
  readonly traceparent: string
  /**
   * Ends the span.
   *
   * @param failure - why the work failed; absent when it succeeded
   */
  readonly end: (failure?: string, attributes?: Attributes) => void
}

/** Creates spans from W3C trace contexts. */
export class Tracing {
  readonly #provider: BasicTracerProvider
  readonly #tracer: Tracer
  readonly #store: TraceStore

  constructor (store: TraceStore, processors: readonly SpanProcessor[]) {
    this.#store = store
    this.#provider = new BasicTracerProvider({
      sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(rootSampleRatio) }),
      spanProcessors: [store, ...processors]
    })
    this.#tracer = this.#provider.getTracer('sesamereel')
  }

  /**
   * Starts a span.
   *
   * @param name - name of the operation
   * @param role - whether the span covers the server or the client side of a request
   * @param traceparent - W3C trace context of the parent; a new trace is started when absent
   * @returns the started span
   */
  startSpan (name: string, role: SpanRole, traceparent: string | undefined, attributes: Attributes = {}): ActiveSpan {
    const parent = traceparent === undefined ? context.active() : convertParent(traceparent)
    const span = this.#tracer.startSpan(name, { kind: role === 'server' ? SpanKind.SERVER : SpanKind.CLIENT, attributes }, parent)
    return { isRecorded: span.isRecording(), traceparent: formatTraceparent(span), end: (failure, endAttributes) => { endSpan(span, failure, endAttributes) } }
  }

  /**
   * Finds the finished spans of a trace on this instance.
   *
   * @returns spans in the JSON encoding of OTLP
   */
  findTrace (traceId: string): readonly OtlpSpan[] {
    return this.#store.findTrace(traceId).map(convertSpan)
  }

  async stop (): Promise<void> {
    await this.#provider.shutdown()
  }
}

function convertParent (traceparent: string): ReturnType<typeof context.active> {
  const [, traceId, spanId, flags] = traceparent.split('-')
  return trace.setSpanContext(context.active(), { traceId: traceId!, spanId: spanId!, traceFlags: Number.parseInt(flags!, 16) & TraceFlags.SAMPLED, isRemote: true })
}

function formatTraceparent (span: Span): string {
  const { traceId, spanId, traceFlags } = span.spanContext()
  return `00-${traceId}-${spanId}-${traceFlags.toString(16).padStart(2, '0')}`
}

function endSpan (span: Span, failure: string | undefined, attributes: Attributes | undefined): void {
  if (attributes !== undefined) span.setAttributes(attributes)
  if (failure !== undefined) span.setStatus({ code: SpanStatusCode.ERROR, message: failure })
  span.end()
}
