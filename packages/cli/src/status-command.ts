import { type CommandContext } from './command-context.js'
import { type ConnectionFlags, readConnection } from './connection-options.js'
import { exitCodes } from './exit-codes.js'
import { formatStatus } from './format-status.js'
import { HttpClient } from './http-client.js'
import { printOperatorFailure } from './list-commands.js'
import { OperatorClient } from './operator-client.js'

export interface StatusFlags extends ConnectionFlags {
  readonly json?: boolean
  /** Metrics addresses `IP:PORT` of instances of the platform build. */
  readonly fleet?: string | readonly string[]
}

/** Path of the status on an instance's metrics address. */
const fleetStatusPath = '/status'

/** Time limit in milliseconds for one instance to reply with its status. */
const fleetReplyTimeoutMs = 2_000

/**
 * Prints the status that one server reports: instances with their configuration version,
 * targets with their health, and shares.
 *
 * @returns the exit code
 */
export async function runStatus (context: CommandContext, flags: StatusFlags): Promise<number> {
  if (flags.fleet !== undefined) return await runFleetStatus(context, typeof flags.fleet === 'string' ? [flags.fleet] : flags.fleet, flags.json === true)
  const client = new OperatorClient(readConnection(context, flags))
  try {
    const read = await client.getStatus()
    if (read.kind !== 'status') return printOperatorFailure(context, read)
    if (flags.json === true) context.print(JSON.stringify(read.status))
    else for (const line of formatStatus(read.status, read.server)) context.print(line)
    return exitCodes.success.code
  } finally {
    await client.close()
  }
}

/** Prints the status from the first instance that replies: which instance dispatches for each domain, with tokens, queues and targets. */
async function runFleetStatus (context: CommandContext, addresses: readonly string[], isJson: boolean): Promise<number> {
  const httpClient = new HttpClient()
  try {
    for (const address of addresses) {
      const result = await httpClient.send(address, { method: 'GET', path: fleetStatusPath, timeoutMs: fleetReplyTimeoutMs })
      if (result.kind === 'reply' && result.status === 200) {
        if (isJson) context.print(JSON.stringify(result.body))
        else for (const line of formatStatus(result.body, address)) context.print(line)
        return exitCodes.success.code
      }
      context.printError(`${address}: ${result.kind === 'reply' ? `status ${result.status}` : result.message}`)
    }
    return exitCodes.unreachable.code
  } finally {
    await httpClient.close()
  }
}
