import { z } from 'zod'
import { type JobState, type ResultError } from '@sesamereel/state'

const resultErrorSchema = z.object({
  code: z.int(),
  name: z.string(),
  title: z.string(),
  message: z.string(),
  hint: z.string(),
  field: z.string().optional(),
  notRun: z.boolean()
})

const jobStateSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('complete'), key: z.string(), results: z.array(z.unknown()) }),
  z.object({
    state: z.literal('failed'),
    key: z.string(),
    failure: z.object({ code: z.int(), message: z.string(), taskIndex: z.int().optional() })
  }),
  z.object({ state: z.literal('running'), key: z.string(), done: z.int(), total: z.int() })
])

const issuedKeysSchema = z.object({ keys: z.array(z.string()).min(1), expiresInMs: z.number() })

/**
 * Reads a numbered error from the body of a reply.
 *
 * @returns the error, or undefined when the body holds none
 */
export function readResultError (body: unknown): ResultError | undefined {
  // Most replies hold no error, and a failed parse costs more than the rest of the request.
  if (typeof body !== 'object' || body === null || !('code' in body)) return undefined
  const parsed = resultErrorSchema.safeParse(body)
  return parsed.success ? parsed.data as ResultError : undefined
}

/**
 * Reads the state of a job from the body of a reply.
 *
 * @returns the state, or undefined when the body holds none
 */
export function readJobState (body: unknown): JobState | undefined {
  const parsed = jobStateSchema.safeParse(body)
  return parsed.success ? parsed.data as JobState : undefined
}

/**
 * Reads a block of issued keys from the body of a reply.
 *
 * @returns the keys and their lifetime in milliseconds, or undefined when the body holds none
 */
export function readIssuedKeys (body: unknown): { readonly keys: readonly string[], readonly expiresInMs: number } | undefined {
  const parsed = issuedKeysSchema.safeParse(body)
  return parsed.success ? parsed.data : undefined
}
