import { z } from 'zod'
import { nameSchema, resourceVectorSchema } from './common-schemas.js'

/** The plan of each customer, by name of the customer. */
export const planListSchema = z.record(nameSchema, nameSchema)

/** The limits of each plan, by name of the plan. */
export const limitListSchema = z.record(nameSchema, resourceVectorSchema)

export const listNameSchema = z.enum(['plans', 'limits'])

export type ListName = z.output<typeof listNameSchema>

export const editRequestSchema = z.strictObject({
  baseVersion: z.int().min(0),
  editId: z.string().min(8).max(64),
  content: z.unknown(),
  dryRun: z.boolean().default(false)
})

export const configurationSchema = z.strictObject({
  version: z.int().min(0),
  editId: z.string(),
  plans: planListSchema,
  limits: limitListSchema
})

/** Key of the row in the table service that stores both lists. */
export const configurationRow = { table: 'configuration', key: 'current' } as const
