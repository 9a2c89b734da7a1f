/** Outside services that an instance sends requests to. */
export type ServiceName = 'target' | 'peer' | 'platform'

/** Counts messages. Implemented by the metrics of the entry instance. */
export abstract class ExchangeObserver {
  /**
   * Notes one request that was sent or tried.
   *
   * @param service - whom the request was for
   * @param operation - name of the operation, a fixed set for each service
   * @param outcome - `not-sent` when no byte was written
   */
  abstract observeExchange (service: ServiceName, operation: string, outcome: 'replied' | 'not-sent' | 'lost'): void
}

/** Ignores all messages. */
export class NoopExchangeObserver extends ExchangeObserver {
  override observeExchange (): void {}
}
