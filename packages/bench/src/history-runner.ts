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

/** Options of a run of the history check. */
export interface HistoryOptions {
  readonly seed: number
  readonly seconds: number
  readonly callers: number
  readonly operators: number
  /** Number of concurrent loops that cause faults. */
  readonly faultLoops: number
  /** After a failure, keeps logs and records and writes the history beside them. */
  readonly keepFolder: boolean
}

/** Outcome of a run of the history check. */
export interface HistoryResult {
  readonly history: History
  /** Number of operations of the clients by kind. */
  readonly operations: ReadonlyMap<string, number>
  readonly violations: readonly Violation[]
  /** Failures of the run itself, such as an instance that did not become ready. */
  readonly problems: readonly string[]
  /** Folder with logs, records and history, when it was kept. */
  readonly folder?: string
}

/** Time in milliseconds after the last fault within which every job must have an answer. */
const settleMs = 60_000

/** Time in milliseconds after the beginning of a planned stop from which the instance gets no new calls. */
const stopNoticeMs = 1_000

/** Fraction of the calls that go to a superseded process, like those of a caller with an outdated list. */
const supersededShare = 0.03

/** Time in milliseconds within which a superseded process must end after the run. */
const supersededEndMs = 30_000

const maxConcurrentCalls = 32

const customers = ['kalibra', 'guild', 'harbour']

const limits: LimitList = {
  small: { processors: 8_000, memoryMb: 8_000, accelerators: 4, parallel: 8 },
  large: { processors: 20_000, memoryMb: 20_000, accelerators: 8, parallel: 20 }
}

/**
 * Runs random clients against a cluster under random faults, then checks the history of the run.
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

/** Parts of one run on a started cluster. */
interface HistoryRun {
  readonly cluster: Cluster
  readonly options: HistoryOptions
  readonly session: CallerSession
  readonly injector: FaultInjector
  readonly operations: Map<string, number>
  /** Jobs without a final answer. */
  readonly unsettled: Set<CallerJob>
  /** Superseded processes that were resumed; they must end by themselves. */
  readonly superseded: EntryProcess[]
  readonly problems: string[]
}

async function runOn (cluster: Cluster, options: HistoryOptions): Promise<HistoryResult> {
  const run: HistoryRun = {
    cluster,
    options,
    session: new CallerSession(),
    injector: new FaultInjector(cluster),
    operations: new Map(),
    unsettled: new Set(),
    superseded: [],
    problems: []
  }
  await runClientsAndFaults(run)
  await settleJobs(run)
  await expectSupersededEnds(run)
  await Promise.all(cluster.entries.map(async ({ name }) => await cluster.stopEntry(name)))
  const { session, injector, operations, problems } = run
  const history = buildHistory({ jobs: session.jobs, calls: session.calls, faults: injector.records, records: cluster.readRecords(), processes: cluster.records })
  return { history, operations, violations: checkHistory(history), problems }
}

async function runClientsAndFaults (run: HistoryRun): Promise<void> {
  const { cluster, injector, session, operations, unsettled, superseded, problems } = run
  const { seed, seconds, callers, operators, faultLoops } = run.options
  const endsAt = Date.now() + seconds * 1_000
  const isOver = (): boolean => Date.now() >= endsAt
  const clients: ClientEnvironment = { session, customers, pickDestination: random => pickDestination(run, random), isOver, operations, unsettled }
  const faults = { cluster, injector, session, customers, isOver, superseded, problems }
  const busy = new Set<string>()
  await Promise.all([
    ...Array.from({ length: callers }, (_, i) => runCaller(clients, new RandomSource(seed, 100 + i))),
    ...Array.from({ length: operators }, (_, i) => runOperator(clients, new RandomSource(seed, 200 + i), Object.keys(limits), limits)),
    ...Array.from({ length: faultLoops }, (_, i) => new RandomFaults(faults, new RandomSource(seed, 300 + i), busy).run())
  ])
}

function pickDestination ({ cluster, superseded }: HistoryRun, random: RandomSource): Destination | undefined {
  if (superseded.length > 0 && random.drawBoolean(supersededShare)) return random.pick(superseded)
  const noticedBefore = Date.now() - stopNoticeMs
  const stopping = new Set(cluster.records.filter(({ event, at }) => event === 'stop-begun' && at < noticedBefore).map(({ process }) => process))
  return random.pick(cluster.entries.filter(({ name }) => !stopping.has(name)))
}

/** Follows the jobs without a final answer to their end. */
async function settleJobs ({ cluster, options, session, unsettled, problems }: HistoryRun): Promise<void> {
  const random = new RandomSource(options.seed, 400)
  const until = Date.now() + settleMs
  const unanswered: string[] = []
  await runWithConcurrencyLimit([...unsettled], maxConcurrentCalls, async job => {
    const end = await session.waitForEnd(() => random.pick(cluster.entries), job, until)
    if (end !== 'complete' && end !== 'failed' && end !== 'gone') unanswered.push(`${job.record.job} (${job.record.key}): ${end}`)
  })
  if (unanswered.length > 0) problems.push(`${unanswered.length} jobs had no answer ${settleMs / 1_000} s after the last fault, first ${unanswered[0]!}`)
}

async function expectSupersededEnds ({ cluster, superseded, problems }: HistoryRun): Promise<void> {
  for (const { name } of superseded) {
    const ended = cluster.launcher.waitForEnd(name, supersededEndMs).then(({ signal }) => signal === null)
    const isEnded = await Promise.race([ended, delay(supersededEndMs, false, { ref: false })])
    if (!isEnded) problems.push(`the superseded process ${name} did not end by itself`)
  }
}
