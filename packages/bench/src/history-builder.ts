import { configurationRow, configurationSchema, demandSchema } from '@sesamereel/protocol'
import { type CallRecord, type ConfigurationRecord, type FaultRecord, type History, type JobRecord, type LeavingRecord, type StartRecord, type StopRecord } from './history-records.js'
import { type ProcessRecord } from './process-log.js'
import { type RawRecord } from './record-files.js'

/** Raw records that a history is built from. */
export interface HistorySources {
  readonly jobs: readonly JobRecord[]
  readonly calls: readonly CallRecord[]
  readonly faults: readonly FaultRecord[]
  /** Records of the platform and the targets, in the order of each source. */
  readonly records: readonly RawRecord[]
  readonly processes: readonly ProcessRecord[]
}

/**
 * Builds a history from the raw records of all sources.
 *
 * @param sources - what callers, targets, the platform and the driver recorded
 */
export function buildHistory (sources: HistorySources): History {
  return {
    jobs: sources.jobs,
    calls: [...sources.calls].sort((a, b) => a.at - b.at),
    starts: collectStarts(sources.records, sources.processes),
    leaving: collectLeaving(sources.records),
    configurations: collectConfigurations(sources.records),
    stops: collectStops(sources.processes),
    faults: sources.faults
  }
}

/**
 * Matches the starts of tasks with their ends. A task without a recorded end ended when its target
 * was killed; when the target was not killed, its end is Infinity.
 *
 * @param records - records of the targets, in the order of each target
 * @param processes - what the driver did to processes
 */
export function collectStarts (records: readonly RawRecord[], processes: readonly ProcessRecord[]): readonly StartRecord[] {
  const killTimes = new Map(processes.filter(({ event }) => event === 'killed').map(({ process, at }) => [process, at]))
  // An attempt may wrongly start more than once, so its ends are matched to its starts in order.
  const ends = new Map<string, Array<{ at: number, outcome: string }>>()
  for (const record of records) {
    if (record['kind'] !== 'end') continue
    const key = describeAttempt(record)
    const known = ends.get(key) ?? []
    known.push({ at: Number(record['at']), outcome: String(record['outcome']) })
    ends.set(key, known)
  }
  return records.filter(({ kind }) => kind === 'start').map(record => {
    const target = String(record['target'])
    const at = Number(record['at'])
    const killedAt = killTimes.get(target)
    const end = ends.get(describeAttempt(record))?.shift()
    return {
      at,
      target,
      id: String(record['id']),
      tag: String(record['tag']),
      customer: String(record['customer']),
      demand: demandSchema.parse(record['demand']),
      // The kill is recorded before the signal is sent, so a task may start in between.
      endedAt: end?.at ?? (killedAt === undefined ? Infinity : Math.max(at, killedAt)),
      outcome: end?.outcome ?? 'none'
    }
  })
}

function collectLeaving (records: readonly RawRecord[]): readonly LeavingRecord[] {
  const first = new Map<string, LeavingRecord>()
  for (const record of records) {
    if (record['kind'] !== 'list-served') continue
    for (const target of record['leaving'] as readonly string[]) {
      if (!first.has(target)) first.set(target, { target, visibleAt: Number(record['visibleAt']) })
    }
  }
  return [...first.values()]
}

function collectConfigurations (records: readonly RawRecord[]): readonly ConfigurationRecord[] {
  return records.filter(({ kind }) => kind === 'write').flatMap(record => {
    const rows = record['rows'] as ReadonlyArray<{ table: string, key: string, value: unknown }>
    return rows.filter(row => row.table === configurationRow.table && row.key === configurationRow.key)
      .map(row => ({ at: Number(record['at']), ...configurationSchema.parse(row.value) }))
  })
}

function collectStops (processes: readonly ProcessRecord[]): readonly StopRecord[] {
  return processes.filter(({ event }) => event === 'stop-begun').map(begun => {
    const end = processes.find(({ process, event }) => process === begun.process && event === 'stopped')
    return { process: begun.process, begunAt: begun.at, endedAt: end?.at ?? Infinity, exitCode: end?.exitCode ?? null }
  })
}

/** Describes an attempt uniquely by target, boot id and attempt id. */
function describeAttempt (record: RawRecord): string {
  return `${String(record['target'])} ${String(record['boot'])} ${String(record['id'])}`
}
