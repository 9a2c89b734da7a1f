import { z } from 'zod'
import { addressSchema, demandSchema, domainNameSchema } from './common-schemas.js'

export const rowKeySchema = z.object({ table: z.string(), key: z.string() })

export type RowKey = z.output<typeof rowKeySchema>

export const rowSchema = z.object({
  table: z.string(),
  key: z.string(),
  /** Increases with each write of the row; 0 when the row does not exist. */
  version: z.int().min(0),
  value: z.unknown()
})

export type Row = z.output<typeof rowSchema>

/** Body of `POST /tables/transact`: if the version of every checked row matches, all writes take effect, otherwise none. */
export const transactRequestSchema = z.object({
  attemptId: z.string(),
  checks: z.array(rowKeySchema.extend({ version: z.int().min(0) })),
  writes: z.array(rowKeySchema.extend({ value: z.unknown() }))
})

export type Transact = z.output<typeof transactRequestSchema>

/** Response to `POST /tables/transact`: status 200 when committed, otherwise 409 with the current rows of the failed checks. */
export const transactReplySchema = z.union([
  z.object({ committed: z.literal(true), rows: z.array(rowSchema) }),
  z.object({ committed: z.literal(false), rows: z.array(rowSchema) })
])

/** Body of `POST /tables/read`. */
export const readRowsRequestSchema = z.object({ rows: z.array(rowKeySchema).min(1) })

export const readRowsReplySchema = z.object({ rows: z.array(rowSchema) })

export const instanceDescriptionSchema = z.object({
  domain: domainNameSchema,
  seat: z.int().min(0),
  peerAddress: addressSchema,
  callerAddress: addressSchema,
  state: z.enum(['live', 'leaving'])
})

export const targetDescriptionSchema = z.object({
  id: z.string(),
  address: addressSchema,
  domain: domainNameSchema,
  state: z.enum(['live', 'leaving']),
  slots: z.int().min(1),
  connections: z.int().min(1),
  capacity: demandSchema
})

/** Response to `GET /instances`. */
export const instanceListSchema = z.object({
  instances: z.array(instanceDescriptionSchema),
  targets: z.array(targetDescriptionSchema)
})

/** Table of the table service with one row for the holder of each seat. */
export const seatTable = 'seats'

export const seatRowSchema = z.object({
  generation: z.int().min(1),
  incarnation: z.string(),
  state: z.enum(['held', 'released'])
})

export type SeatRow = z.output<typeof seatRowSchema>
