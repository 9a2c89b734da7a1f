import { setTimeout as delay } from 'node:timers/promises'
import { type LimitList, type PlanList } from '@sesamereel/state'
import { type CallerJob, type CallerSession, type Destination, type JobPlan, judgeReply } from './caller-session.js'
import { type RandomSource } from '@sesamereel/emulator'

const callerWeights = { job: 60, resubmit: 12, cancel: 6, fetch: 12, 'read-lists': 6, lost: 8 } as const

const operatorWeights = { 'read-lists': 5, limits: 3, plans: 1, stale: 1 } as const

/** Jobs that a client remembers for later fetches, cancellations and resubmissions. */
const rememberedJobs = 200

/** Time in milliseconds after which a client stops following a job. */
const followMs = 8_000

/** What all clients of a run share. */
export interface ClientEnvironment {
  readonly session: CallerSession
  readonly customers: readonly string[]
  /** Chooses where a call goes. */
  readonly pickDestination: (random: RandomSource) => Destination | undefined
  readonly isOver: () => boolean
  /** Operations so far, by kind. */
  readonly operations: Map<string, number>
  /** Jobs without a final answer, which are followed to their end after the faults. */
  readonly unsettled: Set<CallerJob>
}

/**
 * Acts as one caller until the run is over: submits jobs, resubmits them through any instance, cancels
 * and fetches them later, and stops waiting for some replies as if the job were lost.
 */
export async function runCaller (environment: ClientEnvironment, random: RandomSource): Promise<void> {
  const { session, operations, unsettled } = environment
  const jobs: CallerJob[] = []
  while (!environment.isOver()) {
    const kind = random.pickWeighted(callerWeights)
    const to = environment.pickDestination(random)
    if (to === undefined) {
      await delay(50)
      continue
    }
    addOperation(operations, kind)
    const known = random.pick(jobs)
    if (kind === 'job' || kind === 'lost') {
      const job = await session.createJob(to, createPlan(random, environment.customers))
      if (job !== undefined) {
        jobs.push(job)
        if (jobs.length > rememberedJobs) jobs.shift()
        unsettled.add(job)
        await submitAndFollow(environment, random, to, job, kind === 'lost')
      }
    } else if (kind === 'read-lists') await session.readLists(to)
    else if (known !== undefined) {
      if (kind === 'resubmit') await session.submit(to, known, random.pickInteger(0, 500))
      else if (kind === 'cancel') await session.cancel(to, known)
      else await session.fetch(to, known, random.pickInteger(0, 1_000))
    }
    await delay(random.pickInteger(0, 150))
  }
}

/**
 * Acts as one operator until the run is over: edits both lists, based on the version that it has read
 * or sometimes on an outdated one.
 */
export async function runOperator (environment: ClientEnvironment, random: RandomSource, plans: readonly string[], limits: LimitList): Promise<void> {
  const { session, operations } = environment
  let staleVersion = 0
  while (!environment.isOver()) {
    const kind = random.pickWeighted(operatorWeights)
    const to = environment.pickDestination(random)
    if (to !== undefined) {
      addOperation(operations, kind === 'read-lists' ? kind : `edit-${kind}`)
      const reply = await session.readLists(to)
      if (reply.kind === 'answered' && reply.status === 200 && kind !== 'read-lists') {
        const lists = reply.body as { version: number, plans: PlanList, limits: LimitList }
        if (kind === 'plans') await session.editList(to, 'plans', lists.version, { ...lists.plans, [random.pick(environment.customers)!]: random.pick(plans)! })
        else {
          const plan = random.pick(plans)!
          const limit = limits[plan]!
          const parallel = random.pickInteger(Math.ceil(limit.parallel / 2), limit.parallel)
          await session.editList(to, 'limits', kind === 'stale' ? staleVersion : lists.version, { ...lists.limits, [plan]: { ...limit, parallel, processors: parallel * 1_000 } })
        }
        staleVersion = lists.version
      }
    }
    await delay(random.pickInteger(200, 1_500))
  }
}

async function submitAndFollow (environment: ClientEnvironment, random: RandomSource, to: Destination, job: CallerJob, isLost: boolean): Promise<void> {
  const { session } = environment
  // A caller that gives up early cannot know whether its submission arrived.
  const first = isLost ? await session.submit(to, job, 2_000, random.pickInteger(1, 150)) : await session.submit(to, job, random.pickInteger(0, 1_500))
  const standing = judgeReply(first)
  if (standing === 'complete' || standing === 'failed' || standing === 'gone') {
    environment.unsettled.delete(job)
    return
  }
  if (random.drawBoolean(0.3)) return
  if (isLost || random.drawBoolean(0.2)) {
    const again = environment.pickDestination(random)
    if (again !== undefined) await session.submit(again, job, 500)
  }
  const end = await session.waitForEnd(() => environment.pickDestination(random), job, Date.now() + followMs)
  if (end === 'complete' || end === 'failed' || end === 'gone') environment.unsettled.delete(job)
}

function createPlan (random: RandomSource, customers: readonly string[]): JobPlan {
  const tasks = random.drawBoolean(0.3) ? 1 : random.pickInteger(2, 16)
  const longest = random.drawBoolean(0.1) ? 2_500 : 300
  const repeatable = random.pick([undefined, undefined, false, true, true])
  return {
    customer: random.pick(customers)!,
    tasks,
    workMs: Array.from({ length: tasks }, () => random.pickInteger(0, longest)),
    kind: random.pick(['lookup', 'audit', 'booking'])!,
    demand: { processors: random.pickInteger(1, 10) * 100, memoryMb: random.pickInteger(1, 8) * 50, accelerators: random.drawBoolean(0.1) ? 1 : 0 },
    ...(repeatable === undefined ? {} : { repeatable }),
    ...(random.drawBoolean(0.3) ? { timeoutMs: random.pickInteger(500, 4_000) } : {}),
    ...(random.drawBoolean(0.05) ? { failing: [random.pickInteger(0, tasks - 1)] } : {})
  }
}

/** Counts one operation. */
export function addOperation (operations: Map<string, number>, kind: string): void {
  operations.set(kind, (operations.get(kind) ?? 0) + 1)
}
