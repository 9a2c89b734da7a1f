import { type ClientCounts } from '@sesamereel/cli'
import { z } from 'zod'
import { type JobSample, type Summary } from './load-samples.js'

/** Settings of one load client process; the benchmark writes them to a file. */
export const loadClientPlanSchema = z.strictObject({
  name: z.string(),
  profile: z.enum(['kalibra', 'guild']),
  seed: z.int(),
  servers: z.array(z.string()).min(1),
  token: z.string(),
  /** Speeds of all slots in each domain, fastest first. */
  slotSpeeds: z.array(z.array(z.number())),
  /** Start of the load in milliseconds since the epoch. */
  startAt: z.number(),
  /** Length of the load in milliseconds. */
  durationMs: z.number(),
  jobsPerSecond: z.number().positive(),
  /** Time in milliseconds after the load during which the client still waits for answers. */
  graceMs: z.number(),
  resultFile: z.string()
})

export type LoadClientPlan = z.output<typeof loadClientPlanSchema>

/** Result of one load client process, written to its result file. */
export interface LoadClientResult {
  readonly samples: readonly JobSample[]
  readonly counts: ClientCounts
  /** Event loop delay of the client in milliseconds. */
  readonly loopDelay: { readonly p50: number, readonly p99: number, readonly max: number }
  /** Time from the planned arrival of a job to its submission, in milliseconds. */
  readonly lateness: Summary
  /** Mean number of processor cores that the client used while it submitted jobs. */
  readonly cores: number
}
