export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/**
 * Categories of log lines: life cycle (`life`), this instance's view of the fleet (`belief`), jobs (`job`)
 * and orders to targets (`order`). Each has its own rate limit, so that a high job rate can't displace
 * the lines about a takeover.
 */
export type LogCategory = 'life' | 'belief' | 'job' | 'order'

/** Structured event log; a line records a decision, its subject, its inputs and their age. */
export abstract class EventLog {
  abstract log (category: LogCategory, event: string, fields: LogFields): void

  /**
   * Logs an error that no caller handles.
   *
   * @param where - component or operation in which the error occurred
   */
  logError (where: string, error: unknown): void {
    this.log('belief', 'unexpected-error', { where, error: error instanceof Error ? error.stack ?? error.message : String(error) })
  }
}

/** Discards all events; for tests. */
export class NoopLog extends EventLog {
  override log (): void {}
}
