import { formatCounts } from './counts.js'
import { type BenchReport } from './load-report.js'
import { type Summary } from './load-samples.js'

/**
 * Formats a report for a terminal.
 *
 * @returns lines without line breaks
 */
export function formatReport (report: BenchReport): readonly string[] {
  const { options, ratio, messages, slots, entries, idle, starts } = report
  return [
    `profile ${options.profile}, policy ${options.policy}, load ${options.load}, faults ${options.faults}, ${options.seconds} s after ${options.warmupSeconds} s, seed ${options.seed}`,
    `Node.js ${report.machine.node}, ${report.machine.cores} cores, load average ${report.machine.loadAverage.map(value => value.toFixed(1)).join(' ')}`,
    '',
    ...formatRows([
      ['answer / ideal', 'p50', 'p99', 'mean', 'max', 'jobs'],
      ['  all jobs', ...formatSummary(ratio.all, 3)],
      ['  one task', ...formatSummary(ratio.oneTask, 3)],
      ['  many tasks', ...formatSummary(ratio.manyTasks, 3)],
      ['response time, ms', ...formatSummary(report.responseMs, 0)],
      ['added when idle, ms', ...formatSummary(idle.all, 2)],
      ['  at the owner', ...formatSummary(idle.atOwner, 2)],
      ['  forwarded', ...formatSummary(idle.forwarded, 2)],
      ['  whole response', ...formatSummary(idle.job, 2)],
      ['  direct request', ...formatSummary(idle.direct, 2)]
    ]),
    '',
    ...formatRows([
      ['jobs', formatCounts(Object.entries(report.outcomes), 'list')],
      ['rate', `${report.answersPerSecond.toFixed(1)} answers/s, planned ${report.plannedJobsPerSecond.toFixed(1)} jobs/s, ${report.taskStartsPerSecond.toFixed(0)} task starts/s`],
      ['slots', `${(slots.busy * 100).toFixed(0)}% busy, ${(slots.work * 100).toFixed(0)}% of the work they could do, mean speed ${slots.meanSpeed.toFixed(2)} while running tasks, ${slots.capacitySpeed.toFixed(2)} of all slots`],
      ['messages', `wasted ${(messages.wastedPart * 100).toFixed(2)}%`],
      ['  useful', formatCounts(Object.entries(messages.useful), 'list')],
      ['  wasted', formatCounts(Object.entries(messages.wasted), 'list')],
      ['  per answer', formatCounts(Object.entries(messages.overheadPerAnswer).map(([name, count]) => [name, count.toFixed(2)]), 'list')],
      ['forbidden starts', String(report.forbiddenStarts)],
      ['instances', `${entries.cores.toFixed(2)} cores, ${entries.startsPerCore.toFixed(0)} starts/s per core under this load, largest ${entries.largestResidentMb.toFixed(0)} MB`],
      ['zero-work starts', `${starts.startsPerCore.toFixed(0)} starts/s per core in one instance (${starts.starts} starts, ${starts.cpuSeconds.toFixed(2)} s of a core in ${starts.seconds.toFixed(1)} s)`],
      ...report.clients.map(({ loopDelay, lateness, cores }, index) => [
        `load client ${index + 1}`,
        `${cores.toFixed(2)} cores, event loop p99 ${loopDelay.p99.toFixed(1)} ms max ${loopDelay.max.toFixed(1)} ms, submission lateness p50 ${lateness.p50.toFixed(1)} ms p99 ${lateness.p99.toFixed(1)} ms`
      ])
    ]),
    ...formatFaults(report)
  ]
}

function formatFaults (report: BenchReport): readonly string[] {
  if (report.faults.length === 0) return []
  const recovery = report.recoverySeconds === null || report.recoverySeconds === undefined
    ? 'throughput did not recover to 90% within the run'
    : `throughput recovered to 90% ${report.recoverySeconds} s after the last fault`
  return ['', ...formatRows(report.faults.map(({ name, from, to }) => [name, `${from.toFixed(1)} s to ${to.toFixed(1)} s`])), recovery, `answers per second: ${report.answersBySecond.join(' ')}`]
}

function formatSummary ({ p50, p99, mean, max, count }: Summary, digits: number): readonly string[] {
  return [...[p50, p99, mean, max].map(value => value.toFixed(digits)), String(count)]
}

/** Aligns columns two spaces apart. In rows of three or more cells, all cells but the first are right-aligned. */
function formatRows (rows: ReadonlyArray<readonly string[]>): readonly string[] {
  const widths: number[] = []
  for (const row of rows) row.forEach((cell, column) => { widths[column] = Math.max(widths[column] ?? 0, cell.length) })
  return rows.map(row => row.map((cell, column) => column === 0 ? cell.padEnd(widths[0]!) : row.length > 2 ? cell.padStart(Math.max(8, widths[column]!)) : cell).join('  ').trimEnd())
}
