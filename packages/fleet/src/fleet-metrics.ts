/** Receives counts and times of the dispatch; the program that embeds the package exports them. */
export abstract class FleetMetrics {
  abstract observeStartOrder (answer: string, tookMs: number): void
  abstract countRunEnd (how: string): void
  abstract countTakeover (kind: string): void
  /** A target showed a higher token than the dispatcher's. */
  abstract countSuperseded (): void
  /** A job's first task starts; `predictedMs` is the wait that its admission expected. */
  abstract observeQueueWait (predictedMs: number, tookMs: number): void
  abstract countAnswer (outcome: string, reason: string, tookMs: number): void
}

/** Counts nothing, for tests. */
export class NoopMetrics extends FleetMetrics {
  override observeStartOrder (): void {}
  override countRunEnd (): void {}
  override countTakeover (): void {}
  override countSuperseded (): void {}
  override observeQueueWait (): void {}
  override countAnswer (): void {}
}
