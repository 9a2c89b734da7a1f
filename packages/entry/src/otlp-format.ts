import { type Attributes, type HrTime, SpanKind } from '@opentelemetry/api'
import { type ReadableSpan } from '@opentelemetry/sdk-trace-base'

/** Span in the JSON encoding of OTLP. */
export interface OtlpSpan {
  readonly traceId: string
  readonly spanId: string
  readonly parentSpanId?: string
  readonly name: string
  readonly kind: number
  readonly startTimeUnixNano: string
  readonly endTimeUnixNano: string
  readonly attributes: ReadonlyArray<{ readonly key: string, readonly value: object }>
  readonly status: { readonly code: number, readonly message?: string }
}

/**
 * Converts a span to the JSON encoding of OTLP (opentelemetry-proto, trace/v1).
 *
 * @returns the span; times are decimal strings in nanoseconds since the Unix epoch
 */
export function convertSpan (span: ReadableSpan): OtlpSpan {
  const { traceId, spanId } = span.spanContext()
  return {
    traceId,
    spanId,
    ...(span.parentSpanContext === undefined ? {} : { parentSpanId: span.parentSpanContext.spanId }),
    name: span.name,
    // Span kinds start at 1 in OTLP, but at 0 in the OpenTelemetry API.
    kind: (span.kind ?? SpanKind.INTERNAL) + 1,
    startTimeUnixNano: formatTime(span.startTime),
    endTimeUnixNano: formatTime(span.endTime),
    attributes: convertAttributes(span.attributes),
    status: { code: span.status.code, ...(span.status.message === undefined ? {} : { message: span.status.message }) }
  }
}

/**
 * Builds the body of an export request.
 *
 * @param spans - finished spans
 * @param resource - resource attributes that describe the process
 * @returns the body of `POST /v1/traces`
 */
export function buildExportRequest (spans: readonly ReadableSpan[], resource: Attributes): object {
  return {
    resourceSpans: [{
      resource: { attributes: convertAttributes(resource) },
      scopeSpans: [{ scope: { name: 'sesamereel' }, spans: spans.map(convertSpan) }]
    }]
  }
}

function convertAttributes (attributes: Attributes): Array<{ key: string, value: object }> {
  return Object.entries(attributes).map(([key, value]) => {
    if (typeof value === 'number') return { key, value: Number.isInteger(value) ? { intValue: String(value) } : { doubleValue: value } }
    if (typeof value === 'boolean') return { key, value: { boolValue: value } }
    return { key, value: { stringValue: String(value) } }
  })
}

function formatTime ([seconds, nanoseconds]: HrTime): string {
  return String(BigInt(seconds) * 1_000_000_000n + BigInt(nanoseconds))
}
