/** Receives counts and times of the dispatch; the program that embeds the package exports them. */
export abstract class FleetMetrics {
  abstract observeStart (answer: string, tookMs: number): void
  abstract countEnd (how: string): void
  abstract countTakeover (kind: string): void
  /** A target showed a higher token than the dispatcher's. */
  abstract countSuperseded (): void
  /** A job's first task starts; `predictedMs` is the wait that its admission expected. */
  abstract observeWait (predictedMs: number, tookMs: number): void
  abstract countAnswer (outcome: string, reason: string, tookMs: number): void
}

/** Counts nothing, for tests. */
export class SilentMetrics extends FleetMetrics {
  override observeStart (): void {}
  override countEnd (): void {}
  override countTakeover (): void {}
  override countSuperseded (): void {}
  override observeWait (): void {}
  override countAnswer (): void {}
}
