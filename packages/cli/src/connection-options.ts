import { addressSchema } from '@sesamereel/protocol'
import { type CommandContext, CommandError } from './command-context.js'
import { exitCodes } from './exit-codes.js'

/** Options of every command that calls a server. */
export interface ConnectionFlags {
  /** One or more `IP:PORT`. */
  readonly server?: string | readonly string[]
  readonly token?: string | number
}

/** Servers to call, and the token to send. */
export interface Connection {
  readonly servers: readonly string[]
  readonly token: string
}

/**
 * Reads servers and token from the options; the defaults are SESAMEREEL_SERVER (several
 * servers separated by commas) and SESAMEREEL_TOKEN.
 *
 * @param context - provides the environment variables
 * @param flags - options of the command
 * @returns the connection
 * @throws CommandError whose message lists all missing and invalid values
 */
export function readConnection (context: CommandContext, flags: ConnectionFlags): Connection {
  const given = flags.server ?? context.environment.SESAMEREEL_SERVER ?? ''
  const servers = (typeof given === 'string' ? given.split(',') : given).map(server => String(server).trim()).filter(server => server !== '')
  const token = String(flags.token ?? context.environment.SESAMEREEL_TOKEN ?? '')
  const problems = servers.filter(server => !addressSchema.safeParse(server).success).map(server => `server "${server}" is not of the form IP:PORT`)
  if (servers.length === 0) problems.push('no server: use --server IP:PORT or set SESAMEREEL_SERVER')
  // The option parser converts digits to a number, which loses leading zeros and digits beyond 2^53.
  if (typeof flags.token === 'number') problems.push('a token of digits only must be set as SESAMEREEL_TOKEN')
  if (token === '') problems.push('no token: use --token TOKEN or set SESAMEREEL_TOKEN')
  if (problems.length > 0) throw new CommandError(problems.join('\n'), exitCodes.invalidInput.code)
  return { servers, token }
}
