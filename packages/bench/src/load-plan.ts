import { z } from 'zod'

/** What one load client process is to do; written to a file by the bench. */
export const clientPlanSchema = z.strictObject({
  name: z.string(),
  profile: z.enum(['kalibra', 'guild']),
  seed: z.int(),
  servers: z.array(z.string()).min(1),
  token: z.string(),
  /** Speeds of all slots of each domain, fastest first. */
  slotSpeeds: z.array(z.array(z.number())),
  /** Time of the first arrivals on the machine's clock, in milliseconds since the epoch. */
  startAt: z.number(),
  /** Length of the load in milliseconds. */
  durationMs: z.number(),
  jobsPerSecond: z.number().positive(),
  /** Time in milliseconds after the load within which answers still count. */
  graceMs: z.number(),
  resultFile: z.string()
})

export type ClientPlan = z.output<typeof clientPlanSchema>
