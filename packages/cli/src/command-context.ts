import { readFile } from 'node:fs/promises'
import { text } from 'node:stream/consumers'

/** Error that ends the command: its message is printed for the user and the program exits with its exit code. */
export class CommandError extends Error {
  readonly exitCode: number

  constructor (message: string, exitCode: number) {
    super(message)
    this.exitCode = exitCode
  }
}

/** Path that replaces "-" among the arguments, since the option parser drops a lone "-". */
export const standardInputPath = '/dev/stdin'

/** Process facilities that a command uses. */
export interface CommandContext {
  /** Writes a line to the standard output. */
  readonly print: (line: string) => void
  /** Writes a line to the standard error. */
  readonly printError: (line: string) => void
  /** Replaces the last line on the terminal; absent when the standard error is not a terminal. */
  readonly showProgress?: (line: string) => void
  readonly environment: Readonly<Record<string, string | undefined>>
  /** Reads a file as text, or the standard input for `standardInputPath`. */
  readonly readText: (file: string) => Promise<string>
  /** Aborted by the first SIGINT. Reading this property installs the handler. */
  readonly signal: AbortSignal
}

/**
 * Creates the context of the running process.
 *
 * @returns the context
 */
export function createProcessContext (): CommandContext {
  const controller = new AbortController()
  let hasSignalHandler = false
  const { stderr, stdout, env, stdin } = process
  return {
    print: line => { stdout.write(`${line}\n`) },
    printError: line => { stderr.write(`${line}\n`) },
    ...(stderr.isTTY && { showProgress: (line: string) => { stderr.write(`\r\x1b[2K${line}`) } }),
    environment: env,
    readText: async file => file === standardInputPath ? await text(stdin) : await readFile(file, 'utf8'),
    // The handler is installed only when a command reads the signal: the first SIGINT terminates
    // commands that do not use it, and the second one terminates the others.
    get signal () {
      if (!hasSignalHandler) process.once('SIGINT', () => { controller.abort() })
      hasSignalHandler = true
      return controller.signal
    }
  }
}
