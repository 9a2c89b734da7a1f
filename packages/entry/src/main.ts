#!/usr/bin/env node
import { readFile } from 'node:fs/promises'
import { formatProblem, type Settings } from '@sesamereel/protocol'
import { cac } from 'cac'
import { exitCodes, Instance } from './instance.js'
import { parseSettings } from './load-settings.js'

interface Flags {
  readonly settings?: string
  readonly check?: boolean
}

const cli = cac('sesamereeld')
cli.command('', 'Run one entry instance')
  .option('--settings <file>', 'settings of the instance in JSON')
  .option('--check', 'check the settings and exit')
  .example('  sesamereeld --settings /etc/sesamereel/settings.json')
  .action(async (flags: Flags) => { process.exitCode = await runProgram(flags) })
cli.help()
cli.version('0.1.0')

try {
  cli.parse(process.argv, { run: false })
  await cli.runMatchedCommand()
} catch (error) {
  printError(error instanceof Error ? error.message : String(error))
  process.exitCode = exitCodes.invalidSettings
}

async function runProgram (flags: Flags): Promise<number> {
  if (typeof flags.settings !== 'string') {
    printError('the option --settings FILE is missing')
    return exitCodes.invalidSettings
  }
  const settings = await loadSettings(flags.settings)
  if (settings === undefined) return exitCodes.invalidSettings
  if (flags.check === true) {
    process.stdout.write(`${flags.settings}: valid\n`)
    return 0
  }
  return await runInstance(settings)
}

async function loadSettings (file: string): Promise<Settings | undefined> {
  let text: string
  try {
    text = await readFile(file, 'utf8')
  } catch (error) {
    printError(`${file}: ${error instanceof Error ? error.message : String(error)}`)
    return undefined
  }
  const loaded = parseSettings(text)
  if (loaded.kind === 'loaded') return loaded.settings
  for (const problem of loaded.problems) printError(`${file}: ${formatProblem(problem)}`)
  return undefined
}

async function runInstance (settings: Settings): Promise<number> {
  const instance = new Instance(settings)
  let signalCount = 0
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      // A second signal ends the process at once, without completing the planned stop.
      if (++signalCount > 1) process.exit(exitCodes.failed)
      instance.stop()
    })
  }
  try {
    await instance.start()
  } catch (error) {
    printError(error instanceof Error ? error.message : String(error))
    return exitCodes.failed
  }
  const code = await instance.ended
  // Exits explicitly, because open connections to unresponsive targets would keep the process running.
  process.exit(code)
}

function printError (text: string): void {
  process.stderr.write(`sesamereeld: ${text}\n`)
}
