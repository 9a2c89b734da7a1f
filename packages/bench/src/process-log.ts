/** Something that the driver did to a process, or saw of it. */
export interface ProcessRecord {
  readonly at: number
  readonly process: string
  readonly event: 'started' | 'ready' | 'killed' | 'paused' | 'resumed' | 'stop-begun' | 'stopped'
  /** Exit code of a planned stop; null when the process had to be killed. */
  readonly exitCode?: number | null
}

/** Records what happens to the processes of a cluster. */
export class ProcessLog {
  readonly #records: ProcessRecord[] = []

  /** All records in the order of time. */
  get records (): readonly ProcessRecord[] { return this.#records }

  /** Records an event that happens now. */
  record (process: string, event: ProcessRecord['event']): void {
    this.#records.push({ at: Date.now(), process, event })
  }

  /**
   * Records the end of a planned stop.
   *
   * @param exitCode - null when the process had to be killed
   */
  recordStop (process: string, exitCode: number | null): void {
    this.#records.push({ at: Date.now(), process, event: 'stopped', exitCode })
  }

  /** Tells whether the driver killed a process. */
  isKilled (name: string): boolean {
    return this.#records.some(({ process, event }) => process === name && event === 'killed')
  }
}
