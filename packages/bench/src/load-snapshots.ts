import { type Cluster, type EntryProcess } from './cluster.js'
import { callHttpOrThrow } from './http-call.js'
import { countMessages, subtractCounts } from './load-messages.js'
import { type MetricSample, parseMetrics, sumMetric } from './load-metrics.js'

/** Counters of one instance at one moment. */
interface InstanceSnapshot {
  readonly exchanges: ReadonlyMap<string, number>
  readonly cpuSeconds: number
  readonly residentBytes: number
}

/** Counters of all instances at one moment. */
export interface Snapshot {
  readonly at: number
  readonly instances: ReadonlyMap<string, InstanceSnapshot>
}

/** What the instances did between two moments. */
export interface InstanceUsage {
  readonly seconds: number
  readonly messageCounts: ReadonlyMap<string, number>
  readonly cpuSeconds: number
  readonly largestResidentMb: number
}

/**
 * Reads the metrics of an instance.
 *
 * @returns the samples; none when the instance does not reply
 */
export async function readMetrics (entry: EntryProcess): Promise<readonly MetricSample[]> {
  try {
    return parseMetrics(String(await callHttpOrThrow(entry.callerAddress, '/metrics', { timeoutMs: 2_000 })))
  } catch {
    return []
  }
}

/**
 * Reads the counters of all instances.
 */
export async function takeSnapshot (cluster: Cluster): Promise<Snapshot> {
  const entries = await Promise.all(cluster.entries.map(async entry => {
    const samples = await readMetrics(entry)
    return [entry.name, {
      exchanges: countMessages(samples),
      cpuSeconds: sumMetric(samples, 'process_cpu_seconds_total'),
      residentBytes: sumMetric(samples, 'process_resident_memory_bytes')
    }] as const
  }))
  return { at: Date.now(), instances: new Map(entries) }
}

/**
 * Computes what the instances did between two snapshots. Instances that are gone at the second
 * one are not counted; those that started in between count from zero.
 */
export function computeUsage (before: Snapshot, after: Snapshot): InstanceUsage {
  const exchanges = new Map<string, number>()
  let cpuSeconds = 0
  let residentBytes = 0
  for (const [name, entry] of after.instances) {
    const earlier = before.instances.get(name)
    for (const [label, count] of subtractCounts(entry.exchanges, earlier?.exchanges ?? new Map())) {
      exchanges.set(label, (exchanges.get(label) ?? 0) + count)
    }
    cpuSeconds += entry.cpuSeconds - (earlier?.cpuSeconds ?? 0)
    residentBytes = Math.max(residentBytes, entry.residentBytes)
  }
  return { seconds: (after.at - before.at) / 1_000, messageCounts: exchanges, cpuSeconds, largestResidentMb: residentBytes / 1024 ** 2 }
}
