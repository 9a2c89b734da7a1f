import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { type LimitList } from '@sesamereel/state'
import { type CallerJob, CallerSession, type Destination } from './caller-session.js'
import { Cluster } from './cluster.js'
import { type EntryProcess } from './cluster-model.js'
import { FaultInjector } from './fault-injector.js'
import { buildHistory } from './history-builder.js'
import { checkHistory } from './history-checker.js'
import { type History, type Violation } from './history-records.js'
import { type ClientEnvironment, runCaller, runOperator } from './random-clients.js'
import { RandomFaults } from './random-faults.js'
import { RandomSource } from '@sesamereel/emulator'
import { runWithConcurrencyLimit } from './concurrency-limit.js'

export interface HistoryOptions {
  readonly seed: number
  readonly seconds: number
  readonly callers: number
  readonly operators: number
  /** Loops that cause faults side by side. */
  readonly faultLoops: number
  /** After a failure, keeps logs and records and writes the history beside them. */
  readonly keepFolder: boolean
}

export interface HistoryResult {
  readonly history: History
  readonly operations: ReadonlyMap<string, number>
  readonly violations: readonly Violation[]
  /** Failures of the run itself, such as an instance that did not become ready. */
  readonly problems: readonly string[]
  /** Folder with logs, records and history, when it was kept. */
  readonly folder?: string
}

/** Time in milliseconds after the last fault within which every job must have an answer. */
const settleMs = 60_000

/** An instance whose planned stop began this long ago in milliseconds gets no new calls. */
const stopNoticeMs = 1_000

/** Share of the calls that go to a superseded process, as from a caller with an old list. */
const supersededShare = 0.03

const customers = ['kalibra', 'guild', 'harbour']

const limits: LimitList = {
  small: { processors: 8_000, memoryMb: 8_000, accelerators: 4, parallel: 8 },
  large: { processors: 20_000, memoryMb: 20_000, accelerators: 8, parallel: 20 }
}

/**
 * Runs random clients against a cluster under random faults, then checks what everyone recorded.
 */
export async function runHistory (options: HistoryOptions): Promise<HistoryResult> {
  const cluster = new Cluster({
    domains: ['gent', 'brugge'].map(name => ({ name, seats: 2, targets: [0.7, 1, 1.5].map(speed => ({ speed, slots: 6 })) })),
    plans: { kalibra: 'large', guild: 'small', harbour: 'large' },
    limits,
    delayMs: 1
  })
  let isKept = false
  try {
    await cluster.start()
    const result = await runOn(cluster, options)
    isKept = options.keepFolder && result.violations.length + result.problems.length > 0
    if (!isKept) return result
    const { folder } = cluster.launcher
    writeFileSync(join(folder, 'history.json'), JSON.stringify(result.history, undefined, 1))
    return { ...result, folder }
  } finally {
    await cluster.close(isKept)
  }
}

async function runOn (cluster: Cluster, options: HistoryOptions): Promise<HistoryResult> {
  const session = new CallerSession()
  const injector = new FaultInjector(cluster)
  const superseded: EntryProcess[] = []
  const problems: string[] = []
  const operations = new Map<string, number>()
  const open = new Set<CallerJob>()
  const endsAt = Date.now() + options.seconds * 1_000
  const isOver = (): boolean => Date.now() >= endsAt

  const pickDestination = (random: RandomSource): Destination | undefined => {
    if (superseded.length > 0 && random.drawBoolean(supersededShare)) return random.pick(superseded)
    const now = Date.now()
    const stopping = new Set(cluster.records.filter(({ event, at }) => event === 'stop-begun' && at < now - stopNoticeMs).map(({ process }) => process))
    return random.pick(cluster.entries.filter(({ name }) => !stopping.has(name)))
  }
  const clients: ClientEnvironment = { session, customers, pickDestination, isOver, operations, open }
  const faults = { cluster, injector, session, customers, isOver, superseded, problems }
  const busy = new Set<string>()
  await Promise.all([
    ...Array.from({ length: options.callers }, (_, i) => runCaller(clients, new RandomSource(options.seed, 100 + i))),
    ...Array.from({ length: options.operators }, (_, i) => runOperator(clients, new RandomSource(options.seed, 200 + i), Object.keys(limits), limits)),
    ...Array.from({ length: options.faultLoops }, (_, i) => new RandomFaults(faults, new RandomSource(options.seed, 300 + i), busy).run())
  ])

  const random = new RandomSource(options.seed, 400)
  const until = Date.now() + settleMs
  const unsettled: string[] = []
  await runWithConcurrencyLimit([...open], 32, async job => {
    const end = await session.waitForEnd(() => random.pick(cluster.entries), job, until)
    if (end !== 'complete' && end !== 'failed' && end !== 'gone') unsettled.push(`${job.record.job} (${job.record.key}): ${end}`)
  })
  if (unsettled.length > 0) problems.push(`${unsettled.length} jobs had no answer ${settleMs / 1_000} s after the last fault, first ${unsettled[0]!}`)
  for (const { name } of superseded) {
    const isEnded = await Promise.race([cluster.launcher.waitForEnd(name, 30_000).then(({ signal }) => signal === null), delay(30_000, false, { ref: false })])
    if (!isEnded) problems.push(`the superseded process ${name} did not end by itself`)
  }
  await Promise.all(cluster.entries.map(async ({ name }) => await cluster.stopEntry(name)))
  const history = buildHistory({ jobs: session.jobs, calls: session.calls, faults: injector.records, records: cluster.readRecords(), processes: cluster.records })
  return { history, operations, violations: checkHistory(history), problems }
}
