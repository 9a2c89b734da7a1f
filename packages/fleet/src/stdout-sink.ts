import { Socket } from 'node:net'
import { fstatSync } from 'node:fs'
import { LineSink } from './rate-limited-log.js'

/** Size of the write buffer in bytes beyond which lines are dropped, because the reader is too slow. */
const maxBufferedBytes = 256 * 1024

const stdoutDescriptor = 1

/**
 * Writes lines to standard output without ever blocking on its reader. Through `process.stdout` Node
 * writes to pipes synchronously, so a full pipe would block the process; pipes and sockets are
 * therefore written to through a socket of their own.
 */
export class StdoutSink extends LineSink {
  readonly #stream: NodeJS.WritableStream & { readonly writableLength: number }

  constructor () {
    super()
    const stats = fstatSync(stdoutDescriptor)
    this.#stream = stats.isFIFO() || stats.isSocket() ? new Socket({ fd: stdoutDescriptor, readable: false, writable: true }) : process.stdout
    this.#stream.on('error', () => { /* The reader has closed the output; there is nowhere left to report it. */ })
  }

  override write (line: string): boolean {
    if (this.#stream.writableLength > maxBufferedBytes) return false
    this.#stream.write(`${line}\n`)
    return true
  }
}
