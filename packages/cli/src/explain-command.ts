import { resultCodes, type ResultCode } from '@sesamereel/state'
import { type CommandContext, CommandError } from './command-context.js'
import { exitCodes } from './exit-codes.js'
import { formatTable } from './format-table.js'

/**
 * Prints the explanation of a result code, or a table of all result codes.
 *
 * @param code - number or name of a result code, in any case; undefined for the table
 *
 * @returns the exit code
 */
export function runExplainResultCode (context: CommandContext, code: string | undefined): number {
  const rows: readonly ResultCode[] = Object.values(resultCodes)
  if (code === undefined) {
    for (const line of formatTable(rows.map(row => [String(row.code), row.name, row.title]))) context.print(line)
    return exitCodes.success.code
  }
  const row = rows.find(candidate => String(candidate.code) === code || candidate.name.toLowerCase() === code.toLowerCase())
  if (row === undefined) throw new CommandError(`unknown result code "${code}"; "sesamereel explain" lists all codes`, exitCodes.invalidInput.code)
  context.print(`${row.code} ${row.name}: ${row.title}.`)
  context.print(`  ${row.notRun ? 'Nothing of the request was or will be run.' : 'It makes no claim about whether anything was run.'}`)
  context.print(`  ${row.hint}`)
  return exitCodes.success.code
}
