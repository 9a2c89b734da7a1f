import { type Cluster } from './cluster.js'
import { type EntryProcess } from './cluster-model.js'
import { callHttpOrThrow } from './http-call.js'
import { countMessages, subtractCounts } from './load-messages.js'
import { type MetricSample, parseMetrics, sumMetric } from './load-metrics.js'

/** Metrics of one instance at one time. */
interface InstanceSnapshot {
  readonly messageCounts: ReadonlyMap<string, number>
  readonly cpuSeconds: number
  readonly residentBytes: number
}

/** Metrics of all instances at one time. */
export interface Snapshot {
  /** Time in milliseconds since the epoch, after all instances were read. */
  readonly at: number
  readonly instances: ReadonlyMap<string, InstanceSnapshot>
}

/** Messages that all instances sent and resources that they used between two snapshots. */
export interface InstanceUsage {
  readonly seconds: number
  readonly messageCounts: ReadonlyMap<string, number>
  readonly cpuSeconds: number
  /** Resident memory of the largest instance at the second snapshot, in MiB. */
  readonly largestResidentMb: number
}

/**
 * Reads the metrics of an instance.
 *
 * @returns the samples; empty when the request fails
 */
export async function readMetrics (entry: EntryProcess): Promise<readonly MetricSample[]> {
  try {
    return parseMetrics(String(await callHttpOrThrow(entry.callerAddress, '/metrics', { timeoutMs: 2_000 })))
  } catch {
    return []
  }
}

/**
 * Reads the metrics of all instances.
 */
export async function takeSnapshot (cluster: Cluster): Promise<Snapshot> {
  const instances = await Promise.all(cluster.entries.map(async entry => {
    const samples = await readMetrics(entry)
    return [entry.name, {
      messageCounts: countMessages(samples),
      cpuSeconds: sumMetric(samples, 'process_cpu_seconds_total'),
      residentBytes: sumMetric(samples, 'process_resident_memory_bytes')
    }] as const
  }))
  return { at: Date.now(), instances: new Map(instances) }
}

/**
 * Computes the usage of all instances between two snapshots. Instances that are missing from the
 * second snapshot are not counted; instances that started in between count from zero.
 */
export function computeUsage (before: Snapshot, after: Snapshot): InstanceUsage {
  const messageCounts = new Map<string, number>()
  let cpuSeconds = 0
  let residentBytes = 0
  for (const [name, instance] of after.instances) {
    const earlier = before.instances.get(name)
    for (const [label, count] of subtractCounts(instance.messageCounts, earlier?.messageCounts ?? new Map())) {
      messageCounts.set(label, (messageCounts.get(label) ?? 0) + count)
    }
    cpuSeconds += instance.cpuSeconds - (earlier?.cpuSeconds ?? 0)
    residentBytes = Math.max(residentBytes, instance.residentBytes)
  }
  return { seconds: (after.at - before.at) / 1_000, messageCounts, cpuSeconds, largestResidentMb: residentBytes / 1024 ** 2 }
}
