import { type InstanceUsage } from './load-snapshots.js'
import { type FaultPeriod } from './load-faults.js'
import { type IdleLatencyReport } from './load-idle-latency.js'
import { type MessageReport } from './load-messages.js'
import { computeRecoverySeconds, computeSummary, countAnswersBySecond, countOutcomes, type JobSample, type Summary } from './load-samples.js'
import { type SlotUsageReport } from './load-slot-usage.js'
import { type StartRateReport } from './load-start-rate.js'

/** Options of a benchmark run. */
export interface BenchOptions {
  readonly profile: 'kalibra' | 'guild'
  readonly policy: string
  readonly faults: string
  /** Fraction of the capacity of all targets. */
  readonly load: number
  /** Length of the measured time. */
  readonly seconds: number
  readonly seed: number
  readonly warmupSeconds: number
}

/** Delays of one load client process in milliseconds, and the processor cores that it used. */
export interface LoadClientReport {
  readonly loopDelay: { readonly p50: number, readonly p99: number, readonly max: number }
  readonly lateness: Summary
  readonly cores: number
}

/** Report of a run, also the format of the JSON file. */
export interface BenchReport {
  readonly options: BenchOptions
  readonly machine: { readonly node: string, readonly cores: number, readonly loadAverage: readonly number[] }
  readonly plannedJobsPerSecond: number
  readonly speeds: ReadonlyArray<readonly number[]>
  /** Response time ÷ its lower bound, for the jobs with a complete answer. */
  readonly ratio: { readonly all: Summary, readonly oneTask: Summary, readonly manyTasks: Summary }
  /** Response time of the jobs with a complete answer, in milliseconds. */
  readonly responseMs: Summary
  readonly outcomes: Readonly<Record<string, number>>
  readonly answersPerSecond: number
  readonly taskStartsPerSecond: number
  readonly slots: SlotUsageReport
  readonly messages: MessageReport
  /** Starts beyond the first one of tasks whose job is not repeatable. */
  readonly forbiddenStarts: number
  /** Resources that the instances used. */
  readonly entries: { readonly cores: number, readonly startsPerCore: number, readonly largestResidentMb: number }
  readonly clients: readonly LoadClientReport[]
  readonly idle: IdleLatencyReport
  /** Start rate of one instance with tasks of no work. */
  readonly starts: StartRateReport
  readonly faults: readonly FaultPeriod[]
  /** Seconds from the end of the last fault until the throughput reaches 90% of that before the first one; null when it does not. Absent without faults. */
  readonly recoverySeconds?: number | null
  readonly answersBySecond: readonly number[]
}

/** Measurements from which the report is computed. */
export interface ReportInput {
  readonly options: BenchOptions
  readonly machine: BenchReport['machine']
  readonly plannedJobsPerSecond: number
  readonly speeds: BenchReport['speeds']
  /** Samples of the whole load, including the warm-up. */
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
 * Computes the report of a run. The statistics of jobs leave out those that arrived during the
 * warm-up; `answersBySecond` includes them.
 */
export function computeReport (input: ReportInput): BenchReport {
  const { options, samples, usage } = input
  const warmupMs = options.warmupSeconds * 1_000
  const measured = samples.filter(({ arrivalMs }) => arrivalMs >= warmupMs)
  const complete = measured.filter(({ outcome }) => outcome === 'complete')
  const summarizeRatio = (jobs: readonly JobSample[]): Summary => computeSummary(jobs.map(({ responseMs, idealMs }) => responseMs / idealMs))
  const answersBySecond = countAnswersBySecond(samples, options.warmupSeconds + options.seconds)
  const { faults } = input
  const recovery = faults.length === 0
    ? {}
    : { recoverySeconds: computeRecoverySeconds(answersBySecond, options.warmupSeconds, { from: Math.floor(Math.min(...faults.map(({ from }) => from))), to: Math.max(...faults.map(({ to }) => to)) }) ?? null }
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
    taskStartsPerSecond: input.taskStarts / usage.seconds,
    slots: input.slots,
    messages: input.messages,
    forbiddenStarts: input.forbiddenStarts,
    entries: { cores: usage.cpuSeconds / usage.seconds, startsPerCore: input.taskStarts / usage.cpuSeconds, largestResidentMb: usage.largestResidentMb },
    clients: input.clients,
    idle: input.idle,
    starts: input.zeroWorkStarts,
    faults,
    ...recovery,
    answersBySecond
  }
}
