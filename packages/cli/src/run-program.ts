import { createCommandLine } from './command-line.js'
import { type CommandContext, CommandError, standardInputPath } from './command-context.js'
import { exitCodes } from './exit-codes.js'

/**
 * Runs the program once.
 *
 * @param context - process facilities that the program uses
 * @param args - arguments after the name of the program
 * @returns the exit code
 */
export async function runProgram (context: CommandContext, args: readonly string[]): Promise<number> {
  const cli = createCommandLine(context)
  try {
    cli.parse(['node', 'sesamereel', ...args.map(arg => arg === '-' ? standardInputPath : arg)], { run: false })
    if (cli.options.help === true) return exitCodes.success.code
    if (cli.matchedCommand === undefined) {
      if (args.length === 0) {
        cli.outputHelp()
        return exitCodes.success.code
      }
      throw new CommandError(`unknown command "${args[0]}"; "sesamereel --help" lists all commands`, exitCodes.invalidInput.code)
    }
    return await cli.runMatchedCommand()
  } catch (error) {
    if (error instanceof CommandError) {
      context.printError(error.message)
      return error.exitCode
    }
    // The command line library throws errors of this name for invalid options and missing arguments.
    if (error instanceof Error && error.name === 'CACError') {
      context.printError(`${error.message}; see "sesamereel ${args[0] ?? ''} --help"`)
      return exitCodes.invalidInput.code
    }
    throw error
  }
}
