import { type ClientCounts } from '@sesamereel/cli'
import { z } from 'zod'
import { type JobSample, type Summary } from './load-samples.js'

/** What one load client process is to do; written to a file by the bench. */
export const loadClientPlanSchema = z.strictObject({
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

export type LoadClientPlan = z.output<typeof loadClientPlanSchema>

/** What one load client process reports. */
export interface LoadClientResult {
  readonly samples: readonly JobSample[]
  readonly counts: ClientCounts
  /** Delay of the event loop of the client in milliseconds. */
  readonly loopDelay: { readonly p50: number, readonly p99: number, readonly max: number }
  /** From the planned arrival of a job to its submission, in milliseconds. */
  readonly lateness: Summary
  /** Part of a core that the client used. */
  readonly cores: number
}
