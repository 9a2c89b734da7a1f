import { closeSync, openSync, readFileSync, writeSync } from 'node:fs'

/**
 * Log of what happened at a stand-in, one JSON line for each event, each with the wall-clock time
 * `at` in milliseconds. With a file, each line is written before `append` returns, so that the
 * records survive a killed process.
 */
export class RecordLog {
  readonly #lines: string[] = []
  readonly #path: string | undefined
  readonly #file: number | undefined

  /**
   * @param path - file that receives the records; kept in memory when absent
   */
  constructor (path?: string) {
    this.#path = path
    this.#file = path === undefined ? undefined : openSync(path, 'a')
  }

  /**
   * Appends one record.
   *
   * @param record - fields of the record; `at` may be given to replace the present time
   */
  append (record: Readonly<Record<string, unknown>>): void {
    const line = JSON.stringify({ at: Date.now(), ...record })
    if (this.#file === undefined) this.#lines.push(line)
    else writeSync(this.#file, line + '\n')
  }

  /**
   * Renders all records as JSON lines.
   *
   * @returns the text, with a line feed after each record
   */
  render (): string {
    if (this.#path !== undefined) return readFileSync(this.#path, 'utf8')
    return this.#lines.map(line => line + '\n').join('')
  }

  /** Closes the file. */
  close (): void {
    if (this.#file !== undefined) closeSync(this.#file)
  }
}
