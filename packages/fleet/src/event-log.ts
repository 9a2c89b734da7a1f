export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Classes of log lines; each has a budget of its own, so that many jobs can't hide a takeover. */
export type LogCategory = 'life' | 'belief' | 'job' | 'order'

/** Receives a line for each decision: what was decided, for whom, from which inputs, how old they were. */
export abstract class EventLog {
  abstract log (logClass: LogCategory, event: string, fields: LogFields): void

  /** Records an error that no caller handles. */
  logError (where: string, error: unknown): void {
    this.log('belief', 'unexpected-error', { where, error: error instanceof Error ? error.stack ?? error.message : String(error) })
  }
}

/** Drops everything, for tests. */
export class NoopLog extends EventLog {
  override log (): void {}
}
