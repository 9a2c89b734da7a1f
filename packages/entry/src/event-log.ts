import loglevel, { type LogLevelDesc } from 'loglevel'

export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Writes one line of key=value pairs for each event; docs/logs.md lists the events. */
export class EventLog {
  readonly #logger = loglevel.getLogger('sesamereeld')
  readonly #fixed: string

  /**
   * @param level - lowest level that is written
   * @param fixed - fields of every line
   * @param write - receives each line; standard error when absent
   */
  constructor (level: LogLevelDesc, fixed: LogFields, write: (line: string) => void = line => { process.stderr.write(`${line}\n`) }) {
    this.#fixed = formatFields(fixed)
    this.#logger.methodFactory = () => (line: string) => { write(line) }
    this.#logger.setLevel(level, false)
    this.#logger.rebuild()
  }

  /**
   * Writes one event.
   *
   * @param event - name of the event as in docs/logs.md
   * @param fields - values of the event; undefined ones are left out
   */
  log (level: LogLevel, event: string, fields: LogFields = {}): void {
    this.#logger[level](`time=${new Date().toISOString()} level=${level} event=${event}${this.#fixed}${formatFields(fields)}`)
  }

  /**
   * Writes an unexpected error.
   *
   * @param where - part of the program that met it
   */
  logError (where: string, error: unknown): void {
    this.log('error', 'unexpected-error', { where, error: error instanceof Error ? error.stack ?? error.message : String(error) })
  }
}

function formatFields (fields: LogFields): string {
  let text = ''
  for (const [name, value] of Object.entries(fields)) {
    if (value !== undefined) text += ` ${name}=${formatValue(value)}`
  }
  return text
}

function formatValue (value: string | number | boolean): string {
  const text = String(value)
  return /^[^\s"=\\\p{Cc}]+$/u.test(text) ? text : JSON.stringify(text)
}
