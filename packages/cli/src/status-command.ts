import { type CommandContext } from './command-context.js'
import { type ConnectionFlags, readConnection } from './connection-options.js'
import { exitCodes } from './exit-codes.js'
import { formatStatus } from './format-status.js'
import { printFailure } from './list-commands.js'
import { OperatorClient } from './operator-client.js'

export interface StatusFlags extends ConnectionFlags {
  readonly json?: boolean
}

/**
 * Prints the status as one server sees it: instances with their configuration version, targets
 * with their health, and shares.
 *
 * @returns the exit code
 */
export async function runStatus (context: CommandContext, flags: StatusFlags): Promise<number> {
  const client = new OperatorClient(readConnection(context, flags))
  try {
    const read = await client.getStatus()
    if (read.kind !== 'status') return printFailure(context, read)
    if (flags.json === true) context.print(JSON.stringify(read.status))
    else for (const line of formatStatus(read.status, read.server)) context.print(line)
    return exitCodes.success.code
  } finally {
    await client.close()
  }
}
