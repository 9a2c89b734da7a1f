import { z } from 'zod'
import { addressSchema, domainNameSchema, nameSchema } from './common-schemas.js'

/** Settings of one `sesamereeld` process; an unknown field is an error. */
export const settingsSchema = z.strictObject({
  /** Failure domain of the instance. */
  domain: domainNameSchema,
  /** Seat of the instance within its domain, from 0. */
  seat: z.int().min(0),
  /** All failure domains with their seats; the same in every instance. */
  topology: z.strictObject({
    domains: z.array(z.strictObject({ name: domainNameSchema, seats: z.int().min(1).max(1000) })).min(1)
  }),
  /** Address that callers, operators and monitoring use. */
  callerAddress: addressSchema,
  /** Address that other instances use. */
  peerAddress: addressSchema,
  /** Endpoints of the platform; each may be given more than once for different front ends. */
  platform: z.strictObject({ address: addressSchema }),
  /** Peers to contact while the platform's list is not available. */
  seedPeers: z.array(addressSchema).default([]),
  /** Tokens of callers, each with the customers that it may act for; "*" means all. */
  callers: z.array(z.strictObject({
    token: z.string().min(16),
    customers: z.union([z.literal('*'), z.array(nameSchema).min(1)])
  })).min(1),
  /** Token of operators. */
  operatorToken: z.string().min(16),
  /** Token that instances present to each other. */
  peerToken: z.string().min(16),
  /** Address of an OTLP/HTTP trace collector; no export when absent. */
  traceCollector: z.url().optional(),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info')
})

export type Settings = z.output<typeof settingsSchema>
