import { resultCodes, type JobAnswer, type ResultError } from '@sesamereel/state'
import { type CommandContext } from './command-context.js'
import { type ConnectionFlags, readConnection } from './connection-options.js'
import { exitCodes } from './exit-codes.js'
import { formatCount, formatDuration } from './format-table.js'
import { readJobFile } from './input-files.js'
import { JobClient, type JobOptions } from './job-client.js'
import { type JobOutcome } from './job-outcome.js'
import { createTraceContext } from './trace.js'

export interface JobFlags extends ConnectionFlags {
  /** Prints the outcome as one JSON value. */
  readonly json?: boolean
  /** Time in seconds to wait for the answer. */
  readonly timeout?: number
}

/** Time in milliseconds of one wait when progress is shown on a terminal; short, so that the progress is up to date. */
const progressMaxWaitMs = 1_000

/**
 * Submits the job in a file and prints its answer.
 *
 * @returns the exit code
 */
export async function runSubmit (context: CommandContext, file: string, flags: JobFlags): Promise<number> {
  const connection = readConnection(context, flags)
  const request = await readJobFile(context, file)
  const trace = createTraceContext(context.environment.TRACEPARENT)
  return await runJob(context, connection, flags, async (client, options) => {
    const printKey = (text: string): void => { if (flags.json !== true) context.printError(`job    ${text}\ntrace  ${trace.traceId}`) }
    return await client.submit(request, { ...options, traceparent: trace.traceparent, onKey: printKey })
  })
}

/**
 * Waits for the answer to a job that was submitted earlier and prints it.
 *
 * @returns the exit code
 */
export async function runFetch (context: CommandContext, key: string, flags: JobFlags): Promise<number> {
  return await runJob(context, readConnection(context, flags), flags, async (client, options) => await client.fetch(key, options))
}

/**
 * Cancels a job and prints its state. A job that is still running counts as success.
 *
 * @returns the exit code
 */
export async function runCancel (context: CommandContext, key: string, flags: JobFlags): Promise<number> {
  const code = await runJob(context, readConnection(context, flags), flags, async (client, options) => await client.cancel(key, options), true)
  return code === exitCodes.stillRunning.code ? exitCodes.success.code : code
}

async function runJob (context: CommandContext, connection: { servers: readonly string[], token: string }, flags: JobFlags, run: (client: JobClient, options: JobOptions) => Promise<JobOutcome>, isCancel = false): Promise<number> {
  const startedAt = performance.now()
  const showProgress = flags.json === true ? undefined : context.showProgress
  const client = new JobClient({ ...connection, ...(showProgress !== undefined && { maxWaitMs: progressMaxWaitMs }) })
  try {
    const outcome = await run(client, {
      signal: context.signal,
      ...(flags.timeout !== undefined && { timeoutMs: Number(flags.timeout) * 1_000 }),
      ...(showProgress && {
        onProgress: (done: number, total: number) => {
          showProgress(`${done} of ${formatCount(total, 'task')} done, ${formatDuration(performance.now() - startedAt)}`)
        }
      })
    })
    showProgress?.('')
    if (flags.json === true) context.print(JSON.stringify(outcome))
    else printOutcome(context, outcome, performance.now() - startedAt)
    return pickExitCode(outcome, isCancel, context.signal.aborted)
  } finally {
    await client.close()
  }
}

function printOutcome (context: CommandContext, outcome: JobOutcome, elapsedMs: number): void {
  switch (outcome.kind) {
    case 'answered':
      printAnswer(context, outcome.answer, elapsedMs)
      break
    case 'refused':
      context.printError('not run')
      printResultError(context, outcome.error)
      break
    case 'unreachable':
      context.printError(`not run: no server could be reached (${outcome.message})`)
      break
    case 'unknown':
      context.printError(`outcome unknown: ${outcome.message}`)
      if (outcome.error !== undefined) printResultError(context, outcome.error)
      context.printError(`  ask again with: sesamereel fetch ${outcome.key}`)
      break
    case 'running':
      context.printError(`running, ${outcome.done} of ${formatCount(outcome.total, 'task')} done`)
      context.printError(`  ask again with: sesamereel fetch ${outcome.key}`)
      break
  }
}

function printAnswer (context: CommandContext, answer: JobAnswer, elapsedMs: number): void {
  if (answer.state === 'complete') {
    answer.results.forEach((result, index) => { context.print(`${index}\t${JSON.stringify(result)}`) })
    context.printError(`complete, ${formatCount(answer.results.length, 'task')} in ${formatDuration(elapsedMs)}`)
    return
  }
  const { code, message, taskIndex } = answer.failure
  const row = Object.values(resultCodes).find(candidate => candidate.code === code)
  context.printError(`failed, ${code} ${row?.name ?? ''}${taskIndex === undefined ? '' : `, task ${taskIndex}`}`)
  context.printError(`  ${message}`)
  if (row !== undefined) context.printError(`  ${row.hint}`)
}

/**
 * Prints a result error with its code, name, field, message and hint.
 *
 * @param context - where to print
 * @param error - the error
 */
export function printResultError (context: CommandContext, error: ResultError): void {
  context.printError(`  ${error.code} ${error.name}${error.field === undefined ? '' : ` at ${error.field}`}: ${error.message}`)
  context.printError(`  ${error.hint}`)
}

function pickExitCode (outcome: JobOutcome, isCancel: boolean, isInterrupted: boolean): number {
  switch (outcome.kind) {
    case 'answered': {
      if (outcome.answer.state === 'complete') return exitCodes.success.code
      const isAsked = isCancel && outcome.answer.failure.code === resultCodes.JobCancelled.code
      return isAsked ? exitCodes.success.code : exitCodes.jobFailed.code
    }
    case 'refused':
      return exitCodes.refused.code
    case 'unreachable':
      return isInterrupted ? exitCodes.interrupted.code : exitCodes.unreachable.code
    case 'unknown':
      return isInterrupted ? exitCodes.interrupted.code : exitCodes.unknown.code
    case 'running':
      return isInterrupted ? exitCodes.interrupted.code : exitCodes.stillRunning.code
  }
}
