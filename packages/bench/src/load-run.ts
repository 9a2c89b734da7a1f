import { readFileSync } from 'node:fs'
import { cpus, loadavg } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { type ClientCounts } from '@sesamereel/cli'
import { Cluster } from './cluster.js'
import { tokens } from './cluster-model.js'
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

/** Number of load client processes; each one uses only a fraction of a core. */
const clientCount = 3

/** Time in milliseconds that the client processes have to start before the load begins. */
const clientStartMs = 3_000

/** Time in milliseconds after the load during which the clients still wait for answers. */
const graceMs = 30_000

/** Time in milliseconds between the start of the cluster and the first measurement. */
const settleMs = 3_000

/** Length in seconds of the measurement of starts without work. */
const zeroWorkSeconds = 5

const clientProgram = fileURLToPath(new URL('./load-client.js', import.meta.url))

/**
 * Runs the benchmark once on a new cluster and stops the cluster afterwards.
 *
 * @param options - workload, faults and length of the run
 * @param log - receives progress messages
 * @returns the report
 */
export async function runBenchmark (options: BenchOptions, log: (line: string) => void): Promise<BenchReport> {
  // The placement policy is not an operator setting, so the instances read it from their environment.
  process.env['SESAMEREEL_PLACEMENT'] = options.policy
  const profile = profiles[options.profile]
  const random = new LoadRandom(options.seed)
  const speeds = computeTargetSpeeds(profile, () => random.sampleUniform(0, 1))
  const cluster = createCluster(profile, speeds)
  try {
    log('starting cluster')
    await cluster.start()
    const customer = profile.customers[0]!.name
    // Start-up work of the processes would otherwise be measured as latency.
    await delay(settleMs)
    log('measuring latency on the idle cluster')
    const idle = await measureIdleLatency(cluster, customer)
    log('measuring start rate of tasks without work')
    const zeroWorkStarts = await measureStartRate(cluster, customer, zeroWorkSeconds)
    return await runLoad(options, profile, cluster, speeds, { idle, zeroWorkStarts }, log)
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

async function runLoad (options: BenchOptions, profile: LoadProfile, cluster: Cluster, speeds: ReadonlyArray<readonly number[]>, idleMeasurements: Pick<BenchReport, 'idle'> & { readonly zeroWorkStarts: BenchReport['starts'] }, log: (line: string) => void): Promise<BenchReport> {
  const slotSpeeds = speeds.map(targetSpeeds => targetSpeeds.flatMap(speed => Array.from({ length: profile.slots }, () => speed)).sort((a, b) => b - a))
  const capacityMsPerSecond = slotSpeeds.flat().reduce((sum, speed) => sum + speed, 0) * 1_000
  const jobsPerSecond = options.load * capacityMsPerSecond / estimateMeanJobWorkMs(new LoadRandom(options.seed + 1), profile)
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
  log(`running load of ${jobsPerSecond.toFixed(1)} jobs/s: ${options.warmupSeconds} s warm-up, ${options.seconds} s measured`)
  const faultsPromise = runFaults(options.faults, cluster, new FaultInjector(cluster), { startAt, warmupMs, measuredMs })
  await delay(startAt + warmupMs - Date.now())
  const first = await takeSnapshot(cluster)
  await delay(startAt + warmupMs + measuredMs - Date.now())
  const loadAverage = loadavg()
  const faults = await faultsPromise
  const last = await takeSnapshot(cluster)
  await Promise.all(plans.map(async ({ name }) => await cluster.launcher.waitForEnd(name, graceMs + 10_000)))
  const results = plans.map(plan => readResult(cluster, plan))

  const allRecords = cluster.readRecords()
  const records = allRecords.filter(({ at }) => Number(at) >= first.at && Number(at) <= last.at)
  const samples = results.flatMap(result => result.samples)
  const usage = computeUsage(first, last)
  const answerCount = samples.filter(({ arrivalMs, outcome }) => arrivalMs >= warmupMs && (outcome === 'complete' || outcome.startsWith('failed'))).length
  // Client counts include the warm-up, so they are scaled down to the measured time.
  const measuredFraction = measuredMs / (warmupMs + measuredMs)
  return computeReport({
    options,
    machine: { node: process.version, cores: cpus().length, loadAverage },
    plannedJobsPerSecond: jobsPerSecond,
    speeds,
    samples,
    usage,
    taskStarts: records.filter(({ kind }) => kind === 'start').length,
    slots: computeSlotUsage(allRecords, new Map(cluster.targets.map(({ id, spec }) => [id, spec.speed])), profile.slots, { from: first.at, to: last.at }),
    messages: classifyMessages({ records, messageCounts: usage.messageCounts, clients: scaleCounts(results.map(({ counts }) => counts), measuredFraction), answers: answerCount }),
    forbiddenStarts: countForbiddenStarts(allRecords, profile),
    clients: results.map(({ loopDelay, lateness, cores }) => ({ loopDelay, lateness, cores })),
    idle: idleMeasurements.idle,
    zeroWorkStarts: idleMeasurements.zeroWorkStarts,
    faults
  })
}

/**
 * Starts a network stand-in with one link to each instance, which adds the client delay of the profile.
 *
 * @returns the addresses of the links, one for each instance
 */
async function startClientLinks (cluster: Cluster, profile: LoadProfile): Promise<readonly string[]> {
  const links = cluster.entries.map(({ name, callerAddress }) => ({ name, connect: callerAddress, delayMs: profile.clientDelayMs }))
  const { addresses } = await cluster.launcher.startStandIn('client-network', 'network', { links })
  return links.map(({ name }) => addresses[name]!)
}

function readResult (cluster: Cluster, plan: LoadClientPlan): LoadClientResult {
  try {
    return JSON.parse(readFileSync(plan.resultFile, 'utf8')) as LoadClientResult
  } catch (error) {
    throw new Error(`load client ${plan.name} wrote no readable result: ${String(error)}\n${cluster.launcher.readLog(plan.name).slice(-2_000)}`)
  }
}

/** Sums the counts of all clients and multiplies each sum by a factor, rounded. */
function scaleCounts (clients: readonly ClientCounts[], factor: number): ClientCounts {
  const scale = (name: keyof ClientCounts): number => Math.round(clients.reduce((sum, counts) => sum + counts[name], 0) * factor)
  return { askKeys: scale('askKeys'), submit: scale('submit'), resubmit: scale('resubmit'), wait: scale('wait'), cancel: scale('cancel'), lost: scale('lost') }
}

/** Counts the starts beyond the first one of each task whose job is not repeatable. */
function countForbiddenStarts (records: ReadonlyArray<Readonly<Record<string, unknown>>>, profile: LoadProfile): number {
  const nonRepeatableKinds = new Set(profile.jobs.filter(({ repeatable }) => !repeatable).map(({ taskKind }) => taskKind.name))
  const starts = records.filter(({ kind, taskKind }) => kind === 'start' && nonRepeatableKinds.has(String(taskKind)))
  return starts.length - new Set(starts.map(({ tag }) => tag)).size
}
