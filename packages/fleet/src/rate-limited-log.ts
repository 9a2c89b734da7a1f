import loglevel, { type Logger } from 'loglevel'
import { EventLog, type LogCategory, type LogFields } from './event-log.js'

/** Lines that each class may write in a second; what goes beyond is counted. */
const linesPerSecond: Readonly<Record<LogCategory, number>> = { life: 100, belief: 200, job: 120, order: 60 }

/** Where lines go. */
export abstract class LineSink {
  /** @returns false when the line was dropped because the reader is too slow */
  abstract write (line: string): boolean
}

/**
 * Writes one JSON line for each event. Each class of lines has a budget for every second; a line
 * at the end of the second counts what was left out. Nothing waits for the reader of the output.
 */
export class RateLimitedLog extends EventLog {
  readonly #logger: Logger
  readonly #fixed: LogFields
  readonly #sink: LineSink
  readonly #now: () => number
  readonly #written = new Map<LogCategory, number>()
  readonly #omitted = new Map<LogCategory, number>()
  #second = -1
  #dropped = 0

  /**
   * @param fixed - fields of every line
   * @param now - Unix time in milliseconds
   */
  constructor (fixed: LogFields, sink: LineSink, now: () => number = Date.now) {
    super()
    this.#fixed = fixed
    this.#sink = sink
    this.#now = now
    this.#logger = loglevel.getLogger('sesamereel-fleet')
    this.#logger.methodFactory = () => (line: string) => { if (!this.#sink.write(line)) this.#dropped++ }
    this.#logger.setLevel('info', false)
    this.#logger.rebuild()
  }

  override log (logClass: LogCategory, event: string, fields: LogFields): void {
    const now = this.#now()
    this.#beginSecond(Math.floor(now / 1_000))
    const written = this.#written.get(logClass) ?? 0
    if (written >= linesPerSecond[logClass]) {
      this.#omitted.set(logClass, (this.#omitted.get(logClass) ?? 0) + 1)
      return
    }
    this.#written.set(logClass, written + 1)
    this.#write(now, event, fields)
  }

  #beginSecond (second: number): void {
    if (second === this.#second) return
    this.#second = second
    this.#written.clear()
    if (this.#omitted.size === 0 && this.#dropped === 0) return
    const counts = Object.fromEntries(this.#omitted)
    const dropped = this.#dropped
    this.#omitted.clear()
    this.#dropped = 0
    this.#write(this.#now(), 'lines-left-out', { ...counts, dropped })
  }

  #write (now: number, event: string, fields: LogFields): void {
    this.#logger.info(JSON.stringify({ time: new Date(now).toISOString(), event, ...this.#fixed, ...fields }))
  }
}
