import { z } from 'zod'
import { addressSchema } from '@sesamereel/protocol'
import { linkModes } from './link-mode.js'

/** Schema of the settings of one link. */
export const linkSettingsSchema = z.strictObject({
  name: z.string(),
  listen: addressSchema.default('127.0.0.1:0'),
  connect: addressSchema,
  delayMs: z.number().min(0).default(0)
})

/** Schema of the settings of a network. */
export const networkSettingsSchema = z.strictObject({
  adminAddress: addressSchema.default('127.0.0.1:0'),
  /** Links at the start; more can be added. */
  links: z.array(linkSettingsSchema).default([]),
  /** File for the records; in memory when absent. */
  recordFile: z.string().optional()
})

/** Settings of a network; absent ones get their defaults. */
export type NetworkSettings = z.input<typeof networkSettingsSchema>

/** Schema of the body of `PUT /links`: changes of the named links. */
export const linkChangeSchema = z.strictObject({
  names: z.array(z.string()),
  mode: z.enum(linkModes).optional(),
  /** One-way delay of new connections in milliseconds. */
  delayMs: z.number().min(0).optional(),
  /** Existing connections discard all bytes for good. */
  silence: z.boolean().default(false)
})

/** Changes of the named links. */
export type LinkChange = z.output<typeof linkChangeSchema>
