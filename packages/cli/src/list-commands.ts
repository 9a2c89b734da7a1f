import { writeFile } from 'node:fs/promises'
import { type ListName } from '@sesamereel/protocol'
import { type CommandContext, CommandError } from './command-context.js'
import { type ConnectionFlags, readConnection } from './connection-options.js'
import { exitCodes } from './exit-codes.js'
import { formatCount, formatTable } from './format-table.js'
import { readListFile } from './input-files.js'
import { printResultError } from './job-commands.js'
import { compareLists, formatEntryValue, type ListChange } from './list-diff.js'
import { type EditOutcome, OperatorClient, type OperatorFailure } from './operator-client.js'

export interface ListFlags extends ConnectionFlags {
  readonly json?: boolean
  /** Has the server check the edit without applying it. */
  readonly dryRun?: boolean
  /** Version that the file is based on, when the file does not state it. */
  readonly base?: number
  /** File to write the list and its version to. */
  readonly out?: string
}

/**
 * Runs one of the actions get, diff and apply on the plans list or the limits list.
 *
 * @returns the exit code
 */
export async function runList (context: CommandContext, list: ListName, action: string, file: string | undefined, flags: ListFlags): Promise<number> {
  if (!['get', 'diff', 'apply'].includes(action)) {
    throw new CommandError(`unknown action "${action}", expected get, diff or apply`, exitCodes.invalidInput.code)
  }
  if (action !== 'get' && file === undefined) {
    throw new CommandError(`${list} ${action} needs a file, or "-" for the standard input`, exitCodes.invalidInput.code)
  }
  const client = new OperatorClient(readConnection(context, flags))
  try {
    if (action === 'get') return await runGet(context, client, list, flags)
    return action === 'diff' ? await runDiff(context, client, list, file!, flags) : await runApply(context, client, list, file!, flags)
  } finally {
    await client.close()
  }
}

async function runGet (context: CommandContext, client: OperatorClient, list: ListName, flags: ListFlags): Promise<number> {
  const read = await client.getLists()
  if (read.kind !== 'lists') return printOperatorFailure(context, read)
  const { version } = read.lists
  const content = read.lists[list]
  if (flags.out !== undefined) {
    await writeFile(flags.out, `${JSON.stringify({ version, [list]: content }, null, 2)}\n`)
    context.printError(`version ${version}, ${formatCount(Object.keys(content).length, list === 'plans' ? 'customer' : 'plan')} written to ${flags.out}`)
  } else if (flags.json === true) {
    context.print(JSON.stringify({ version, [list]: content }, null, 2))
  } else {
    context.print(`version ${version}`)
    for (const line of formatTable(Object.entries(content).sort().map(([entry, value]) => [entry, formatEntryValue(value)]))) context.print(line)
  }
  return exitCodes.success.code
}

async function runDiff (context: CommandContext, client: OperatorClient, list: ListName, file: string, flags: ListFlags): Promise<number> {
  const { content } = await readListFile(context, list, file)
  const read = await client.getLists()
  if (read.kind !== 'lists') return printOperatorFailure(context, read)
  const changes = compareLists(read.lists[list], content)
  if (flags.json === true) context.print(JSON.stringify({ version: read.lists.version, changes }))
  else printChanges(context, changes, `from version ${read.lists.version} to ${file}`)
  return exitCodes.success.code
}

async function runApply (context: CommandContext, client: OperatorClient, list: ListName, file: string, flags: ListFlags): Promise<number> {
  const { version, content } = await readListFile(context, list, file)
  const baseVersion = flags.base === undefined ? version : Number(flags.base)
  if (baseVersion === undefined || !Number.isInteger(baseVersion)) {
    throw new CommandError(`${file} does not say which version it is based on: get it with "sesamereel ${list} get --out FILE", or use --base VERSION`, exitCodes.invalidInput.code)
  }
  const outcome = await client.editList({ list, baseVersion, content, dryRun: flags.dryRun ?? false })
  if (flags.json === true) context.print(JSON.stringify(outcome))
  else printEdit(context, outcome, list, file)
  return pickExitCode(outcome)
}

function printEdit (context: CommandContext, outcome: EditOutcome, list: ListName, file: string): void {
  switch (outcome.kind) {
    case 'applied':
      context.print(`applied, version ${outcome.version}`)
      break
    case 'checked':
      context.print(`valid, nothing written; it would apply to version ${outcome.baseVersion}`)
      break
    case 'conflict':
      context.printError('conflict, nothing written')
      printResultError(context, outcome.error)
      if (outcome.current !== undefined) {
        context.printError(`  version ${outcome.current.version} was made by edit ${outcome.current.editId}`)
        if (outcome.since.length > 0) context.printError('  changed since the version of the edit:')
        for (const line of formatTable(outcome.since.map(change => [changeSigns[change.kind], change.list, change.entry, formatValues(change)]), { indent: '    ' })) context.printError(line)
        context.printError(`  ${file} would now make these changes to the ${list}:`)
        for (const line of formatChanges(outcome.changes)) context.printError(`  ${line}`)
        context.printError(`  To make exactly these changes: sesamereel ${list} apply ${file} --base ${outcome.current.version}`)
      }
      break
    case 'unknown':
      context.printError(`outcome unknown: ${outcome.message}`)
      context.printError(`  The edit id is ${outcome.editId}. Compare with: sesamereel ${list} diff ${file}`)
      break
    default:
      printOperatorFailure(context, outcome)
  }
}

function printChanges (context: CommandContext, changes: readonly ListChange[], title: string): void {
  context.print(`${changes.length === 0 ? 'no changes' : formatCount(changes.length, 'change')} ${title}`)
  for (const line of formatChanges(changes)) context.print(line)
}

const changeSigns = { added: '+', removed: '-', changed: '~' } as const

function formatChanges (changes: readonly ListChange[]): readonly string[] {
  return formatTable(changes.map(change => [changeSigns[change.kind], change.entry, formatValues(change)]), { indent: '  ' })
}

function formatValues ({ kind, before, after }: ListChange): string {
  return kind === 'changed' ? `${before} -> ${after}` : `${before}${after}`
}

/**
 * Prints why an operator's request failed.
 *
 * @returns the exit code
 */
export function printOperatorFailure (context: CommandContext, failure: OperatorFailure): number {
  if (failure.kind === 'refused') {
    context.printError('refused')
    printResultError(context, failure.error)
    return exitCodes.refused.code
  }
  context.printError(`no server could be reached (${failure.message})`)
  return exitCodes.unreachable.code
}

function pickExitCode (outcome: EditOutcome): number {
  switch (outcome.kind) {
    case 'applied':
    case 'checked':
      return exitCodes.success.code
    default:
      return exitCodes[outcome.kind].code
  }
}
