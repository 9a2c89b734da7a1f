import { readFileSync } from 'node:fs'
import { cpus, loadavg } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { type ClientCounts } from '@sesamereel/cli'
import { Cluster, tokens } from './cluster.js'
import { FaultInjector } from './fault-injector.js'
import { computeUsage, takeSnapshot } from './load-snapshots.js'
import { runFaults } from './load-faults.js'
import { measureIdleLatency } from './load-idle-latency.js'
import { estimateMeanJobWorkMs } from './load-jobs.js'
import { classifyMessages } from './load-messages.js'
import { type LoadClientPlan, type LoadClientResult } from './load-client-plan.js'
import { computeTargetSpeeds, listPlans, type LoadProfile, profiles } from './load-profiles.js'
import { LoadRandom } from './load-random.js'
import { type BenchOptions, type BenchReport, computeReport } from './load-report.js'
import { computeSlotUsage } from './load-slot-usage.js'
import { measureStartRate } from './load-start-rate.js'

/** Load client processes; each uses a small part of a core. */
const clientCount = 3

/** Time in milliseconds for the client processes to start before the first arrival. */
const clientStartMs = 3_000

/** Time in milliseconds after the load within which answers still count. */
const graceMs = 30_000

/** Time in milliseconds after the start of the cluster before the first measurement. */
const settleMs = 3_000

const zeroWorkSeconds = 5

const clientProgram = fileURLToPath(new URL('./load-client.js', import.meta.url))

/**
 * Runs one bench on a cluster of its own.
 *
 * @param options - what to run
 * @param log - receives lines about the progress
 * @returns the report
 */
export async function runBenchmark (options: BenchOptions, log: (line: string) => void): Promise<BenchReport> {
  // The instances read the policy from their environment, since it is no setting for operators.
  process.env['SESAMEREEL_PLACEMENT'] = options.policy
  const profile = profiles[options.profile]
  const random = new LoadRandom(options.seed)
  const speeds = computeTargetSpeeds(profile, () => random.sampleUniform(0, 1))
  const cluster = createCluster(profile, speeds)
  try {
    log('starting the cluster')
    await cluster.start()
    const customer = profile.customers[0]!.name
    // Start-up work of the processes would be measured as latency.
    await delay(settleMs)
    log('measuring the idle latency')
    const idle = await measureIdleLatency(cluster, customer)
    log('measuring starts without work')
    const zeroWork = await measureStartRate(cluster, customer, zeroWorkSeconds)
    return await runLoad(options, profile, cluster, speeds, { idle, zeroWork }, log)
  } finally {
    await cluster.close()
  }
}

function createCluster (profile: LoadProfile, speeds: ReadonlyArray<readonly number[]>): Cluster {
  const { slots, connections, capacity } = profile
  return new Cluster({
    domains: profile.domains.map((name, index) => ({
      name, seats: profile.seatsPerDomain, targets: speeds[index]!.map(speed => ({ speed, slots, connections, capacity }))
    })),
    plans: listPlans(profile),
    limits: profile.limits,
    delayMs: profile.domainDelayMs
  })
}

