import { z } from 'zod'
import { addressSchema, demandSchema } from '@sesamereel/protocol'

/** Schema of the settings of a target. */
export const targetSettingsSchema = z.strictObject({
  id: z.string(),
  address: addressSchema.default('127.0.0.1:0'),
  adminAddress: addressSchema.default('127.0.0.1:0'),
  slots: z.int().min(1).default(8),
  /** Connections beyond this number are dropped. */
  connections: z.int().min(1).default(60),
  capacity: demandSchema.default({ processors: 16_000, memoryMb: 30_000, accelerators: 0 }),
  /** The real run time of a task is its workMs divided by the speed. */
  speed: z.number().positive().default(1),
  /** File for the records; in memory when absent. */
  recordFile: z.string().optional()
})

/** Settings of a target; absent ones get their defaults. */
export type TargetSettings = z.input<typeof targetSettingsSchema>

/** Schema of a change of the fault switches of a target; absent switches keep their values. */
export const targetFaultsSchema = z.strictObject({
  failAll: z.boolean(),
  leaving: z.boolean(),
  lingering: z.boolean(),
  replyDelayMs: z.number().min(0),
  speed: z.number().positive()
}).partial()
