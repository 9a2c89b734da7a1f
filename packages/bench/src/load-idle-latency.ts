import { Agent, request } from 'undici'
import { type StartTask, type TargetReply } from '@sesamereel/protocol'
import { type InstanceList, parseKey } from '@sesamereel/state'
import { type Cluster, tokens } from './cluster.js'
import { callHttpOrThrow } from './http-call.js'
import { computeSummary, type Summary } from './load-samples.js'

/** Latency that sesamereel adds to one task when nothing else runs, in milliseconds. */
export interface IdleLatencyReport {
  /** Direct keep-alive requests to the targets. */
  readonly direct: Summary
  /** Whole response time of the jobs. */
  readonly job: Summary
  /** Added latency of jobs that were submitted to the owner of their key. */
  readonly atOwner: Summary
  /** Added latency of jobs that another instance of the domain forwarded to the owner. */
  readonly forwarded: Summary
  readonly all: Summary
}

const roundsPerSeat = 100

const demand = { processors: 100, memoryMb: 64, accelerators: 0 }

/**
 * Measures single tasks of no work through the instances of one domain, in turn with direct
 * requests to each target of the domain. Neither path has the delay of a client; both go through
 * the same links to the targets.
 *
 * @param cluster - an idle cluster
 * @param customer - a customer with a plan
 * @returns added latency: of each job, less the median of the direct requests to its target
 */
export async function measureIdleLatency (cluster: Cluster, customer: string): Promise<IdleLatencyReport> {
  const agent = new Agent({ keepAliveTimeout: 60_000 })
  try {
    const domain = cluster.spec.domains[0]!.name
    const entries = cluster.entries.filter(entry => entry.domain === domain)
    const list = await callHttpOrThrow(cluster.platformAddress, `/instances?domain=${domain}`) as InstanceList
    const direct = new Map<string, number[]>(list.targets.map(({ id }) => [id, []]))
    const jobs: Array<{ readonly key: string, readonly ms: number, readonly isOwner: boolean }> = []
    let number = 0
    for (const entry of entries) {
      const { keys } = await call(agent, entry.callerAddress, '/v1/keys', { customer, count: roundsPerSeat }) as { keys: string[] }
      for (const [round, key] of keys.entries()) {
        const target = list.targets[number++ % list.targets.length]!
        const ms = await measureDirect(agent, target.address, `idle-${number}/0/0`, customer)
        const job = await measureJob(agent, entry.callerAddress, key, customer)
        // The first rounds open connections.
        if (round < 10) continue
        direct.get(target.id)!.push(ms)
        jobs.push({ key, ms: job, isOwner: parseKey(key)?.seat === entry.seat })
      }
    }
    const targets = findTargets(cluster)
    const medians = new Map([...direct].map(([id, values]) => [id, computeSummary(values).p50]))
    const added = jobs.map(({ key, ms, isOwner }) => ({ isOwner, ms: Math.max(0, ms - (medians.get(targets.get(key) ?? '') ?? 0)) }))
    return {
      direct: computeSummary([...direct.values()].flat()),
      job: computeSummary(jobs.map(({ ms }) => ms)),
      atOwner: computeSummary(added.filter(({ isOwner }) => isOwner).map(({ ms }) => ms)),
      forwarded: computeSummary(added.filter(({ isOwner }) => !isOwner).map(({ ms }) => ms)),
      all: computeSummary(added.map(({ ms }) => ms))
    }
  } finally {
    await agent.destroy()
  }
}

async function measureDirect (agent: Agent, address: string, taskId: string, customer: string): Promise<number> {
  const { boot, clockMs } = await call(agent, address, '/status') as TargetReply
  const order: StartTask = { customer, kind: 'idle', payload: { workMs: 0, result: taskId, tag: taskId }, demand, boot, startBy: clockMs + 10_000, leaseMs: 1_000 }
  const startedAt = performance.now()
  await call(agent, address, `/tasks/${encodeURIComponent(taskId)}`, order)
  return performance.now() - startedAt
}

async function measureJob (agent: Agent, address: string, key: string, customer: string): Promise<number> {
  const tasks = [{ kind: 'idle', payload: { workMs: 0, result: key, tag: key }, demand, expectedMs: 0 }]
  const startedAt = performance.now()
  const answer = await call(agent, address, '/v1/jobs?waitMs=10000', { key, customer, tasks }) as { state: string }
  if (answer.state !== 'complete') throw new Error(`idle job ${key}: ${JSON.stringify(answer)}`)
  return performance.now() - startedAt
}

/** Finds the target that ran the job of each key. */
function findTargets (cluster: Cluster): ReadonlyMap<string, string> {
  return new Map(cluster.readRecords().filter(({ kind }) => kind === 'start').map(({ tag, target }) => [String(tag), String(target)]))
}

async function call (agent: Agent, address: string, path: string, body?: unknown): Promise<unknown> {
  const reply = await request(`http://${address}${path}`, {
    dispatcher: agent,
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${tokens.caller}`, 'content-type': 'application/json' },
    ...(body !== undefined && { body: JSON.stringify(body) })
  })
  return await reply.body.json()
}