async function runLoad (options: BenchOptions, profile: LoadProfile, cluster: Cluster, speeds: ReadonlyArray<readonly number[]>, before: Pick<BenchReport, 'idle'> & { readonly zeroWork: BenchReport['starts'] }, log: (line: string) => void): Promise<BenchReport> {
  const slotSpeeds = speeds.map(domain => domain.flatMap(speed => Array.from({ length: profile.slots }, () => speed)).sort((a, b) => b - a))
  const capacity = slotSpeeds.flat().reduce((sum, speed) => sum + speed, 0) * 1_000
  const jobsPerSecond = options.load * capacity / estimateMeanJobWorkMs(new LoadRandom(options.seed + 1), profile)
  const servers = await startClientLinks(cluster, profile)
  const warmupMs = options.warmupSeconds * 1_000
  const measuredMs = options.seconds * 1_000
  const startAt = Date.now() + clientStartMs
  const plans = Array.from({ length: clientCount }, (_, index): LoadClientPlan => ({
    name: `c${index}`,
    profile: profile.name,
    seed: options.seed * 1_000 + index,
    servers: [...servers.slice(index), ...servers.slice(0, index)],
    token: tokens.caller,
    slotSpeeds: slotSpeeds.map(domain => [...domain]),
    startAt,
    durationMs: warmupMs + measuredMs,
    jobsPerSecond: jobsPerSecond / clientCount,
    graceMs,
    resultFile: join(cluster.launcher.folder, `result-${index}.json`)
  }))
  for (const plan of plans) cluster.launcher.startProgram(plan.name, [clientProgram, cluster.launcher.writeSettings(plan.name, plan)])
  log(`load of ${jobsPerSecond.toFixed(1)} jobs/s for ${options.warmupSeconds} + ${options.seconds} s`)
  const faultsDone = runFaults(options.faults, cluster, new FaultInjector(cluster), { startAt, warmupMs, measuredMs })
  await delay(startAt + warmupMs - Date.now())
  const first = await takeSnapshot(cluster)
  await delay(startAt + warmupMs + measuredMs - Date.now())
  const loadAverage = loadavg()
  const faults = await faultsDone
  const last = await takeSnapshot(cluster)
  await Promise.all(plans.map(async ({ name }) => await cluster.launcher.waitForEnd(name, graceMs + 10_000)))
  const results = plans.map(plan => readResult(cluster, plan))

  const allRecords = cluster.readRecords()
  const records = allRecords.filter(({ at }) => Number(at) >= first.at && Number(at) <= last.at)
  const samples = results.flatMap(result => result.samples)
  const use = computeUsage(first, last)
  const answers = samples.filter(({ arrivalMs, outcome }) => arrivalMs >= warmupMs && (outcome === 'complete' || outcome.startsWith('failed'))).length
  // The counts of the clients cover the warm-up too, so they are scaled to the measured time.
  const part = measuredMs / (warmupMs + measuredMs)
  return computeReport({
    options,
    machine: { node: process.version, cores: cpus().length, loadAverage },
    plannedJobsPerSecond: jobsPerSecond,
    speeds,
    samples,
    usage: use,
    taskStarts: records.filter(({ kind }) => kind === 'start').length,
    slots: computeSlotUsage(allRecords, new Map(cluster.targets.map(({ id, spec }) => [id, spec.speed])), profile.slots, { from: first.at, to: last.at }),
    messages: classifyMessages({ records, messageCounts: use.messageCounts, clients: scaleCounts(results.map(({ counts }) => counts), part), answers }),
    forbiddenStarts: countForbiddenStarts(allRecords, profile),
    clients: results.map(({ loopDelay, lateness, cores }) => ({ loopDelay, lateness, cores })),
    idle: before.idle,
    zeroWorkStarts: before.zeroWork,
    faults
  })
}

/** Clients reach each instance through a link of their own with the delay of the profile. */
async function startClientLinks (cluster: Cluster, profile: LoadProfile): Promise<readonly string[]> {
  const links = cluster.entries.map(({ name, callerAddress }) => ({ name, connect: callerAddress, delayMs: profile.clientDelayMs }))
  const { addresses } = await cluster.launcher.startStandIn('client-network', 'network', { links })
  return links.map(({ name }) => addresses[name]!)
}

function readResult (cluster: Cluster, plan: LoadClientPlan): LoadClientResult {
  try {
    return JSON.parse(readFileSync(plan.resultFile, 'utf8')) as LoadClientResult
  } catch (error) {
    throw new Error(`load client ${plan.name} left no result: ${String(error)}\n${cluster.launcher.readLog(plan.name).slice(-2_000)}`)
  }
}

function scaleCounts (all: readonly ClientCounts[], part: number): ClientCounts {
  const scale = (name: keyof ClientCounts): number => Math.round(all.reduce((sum, counts) => sum + counts[name], 0) * part)
  return { askKeys: scale('askKeys'), submit: scale('submit'), resubmit: scale('resubmit'), wait: scale('wait'), cancel: scale('cancel'), lost: scale('lost') }
}

/** Counts starts beyond the first of tasks whose job is not repeatable. */
function countForbiddenStarts (records: ReadonlyArray<Readonly<Record<string, unknown>>>, profile: LoadProfile): number {
  const once = new Set(profile.jobs.filter(({ repeatable }) => !repeatable).map(({ taskKind }) => taskKind.name))
  const starts = records.filter(({ kind, taskKind }) => kind === 'start' && once.has(String(taskKind)))
  return starts.length - new Set(starts.map(({ tag }) => tag)).size
}
