import { z } from 'zod'
import { addressSchema, instanceListSchema, rowKeySchema } from '@sesamereel/protocol'

/** Schema of the settings of a platform. */
export const platformSettingsSchema = z.strictObject({
  address: addressSchema.default('127.0.0.1:0'),
  adminAddress: addressSchema.default('127.0.0.1:0'),
  /** Time in milliseconds that a synced write takes. */
  writeMs: z.number().min(0).default(3),
  /** Writes a second that the table service and the object store handle together; more are queued. */
  writesPerSecond: z.number().positive().default(400),
  /** Reads a second that all services handle together; more are queued. */
  readsPerSecond: z.number().positive().default(2_000),
  /** Instance list at the start. */
  list: instanceListSchema.default({ instances: [], targets: [] }),
  /** Rows of the table service at the start. */
  rows: z.array(rowKeySchema.extend({ value: z.unknown() })).default([]),
  /** File for the records; in memory when absent. */
  recordFile: z.string().optional()
})

/** Settings of a platform; absent ones get their defaults. */
export type PlatformSettings = z.input<typeof platformSettingsSchema>

const serviceSchema = z.enum(['tables', 'objects', 'instances'])

/** Service of the platform to which faults can be limited. */
export type PlatformService = z.output<typeof serviceSchema>

/** Schema of a change of the fault switches of a platform; absent switches keep their values. */
export const platformFaultsSchema = z.strictObject({
  /** `refuse` closes the connection, `error` answers 503, `hang` never answers. */
  down: z.enum(['off', 'refuse', 'error', 'hang']),
  /** Delay of each request in milliseconds. */
  slowMs: z.number().min(0),
  /** Services that `down` and `slowMs` affect. */
  parts: z.array(serviceSchema),
  /** Writes take effect but their replies are lost. */
  loseReplies: z.boolean(),
  /** Age in milliseconds of the instance list that is served. */
  listLagMs: z.number().min(0),
  /** Age in milliseconds of the rows that are read; checks of transactions always use the present rows. */
  staleReadMs: z.number().min(0)
}).partial()

/** Fault switches of a platform. */
export type PlatformFaults = Required<z.output<typeof platformFaultsSchema>>

/** Fault switches of a platform without faults. */
export const noPlatformFaults: PlatformFaults = {
  down: 'off', slowMs: 0, parts: ['tables', 'objects', 'instances'], loseReplies: false, listLagMs: 0, staleReadMs: 0
}

/**
 * Schema of the addresses that each domain sees in place of the real ones, so that its traffic goes
 * through network links. The first key is the domain that asks, the second the real address.
 */
export const addressViewsSchema = z.record(z.string(), z.record(z.string(), z.string()))

/** Addresses that each domain sees in place of the real ones. */
export type AddressViews = z.output<typeof addressViewsSchema>
