/** Receives counts and times of the dispatch; the program that embeds the package exports them. */
export abstract class FleetMetrics {
  abstract observeStart (answer: string, tookMs: number): void
  abstract countEnd (how: string): void
  abstract countTakeover (kind: string): void
  abstract countAnswer (outcome: string, reason: string, tookMs: number): void
}

/** Counts nothing, for tests. */
export class SilentMetrics extends FleetMetrics {
  override observeStart (): void {}
  override countEnd (): void {}
  override countTakeover (): void {}
  override countAnswer (): void {}
}
