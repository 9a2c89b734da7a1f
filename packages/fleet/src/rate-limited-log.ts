import loglevel, { type Logger } from 'loglevel'
import { EventLog, type LogCategory, type LogFields } from './event-log.js'

/** Maximum number of lines per second in each category; further lines are only counted. */
const linesPerSecond: Readonly<Record<LogCategory, number>> = { life: 100, belief: 200, job: 120, order: 60 }

/** Output for log lines. */
export abstract class LineSink {
  /** @returns false if the line was dropped because the reader is too slow */
  abstract write (line: string): boolean
}

/**
 * Writes each event as a line of JSON, with a rate limit per category. The first event of a later
 * second is preceded by a line with the counts of omitted and dropped lines. Logging never waits for
 * the reader of the output.
 */
export class RateLimitedLog extends EventLog {
  readonly #logger: Logger
  readonly #commonFields: LogFields
  readonly #sink: LineSink
  readonly #now: () => number
  readonly #writtenCounts = new Map<LogCategory, number>()
  readonly #omittedCounts = new Map<LogCategory, number>()
  #second = -1
  #droppedCount = 0

  /**
   * @param commonFields - fields added to every line
   * @param now - returns the Unix time in milliseconds
   */
  constructor (commonFields: LogFields, sink: LineSink, now: () => number = Date.now) {
    super()
    this.#commonFields = commonFields
    this.#sink = sink
    this.#now = now
    this.#logger = loglevel.getLogger('sesamereel-fleet')
    this.#logger.methodFactory = () => (line: string) => { if (!this.#sink.write(line)) this.#droppedCount++ }
    this.#logger.setLevel('info', false)
    this.#logger.rebuild()
  }

  override log (category: LogCategory, event: string, fields: LogFields): void {
    const now = this.#now()
    this.#beginSecond(Math.floor(now / 1_000))
    const written = this.#writtenCounts.get(category) ?? 0
    if (written >= linesPerSecond[category]) {
      this.#omittedCounts.set(category, (this.#omittedCounts.get(category) ?? 0) + 1)
      return
    }
    this.#writtenCounts.set(category, written + 1)
    this.#write(now, event, fields)
  }

  #beginSecond (second: number): void {
    if (second === this.#second) return
    this.#second = second
    this.#writtenCounts.clear()
    if (this.#omittedCounts.size === 0 && this.#droppedCount === 0) return
    const counts = Object.fromEntries(this.#omittedCounts)
    const dropped = this.#droppedCount
    this.#omittedCounts.clear()
    this.#droppedCount = 0
    this.#write(this.#now(), 'lines-left-out', { ...counts, dropped })
  }

  #write (now: number, event: string, fields: LogFields): void {
    this.#logger.info(JSON.stringify({ time: new Date(now).toISOString(), event, ...this.#commonFields, ...fields }))
  }
}
