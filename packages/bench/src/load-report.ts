import { type InstanceUsage } from './load-snapshots.js'
import { type FaultPeriod } from './load-faults.js'
import { type IdleLatencyReport } from './load-idle-latency.js'
import { type MessageReport } from './load-messages.js'
import { computeRecoverySeconds, computeSummary, countAnswersBySecond, countOutcomes, type JobSample, type Summary } from './load-samples.js'
import { type SlotUsageReport } from './load-slot-usage.js'
import { type StartRateReport } from './load-start-rate.js'

/** What the bench was asked to do. */
export interface BenchOptions {
  readonly profile: 'kalibra' | 'guild'
  readonly policy: string
  readonly faults: string
  readonly load: number
  readonly seconds: number
  readonly seed: number
  readonly warmupSeconds: number
}

/** Delays of one load client process, in milliseconds. */
export interface LoadClientReport {
  readonly loopDelay: { readonly p50: number, readonly p99: number, readonly max: number }
  readonly lateness: Summary
  readonly cores: number
}

/** Everything that a run measured; the form of the JSON file. */
export interface BenchReport {
  readonly options: BenchOptions
  readonly machine: { readonly node: string, readonly cores: number, readonly loadAverage: readonly number[] }
  readonly plannedJobsPerSecond: number
  readonly speeds: ReadonlyArray<readonly number[]>
  /** Response time ÷ ideal of the jobs with a complete answer. */
  readonly ratio: { readonly all: Summary, readonly oneTask: Summary, readonly manyTasks: Summary }
  /** Response time of the jobs with a complete answer, in milliseconds. */
  readonly responseMs: Summary
  readonly outcomes: Readonly<Record<string, number>>
  readonly answersPerSecond: number
  readonly taskStartsPerSecond: number
  readonly slots: SlotUsageReport
  readonly messages: MessageReport
  /** Tasks of not repeatable jobs that started more than once. */
  readonly forbiddenStarts: number
  readonly entries: { readonly cores: number, readonly startsPerCore: number, readonly largestResidentMb: number }
  readonly clients: readonly LoadClientReport[]
  readonly idle: IdleLatencyReport
  readonly starts: StartRateReport
  readonly faults: readonly FaultPeriod[]
  /** Seconds after the last fault until 90% of the throughput before the first one; null when not reached. */
  readonly recoverySeconds?: number | null
  readonly answersBySecond: readonly number[]
}

/** What the report is computed from. */
export interface ReportInput {
  readonly options: BenchOptions
  readonly machine: BenchReport['machine']
  readonly plannedJobsPerSecond: number
  readonly speeds: BenchReport['speeds']
  /** Samples of the whole load, with the warm-up. */
  readonly samples: readonly JobSample[]
  readonly usage: InstanceUsage
  readonly taskStarts: number
  readonly slots: SlotUsageReport
  readonly messages: MessageReport
  readonly forbiddenStarts: number
  readonly clients: readonly LoadClientReport[]
  readonly idle: IdleLatencyReport
  readonly zeroWorkStarts: StartRateReport
  readonly faults: readonly FaultPeriod[]
}

/**
 * Computes the report of a run.
 */
export function computeReport (input: ReportInput): BenchReport {
  const { options, samples, usage: use } = input
  const warmupMs = options.warmupSeconds * 1_000
  const measured = samples.filter(({ arrivalMs }) => arrivalMs >= warmupMs)
  const complete = measured.filter(({ outcome }) => outcome === 'complete')
  const summarizeRatio = (list: readonly JobSample[]): Summary => computeSummary(list.map(({ responseMs, idealMs }) => responseMs / idealMs))
  const bins = countAnswersBySecond(samples, options.warmupSeconds + options.seconds)
  const { faults } = input
  const recovery = faults.length === 0
    ? {}
    : { recoverySeconds: computeRecoverySeconds(bins, options.warmupSeconds, { from: Math.floor(Math.min(...faults.map(({ from }) => from))), to: Math.max(...faults.map(({ to }) => to)) }) ?? null }
  return {
    options,
    machine: input.machine,
    plannedJobsPerSecond: input.plannedJobsPerSecond,
    speeds: input.speeds,
    ratio: {
      all: summarizeRatio(complete),
      oneTask: summarizeRatio(complete.filter(({ tasks }) => tasks === 1)),
      manyTasks: summarizeRatio(complete.filter(({ tasks }) => tasks > 1))
    },
    responseMs: computeSummary(complete.map(({ responseMs }) => responseMs)),
    outcomes: countOutcomes(measured),
    answersPerSecond: complete.length / options.seconds,
    taskStartsPerSecond: input.taskStarts / use.seconds,
    slots: input.slots,
    messages: input.messages,
    forbiddenStarts: input.forbiddenStarts,
    entries: { cores: use.cpuSeconds / use.seconds, startsPerCore: input.taskStarts / use.cpuSeconds, largestResidentMb: use.largestResidentMb },
    clients: input.clients,
    idle: input.idle,
    starts: input.zeroWorkStarts,
    faults,
    ...recovery,
    answersBySecond: bins
  }
}
