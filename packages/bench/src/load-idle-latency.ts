import { Agent, request } from 'undici'
import { type StartTask, type TargetReply } from '@sesamereel/protocol'
import { type InstanceList, parseKey } from '@sesamereel/state'
import { type Cluster } from './cluster.js'
import { tokens } from './cluster-model.js'
import { callHttpOrThrow } from './http-call.js'
import { computeSummary, type Summary } from './load-samples.js'

/** Latency in milliseconds that sesamereel adds to a single task on an idle cluster. */
export interface IdleLatencyReport {
  /** Response time of direct requests to the targets over keep-alive connections. */
  readonly direct: Summary
  /** Total response time of the jobs. */
  readonly job: Summary
  /** Added latency of jobs that were submitted to the owner of their key. */
  readonly atOwner: Summary
  /** Added latency of jobs that another instance of the domain forwarded to the owner. */
  readonly forwarded: Summary
  /** Added latency of all jobs. */
  readonly all: Summary
}

/** Jobs submitted to each instance, including the first 10, which are not counted. */
const roundsPerInstance = 100

const demand = { processors: 100, memoryMb: 64, accelerators: 0 }

/**
 * Measures the latency of jobs with a single zero-work task through the instances of one domain, each
 * preceded by a direct request to a target of the domain. Neither path includes the client delay; both
 * use the same links to the targets.
 *
 * @param cluster - an idle cluster
 * @param customer - a customer that has a plan
 * @returns statistics; the added latency is the response time of a job minus the median of the direct
 *   requests to its target, at least 0
 */
export async function measureIdleLatency (cluster: Cluster, customer: string): Promise<IdleLatencyReport> {
  const agent = new Agent({ keepAliveTimeout: 60_000 })
  try {
    const domain = cluster.spec.domains[0]!.name
    const entries = cluster.entries.filter(entry => entry.domain === domain)
    const list = await callHttpOrThrow(cluster.platformAddress, `/instances?domain=${domain}`) as InstanceList
    const directMs = new Map<string, number[]>(list.targets.map(({ id }) => [id, []]))
    const jobs: Array<{ readonly key: string, readonly ms: number, readonly isOwner: boolean }> = []
    let requestCount = 0
    for (const entry of entries) {
      const { keys } = await call(agent, entry.callerAddress, '/v1/keys', { customer, count: roundsPerInstance }) as { keys: string[] }
      for (const [round, key] of keys.entries()) {
        const target = list.targets[requestCount++ % list.targets.length]!
        const targetMs = await measureDirect(agent, target.address, `idle-${requestCount}/0/0`, customer)
        const jobMs = await measureJob(agent, entry.callerAddress, key, customer)
        // The first rounds include the time to open connections.
        if (round < 10) continue
        directMs.get(target.id)!.push(targetMs)
        jobs.push({ key, ms: jobMs, isOwner: parseKey(key)?.seat === entry.seat })
      }
    }
    const targetByKey = findTargetsByKey(cluster)
    const medians = new Map([...directMs].map(([id, values]) => [id, computeSummary(values).p50]))
    const added = jobs.map(({ key, ms, isOwner }) => ({ isOwner, ms: Math.max(0, ms - (medians.get(targetByKey.get(key) ?? '') ?? 0)) }))
    return {
      direct: computeSummary([...directMs.values()].flat()),
      job: computeSummary(jobs.map(({ ms }) => ms)),
      atOwner: computeSummary(added.filter(({ isOwner }) => isOwner).map(({ ms }) => ms)),
      forwarded: computeSummary(added.filter(({ isOwner }) => !isOwner).map(({ ms }) => ms)),
      all: computeSummary(added.map(({ ms }) => ms))
    }
  } finally {
    await agent.destroy()
  }
}

/** Measures a direct start request to a target, in milliseconds. */
async function measureDirect (agent: Agent, address: string, taskId: string, customer: string): Promise<number> {
  const { boot, clockMs } = await call(agent, address, '/status') as TargetReply
  const startRequest: StartTask = { customer, kind: 'idle', payload: { workMs: 0, result: taskId, tag: taskId }, demand, boot, startBy: clockMs + 10_000, leaseMs: 1_000 }
  const startedAt = performance.now()
  await call(agent, address, `/tasks/${encodeURIComponent(taskId)}`, startRequest)
  return performance.now() - startedAt
}

/** Measures the response time of a job with one zero-work task, in milliseconds. */
async function measureJob (agent: Agent, address: string, key: string, customer: string): Promise<number> {
  const tasks = [{ kind: 'idle', payload: { workMs: 0, result: key, tag: key }, demand, expectedMs: 0 }]
  const startedAt = performance.now()
  const answer = await call(agent, address, '/v1/jobs?waitMs=10000', { key, customer, tasks }) as { state: string }
  if (answer.state !== 'complete') throw new Error(`idle latency job ${key} did not complete: ${JSON.stringify(answer)}`)
  return performance.now() - startedAt
}

/** Maps the key of each job to the id of the target that ran it, from the records of the targets. */
function findTargetsByKey (cluster: Cluster): ReadonlyMap<string, string> {
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
