import { z } from 'zod'
import { addressSchema, domainNameSchema, nameSchema } from './common-schemas.js'

/** Settings of one `sesamereeld` process; unknown fields are rejected. */
export const settingsSchema = z.strictObject({
  /** Failure domain of the instance. */
  domain: domainNameSchema,
  /** Zero-based number of the instance's seat within its domain. */
  seat: z.int().min(0),
  /** All failure domains with their numbers of seats; must be the same in every instance. */
  topology: z.strictObject({
    domains: z.array(z.strictObject({ name: domainNameSchema, seats: z.int().min(1).max(1000) })).min(1)
  }),
  /** Address of the API for callers, operators and monitoring. */
  callerAddress: addressSchema,
  /** Address of the API for other instances. */
  peerAddress: addressSchema,
  /** Address of the platform's API. */
  platform: z.strictObject({ address: addressSchema }),
  /** Addresses of peers to contact while the platform's instance list is unavailable. */
  seedPeers: z.array(addressSchema).default([]),
  /** Tokens of callers, each with the customers on whose behalf it may act; "*" means all. */
  callers: z.array(z.strictObject({
    token: z.string().min(16),
    customers: z.union([z.literal('*'), z.array(nameSchema).min(1)])
  })).min(1),
  /** Token of operators. */
  operatorToken: z.string().min(16),
  /** Token by which instances authenticate to each other. */
  peerToken: z.string().min(16),
  /** URL of an OTLP/HTTP trace collector; traces are not exported when absent. */
  traceCollector: z.url().optional(),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info')
})

export type Settings = z.output<typeof settingsSchema>
