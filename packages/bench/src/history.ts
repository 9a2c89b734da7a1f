import { cac } from 'cac'
import { runCommandLine } from './command-line.js'
import { countBy, formatCounts } from './counts.js'
import { describeStack } from './errors.js'
import { type Invariant } from './history-records.js'
import { runHistory } from './history-runner.js'
import { computePeakParallelism } from './peak-parallelism.js'

interface Options {
  readonly seed: number
  readonly seconds: number
  readonly callers: number
  readonly operators: number
  readonly faults: number
  readonly keep?: boolean
}

const invariants: readonly Invariant[] = ['I1', 'I2', 'I3', 'I4', 'I5', 'I6', 'I7', 'I8', 'I9']

function print (line: string): void {
  process.stdout.write(line + '\n')
}

/** Runs the history check and prints a summary; returns the exit code. */
async function run (options: Options): Promise<number> {
  const { seed, seconds } = options
  const { history, operations, violations, problems, folder } = await runHistory({ seed, seconds, callers: options.callers, operators: options.operators, faultLoops: options.faults, keepFolder: options.keep === true })
  const answers = countBy(history.calls.map(({ op, reply }) => `${op}:${reply.kind === 'answered' ? reply.status : reply.kind}`))
  print(`seed ${seed}, ${seconds} s`)
  print(`operations: ${formatCounts(operations)}`)
  print(`calls: ${formatCounts([...answers].sort(([a], [b]) => a < b ? -1 : 1))}`)
  print(`faults: ${formatCounts(countBy(history.faults.map(({ kind }) => kind)))}`)
  print(`jobs=${history.jobs.length} starts=${history.starts.length} configurations=${history.configurations.length}`)
  const customers = [...new Set(history.starts.map(({ customer }) => customer))].sort()
  print(`most parallel tasks: ${formatCounts(customers.map(name => [name, computePeakParallelism(history.starts.filter(({ customer }) => customer === name), 0)]))}`)
  const found = countBy(violations.map(({ invariant }) => invariant))
  print(`violations: ${formatCounts(invariants.map(invariant => [invariant, found.get(invariant) ?? 0]))}`)
  for (const { invariant, message } of violations.slice(0, 20)) print(`  ${invariant}: ${message}`)
  for (const problem of problems) print(`problem: ${problem}`)
  if (folder !== undefined) print(`logs, records and history are in ${folder}`)
  return violations.length + problems.length === 0 ? 0 : 1
}

const cli = cac('history')
cli.command('', 'Run random clients under random faults and check the history against the invariants')
  .option('--seed <number>', 'Seed of all random choices', { default: 1 })
  .option('--seconds <number>', 'Length of the run', { default: 30 })
  .option('--callers <number>', 'Callers at work at once', { default: 24 })
  .option('--operators <number>', 'Operators at work at once', { default: 2 })
  .option('--faults <number>', 'Faults that may last at once', { default: 3 })
  .option('--keep', 'Keep logs, records and the history of a run that fails')
  .action(async (options: Options) => await run(options))
cli.help()
await runCommandLine(cli, describeStack)
