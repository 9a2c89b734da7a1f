import { type CallRecord } from './history-records.js'

/** Body of a reply to a caller or operator. The fields are unchecked because the reply may be wrong. */
export interface ReplyBody {
  readonly state?: unknown
  readonly key?: unknown
  readonly results?: unknown
  readonly failure?: unknown
  readonly notRun?: unknown
  readonly name?: unknown
  /** Newest configuration version that the instance can read. */
  readonly version?: unknown
  /** Configuration version that the instance applies. */
  readonly inForce?: unknown
  readonly plans?: unknown
  readonly limits?: unknown
}

/**
 * Reads the body of the reply to a call; for an error reply, its `error` object if it has one.
 *
 * @returns the body, or undefined when no JSON object was received
 */
export function readReplyBody (call: CallRecord): ReplyBody | undefined {
  if (call.reply.kind !== 'answered' || typeof call.reply.body !== 'object' || call.reply.body === null) return undefined
  const body = call.reply.body as ReplyBody & { readonly error?: ReplyBody }
  return body.error ?? body
}

/**
 * Tells whether a call was answered with status 200.
 */
export function isSuccessful ({ reply }: CallRecord): boolean {
  return reply.kind === 'answered' && reply.status === 200
}
