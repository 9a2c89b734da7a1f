import { readFile } from 'node:fs/promises'
import { text } from 'node:stream/consumers'

/** A message for the user that ends the command, with its exit code. */
export class CommandError extends Error {
  readonly exitCode: number

  constructor (message: string, exitCode: number) {
    super(message)
    this.exitCode = exitCode
  }
}

/** Stands for the standard input among the arguments, since the option parser drops a lone "-". */
export const standardInputPath = '/dev/stdin'

/** What a command uses of its process. */
export interface CommandContext {
  /** Writes a line to the standard output. */
  readonly print: (line: string) => void
  /** Writes a line to the standard error. */
  readonly printError: (line: string) => void
  /** Replaces the last line on the terminal; absent when the standard error is none. */
  readonly showProgress?: (line: string) => void
  readonly environment: Readonly<Record<string, string | undefined>>
  /** Reads a file, or the standard input for `standardInput`. */
  readonly readText: (file: string) => Promise<string>
  /** Aborted by the first interrupt of the user. */
  readonly signal: AbortSignal
}

/**
 * Creates the context of the running process.
 *
 * @returns the context
 */
export function createProcessContext (): CommandContext {
  const controller = new AbortController()
  let isHandled = false
  const { stderr, stdout, env, stdin } = process
  return {
    print: line => { stdout.write(`${line}\n`) },
    printError: line => { stderr.write(`${line}\n`) },
    ...(stderr.isTTY && { showProgress: (line: string) => { stderr.write(`\r\x1b[2K${line}`) } }),
    environment: env,
    readText: async file => file === standardInputPath ? await text(stdin) : await readFile(file, 'utf8'),
    // Commands that do not use the signal are ended by the first interrupt, the others by the second.
    get signal () {
      if (!isHandled) process.once('SIGINT', () => { controller.abort() })
      isHandled = true
      return controller.signal
    }
  }
}
