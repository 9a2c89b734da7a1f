import { type CommandContext, CommandError, standardInputPath } from './command-context.js'
import { exitCodes } from './exit-codes.js'
import { formatTable } from './format-table.js'
import { readTextFile } from './input-files.js'
import { explainJobOutcome } from './job-explanation.js'
import { type LogLine, parseLogLine, selectJobLines } from './job-log.js'

export interface ExplainFlags {
  /** Log files of the instances; "-" is the standard input. */
  readonly log?: string | readonly string[]
  readonly json?: boolean
}

/** Format of job ids in the platform build. */
const jobIdPattern = /^[0-9a-f]{16}$/

/** @returns whether a text is the id of a job rather than a result code */
export function isJobId (text: string): boolean {
  return jobIdPattern.test(text)
}

/**
 * Prints the log lines about one job from all instances in order of time, with the inputs of
 * each decision, and then the outcome of the job and its cause.
 *
 * @returns the exit code
 */
export async function runExplainJob (context: CommandContext, jobId: string, flags: ExplainFlags): Promise<number> {
  const files = flags.log === undefined ? [standardInputPath] : typeof flags.log === 'string' ? [flags.log] : flags.log
  const lines: LogLine[] = []
  for (const file of files) lines.push(...await readLog(context, file === '-' ? standardInputPath : file))
  const selected = selectJobLines(lines, jobId)
  if (selected.length === 0) throw new CommandError(`none of the ${lines.length} log lines names job ${jobId}; lines beyond a log's budget are counted by "lines-left-out"`, exitCodes.invalidInput.code)
  const explanation = explainJobOutcome(selected, jobId)
  if (flags.json === true) {
    context.print(JSON.stringify({ job: jobId, ...explanation, lines: selected }))
    return exitCodes.success.code
  }
  const jobStartAt = selected.find(line => line.fields.job === jobId)?.at ?? selected[0]!.at
  const rows = selected.map(line => [`${line.at - jobStartAt} ms`, line.instance, line.event, formatFields(line, jobId)])
  for (const row of formatTable(rows, { right: [0] })) context.print(row)
  context.print('')
  context.print(`${explanation.outcome}: ${explanation.cause}`)
  return exitCodes.success.code
}

async function readLog (context: CommandContext, file: string): Promise<readonly LogLine[]> {
  const content = await readTextFile(context, file)
  return content.split('\n').map(parseLogLine).filter(line => line !== undefined)
}

function formatFields (line: LogLine, jobId: string): string {
  return Object.entries(line.fields)
    .filter(([name, value]) => !(name === 'job' && value === jobId))
    .map(([name, value]) => `${name}=${typeof value === 'string' && value.includes(' ') ? JSON.stringify(value) : value}`)
    .join(' ')
}
