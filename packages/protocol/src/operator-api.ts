import { z } from 'zod'
import { nameSchema, resourceVectorSchema } from './common-schemas.js'

export const planListSchema = z.record(nameSchema, nameSchema)

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

/** Row of the table service that holds both lists. */
export const configurationRow = { table: 'configuration', key: 'current' } as const
