import { type CAC } from 'cac'

/**
 * Runs the command that the arguments of this process select. The action's result becomes the exit
 * code; when the arguments or the action fail, the error goes to standard error with exit code 2.
 *
 * @param cli - commands; an action returns its exit code
 * @param describe - formats the error
 */
export async function runCommandLine (cli: CAC, describe: (error: unknown) => string): Promise<void> {
  try {
    cli.parse(process.argv, { run: false })
    process.exitCode = await (cli.runMatchedCommand() as Promise<number> | undefined) ?? 0
  } catch (error) {
    process.stderr.write(`${describe(error)}\n`)
    process.exitCode = 2
  }
}
