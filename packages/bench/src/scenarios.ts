import { readdirSync, readFileSync } from 'node:fs'
import { basename, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { cac } from 'cac'
import { parse } from 'yaml'
import { z } from 'zod'
import { runCommandLine } from './command-line.js'
import { formatCounts } from './counts.js'
import { describeError } from './errors.js'
import { type Scenario, scenarioSchema } from './scenario-schema.js'
import { type ScenarioResult, ScenarioRunner } from './scenario-runner.js'

const scenarioFolder = fileURLToPath(new URL('../../../../scenarios', import.meta.url))

/** Problems of one scenario that are printed. */
const maxPrintedProblems = 12

interface Options {
  readonly only?: string | readonly string[]
  readonly list?: boolean
  readonly seed: number
  readonly keep?: boolean
}

/**
 * Loads all scenarios and validates them.
 *
 * @returns the scenarios in the order of their file names
 * @throws Error that names every problem of the first invalid file
 */
function loadScenarios (): readonly Scenario[] {
  return readdirSync(scenarioFolder).filter(file => file.endsWith('.yaml')).sort().map(file => {
    const read = scenarioSchema.safeParse(parse(readFileSync(join(scenarioFolder, file), 'utf8')))
    if (!read.success) throw new Error(`${file}: ${z.prettifyError(read.error)}`)
    if (`${read.data.name}.yaml` !== basename(file)) throw new Error(`${file}: the name is ${JSON.stringify(read.data.name)}, expected that of the file`)
    return read.data
  })
}

/** Runs or lists the selected scenarios and prints their results; returns the exit code. */
async function runScenarios ({ only, list, seed, keep }: Options): Promise<number> {
  const names = only === undefined ? undefined : typeof only === 'string' ? only.split(',') : only
  const all = loadScenarios()
  const unknown = names?.filter(name => !all.some(scenario => scenario.name === name)) ?? []
  if (unknown.length > 0) throw new Error(`unknown scenarios: ${unknown.join(', ')}; known: ${all.map(({ name }) => name).join(', ')}`)
  const selected = all.filter(({ name }) => names === undefined || names.includes(name))
  let failed = 0
  for (const scenario of selected) {
    process.stdout.write(`${scenario.name} (${scenario.invariants.join(', ')}): ${scenario.faults.join('; ')}\n`)
    if (list === true) continue
    const startedAt = performance.now()
    const { problems, figures, folder } = await new ScenarioRunner(scenario, Number(seed)).run(keep).catch((error: unknown): ScenarioResult => ({ problems: [describeError(error)], figures: {} }))
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1)
    const text = formatCounts(Object.entries(figures))
    process.stdout.write(`  ${problems.length === 0 ? 'pass' : 'FAIL'} in ${seconds} s ${text}\n`)
    for (const problem of problems.slice(0, maxPrintedProblems)) process.stdout.write(`    ${problem}\n`)
    if (problems.length > maxPrintedProblems) process.stdout.write(`    and ${problems.length - maxPrintedProblems} more\n`)
    if (folder !== undefined) process.stdout.write(`    logs, records and history are in ${folder}\n`)
    if (problems.length > 0) failed++
  }
  if (list === true) return 0
  process.stdout.write(`${selected.length - failed} of ${selected.length} scenarios passed\n`)
  return failed === 0 ? 0 : 1
}

const cli = cac('scenarios')
cli.command('', 'Run the scenarios of the folder /scenarios')
  .option('--only <name>', 'Run only this scenario; may be repeated or hold names separated by commas')
  .option('--list', 'Print the scenarios without running them')
  .option('--seed <number>', 'Varies the waits between steps by up to 5%', { default: 1 })
  .option('--keep', 'Keep logs, records and the history of scenarios that fail')
  .action(async (options: Options) => await runScenarios(options))
cli.help()
await runCommandLine(cli, describeError)
