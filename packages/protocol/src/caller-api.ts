import { z } from 'zod'
import { maxKeysPerBlock, maxTaskLeaseMs, maxTasksPerJob } from '@sesamereel/state'
import { demandSchema, nameSchema } from './common-schemas.js'

/** Longest time in milliseconds that one caller request may wait for the job's answer. */
export const maxWaitMs = 30_000

/** Maximum size of the body of a caller's request in bytes. */
export const maxBodyBytes = 16 * 1024 * 1024

/** Body of `POST /v1/keys`. */
export const issueKeysRequestSchema = z.strictObject({
  customer: nameSchema,
  count: z.int().min(1).max(maxKeysPerBlock).default(1)
})

export const taskSpecSchema = z.strictObject({
  kind: nameSchema,
  payload: z.unknown().default(null),
  demand: demandSchema,
  expectedMs: z.number().min(0).max(maxTaskLeaseMs).default(500),
  timeoutMs: z.int().min(1).max(maxTaskLeaseMs).default(maxTaskLeaseMs)
})

export const jobSpecSchema = z.strictObject({
  key: z.string().max(100),
  customer: nameSchema,
  repeatable: z.boolean().default(false),
  tasks: z.array(taskSpecSchema).min(1).max(maxTasksPerJob)
})

/** Response to `POST /v1/keys`. */
export interface IssuedKeys {
  readonly keys: readonly string[]
  /** Time in milliseconds after which the keys can no longer be used. */
  readonly expiresInMs: number
}

export type IssueKeysRequest = z.output<typeof issueKeysRequestSchema>
