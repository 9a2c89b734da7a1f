import { randomBytes } from 'node:crypto'

/** W3C trace context of one job, the parent of all spans of the job. */
export interface TraceContext {
  /** 32 hexadecimal digits, to look the trace up in a collector. */
  readonly traceId: string
  /** Value of the `traceparent` header. */
  readonly traceparent: string
}

/**
 * Creates the trace context of a job, within the trace of a given context when there is one.
 *
 * @param parent - a `traceparent` value, for example from the environment; ignored when malformed
 * @returns the context, marked as sampled
 */
export function createTraceContext (parent?: string): TraceContext {
  const match = /^00-([0-9a-f]{32})-[0-9a-f]{16}-[0-9a-f]{2}$/.exec(parent ?? '')
  const traceId = match?.[1] ?? randomBytes(16).toString('hex')
  return { traceId, traceparent: `00-${traceId}-${randomBytes(8).toString('hex')}-01` }
}
