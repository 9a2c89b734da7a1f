import { runWithConcurrencyLimit } from './concurrency-limit.js'
import { type FaultContext } from './random-fault-context.js'

/** Kinds of bursts. */
export type BurstKind = 'cancellation-wave' | 'burst'

/** Size of a burst; both kinds are far above what a plan allows. */
interface BurstSize {
  readonly jobs: number
  readonly tasks: number
}

const sizes: Readonly<Record<BurstKind, BurstSize>> = {
  burst: { jobs: 25, tasks: 8 },
  'cancellation-wave': { jobs: 40, tasks: 20 }
}

const taskMs = 100

const maxConcurrentCalls = 16

/**
 * Submits a burst of jobs of a random customer through one instance. A cancellation wave then
 * cancels all of them through random instances.
 */
export async function submitBurst (context: FaultContext, kind: BurstKind): Promise<void> {
  const { random, environment: { cluster, injector, session, customers } } = context
  const to = random.pick(cluster.entries)
  if (to === undefined) return
  injector.note(kind)
  const { jobs: jobCount, tasks } = sizes[kind]
  const jobs = await session.createJobs(to, { customer: random.pick(customers)!, tasks, workMs: [taskMs], kind: 'lookup' }, jobCount)
  await runWithConcurrencyLimit(jobs, maxConcurrentCalls, async job => { await session.submit(to, job) })
  if (kind !== 'cancellation-wave') return
  await context.waitBetween(0, 1_000)
  await runWithConcurrencyLimit(jobs, maxConcurrentCalls, async job => { await session.cancel(random.pick(cluster.entries) ?? to, job) })
}
