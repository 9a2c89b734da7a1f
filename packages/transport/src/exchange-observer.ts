/** Remote services that an instance sends requests to. */
export type ServiceName = 'target' | 'peer' | 'platform'

/** Counts exchanges with remote services. Implemented by the metrics of the entry instance. */
export abstract class ExchangeObserver {
  /**
   * Records the outcome of one request.
   *
   * @param service - service that the request was for
   * @param operation - name of the operation, from a fixed set for each service
   * @param outcome - how the exchange ended; `not-sent` means that no byte was written
   */
  abstract observeExchange (service: ServiceName, operation: string, outcome: 'replied' | 'not-sent' | 'lost'): void
}

/** Ignores all exchanges. */
export class NoopExchangeObserver extends ExchangeObserver {
  override observeExchange (): void {}
}
