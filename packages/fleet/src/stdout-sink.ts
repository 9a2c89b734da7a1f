import { Socket } from 'node:net'
import { fstatSync } from 'node:fs'
import { LineSink } from './rate-limited-log.js'

/** Bytes that may wait for the reader of the output before lines are dropped. */
const maxBufferedBytes = 256 * 1024

const stdoutDescriptor = 1

/**
 * Writes lines to standard output without ever waiting for its reader. Node writes to pipes
 * synchronously through `process.stdout`, so a full pipe would stop the process.
 */
export class StdoutSink extends LineSink {
  readonly #stream: NodeJS.WritableStream & { readonly writableLength: number }

  constructor () {
    super()
    const stats = fstatSync(stdoutDescriptor)
    this.#stream = stats.isFIFO() || stats.isSocket() ? new Socket({ fd: stdoutDescriptor, readable: false, writable: true }) : process.stdout
    this.#stream.on('error', () => { /* The reader is gone; there is nowhere to report it. */ })
  }

  override write (line: string): boolean {
    if (this.#stream.writableLength > maxBufferedBytes) return false
    this.#stream.write(`${line}\n`)
    return true
  }
}
