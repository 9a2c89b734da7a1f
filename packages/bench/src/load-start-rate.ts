import { JobClient } from '@sesamereel/cli'
import { parseKey } from '@sesamereel/state'
import { type Cluster } from './cluster.js'
import { type EntryProcess, tokens } from './cluster-model.js'
import { readMetrics } from './load-snapshots.js'
import { sumMetric } from './load-metrics.js'

/** Rate at which one instance starts tasks without work. */
export interface StartRateReport {
  readonly starts: number
  /** Elapsed time. */
  readonly seconds: number
  /** Processor time of the instance in seconds. */
  readonly cpuSeconds: number
  /** Starts per second of processor time. */
  readonly startsPerCore: number
}

const tasksPerJob = 230

/** Jobs open at the same time. */
const concurrentJobs = 4

/**
 * Measures how many tasks one instance starts per second of processor time. A few jobs at a time, whose
 * tasks have no work, are submitted directly to the owner of their keys.
 *
 * @param cluster - an idle cluster
 * @param customer - customer whose plan does not limit these jobs
 * @param seconds - length of the measurement; open jobs still finish after it
 */
export async function measureStartRate (cluster: Cluster, customer: string, seconds: number): Promise<StartRateReport> {
  const owner = await findOwner(cluster, customer)
  const client = new JobClient({ servers: [owner.callerAddress], token: tokens.caller, keyBlockSize: 100 })
  try {
    const cpuSecondsBefore = sumMetric(await readMetrics(owner), 'process_cpu_seconds_total')
    const startedAt = performance.now()
    let starts = 0
    const submitUntilEnd = async (): Promise<void> => {
      while (performance.now() - startedAt < seconds * 1_000) {
        const tasks = Array.from({ length: tasksPerJob }, () => ({ kind: 'none', payload: { workMs: 0 }, demand: { processors: 10, memoryMb: 10, accelerators: 0 }, expectedMs: 0 }))
        const outcome = await client.submit({ customer, tasks }, { timeoutMs: 30_000 })
        if (outcome.kind !== 'answered' || outcome.answer.state !== 'complete') throw new Error(`zero-work job did not complete: ${JSON.stringify(outcome).slice(0, 500)}`)
        starts += tasksPerJob
      }
    }
    await Promise.all(Array.from({ length: concurrentJobs }, submitUntilEnd))
    const elapsedSeconds = (performance.now() - startedAt) / 1_000
    const cpuSeconds = sumMetric(await readMetrics(owner), 'process_cpu_seconds_total') - cpuSecondsBefore
    return { starts, seconds: elapsedSeconds, cpuSeconds, startsPerCore: starts / cpuSeconds }
  } finally {
    await client.close()
  }
}

/** Finds an instance that issues keys to the customer and owns them. */
async function findOwner (cluster: Cluster, customer: string): Promise<EntryProcess> {
  const client = new JobClient({ servers: [cluster.entries[0]!.callerAddress], token: tokens.caller })
  try {
    const reply = await client.askKeys(customer, 1)
    const key = reply.kind === 'issued' ? parseKey(reply.keys[0]!) : undefined
    const owner = key === undefined ? undefined : cluster.findEntry(`${key.domain}.${key.seat}`)
    if (owner === undefined) throw new Error(`found no instance that owns a key of ${customer}: ${JSON.stringify(reply)}`)
    return owner
  } finally {
    await client.close()
  }
}
