import loglevel, { type LogLevelDesc } from 'loglevel'

export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Logs each event as one line of key=value pairs. The events are listed in docs/logs.md. */
export class EventLog {
  readonly #logger = loglevel.getLogger('sesamereeld')
  readonly #commonFieldsText: string

  /**
   * @param level - minimum level of the events that are written
   * @param commonFields - fields that are added to every line
   * @param write - receives each line, without a line break; by default the line goes to standard error
   */
  constructor (level: LogLevelDesc, commonFields: LogFields, write: (line: string) => void = line => { process.stderr.write(`${line}\n`) }) {
    this.#commonFieldsText = formatFields(commonFields)
    this.#logger.methodFactory = () => (line: string) => { write(line) }
    this.#logger.setLevel(level, false)
    this.#logger.rebuild()
  }

  /**
   * Writes one event.
   *
   * @param event - event name, as listed in docs/logs.md
   * @param fields - fields of the event; undefined values are left out
   */
  log (level: LogLevel, event: string, fields: LogFields = {}): void {
    this.#logger[level](`time=${new Date().toISOString()} level=${level} event=${event}${this.#commonFieldsText}${formatFields(fields)}`)
  }

  /**
   * Logs an unexpected error, with its stack trace if it has one.
   *
   * @param where - component or route in which the error occurred
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
