import { monitorEventLoopDelay } from 'node:perf_hooks'
import { type AttemptResult } from '@sesamereel/coordination'
import { ExchangeObserver, type ServiceName } from '@sesamereel/transport'
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Interval in milliseconds between two samples of the event loop. Each sample includes the interval, so it is subtracted. */
const loopSampleIntervalMs = 10

/** Metrics of one instance in Prometheus format. */
export class Metrics extends ExchangeObserver {
  readonly registry = new Registry()
  readonly #messages = this.#createCounter('messages_total', 'Requests that were sent or tried, by service, operation and outcome', ['service', 'operation', 'outcome'])
  readonly #requests = this.#createCounter('requests_total', 'Requests of callers, operators and monitoring', ['route', 'status'])
  readonly #attemptStarts = this.#createCounter('task_starts_total', 'Attempts that were handed to a target', [])
  readonly #repeatedAttempts = this.#createCounter('repeated_attempts_total', 'Attempts after the first one of a task', [])
  readonly #attemptResults = this.#createCounter('attempt_results_total', 'Ends of attempts by result', ['result'])
  readonly #notStarted = this.#createCounter('not_started_total', 'Attempts that are proven not to have started, by reason; targets give all reasons but no-connection and not-seen', ['reason'])
  readonly #cancelledAttempts = this.#createCounter('cancelled_after_sending_total', 'Attempts that were cancelled after they had been handed to a target', [])
  readonly #jobResults = this.#createCounter('job_results_total', 'Answers of jobs by result code, 0 for complete', ['code'])
  readonly #droppedSpans = this.#createCounter('trace_spans_dropped_total', 'Spans that were not exported', [])
  readonly #loanRequests = this.#createCounter('loan_requests_total', 'Loan requests to peers by outcome', ['outcome'])
  readonly #requestDurations = new Histogram({
    name: 'sesamereel_request_seconds',
    help: 'Time from the header of a request to its response',
    labelNames: ['route'],
    buckets: [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30],
    registers: [this.registry]
  })

  readonly #loopDelay = monitorEventLoopDelay({ resolution: loopSampleIntervalMs })

  constructor () {
    super()
    collectDefaultMetrics({ register: this.registry })
    this.#loopDelay.enable()
    this.addGauge('event_loop_delay_seconds', 'Delay of the event loop since the last scrape', ['quantile'], set => {
      for (const quantile of [50, 99, 100]) set({ quantile: String(quantile / 100) }, Math.max(0, this.#loopDelay.percentile(quantile) / 1e9 - loopSampleIntervalMs / 1_000))
      this.#loopDelay.reset()
    })
  }

  /**
   * Registers a gauge whose values are collected at each scrape.
   *
   * @param name - name without the prefix `sesamereel_`
   * @param collect - sets the values; those of the previous scrape are removed first
   */
  addGauge (name: string, help: string, labels: readonly string[], collect: (set: (labels: Readonly<Record<string, string>>, value: number) => void) => void): void {
    const gauge: Gauge = new Gauge({
      name: `sesamereel_${name}`,
      help,
      labelNames: [...labels],
      registers: [this.registry],
      collect: () => {
        gauge.reset()
        collect((values, value) => { gauge.set(values, value) })
      }
    })
  }

  override observeExchange (service: ServiceName, operation: string, outcome: 'replied' | 'not-sent' | 'lost'): void {
    this.#messages.inc({ service, operation, outcome })
  }

  observeRequest (route: string, status: number, durationMs: number): void {
    this.#requests.inc({ route, status })
    this.#requestDurations.observe({ route }, durationMs / 1_000)
  }

  observeAttemptStart (isRepeated: boolean): void {
    this.#attemptStarts.inc()
    if (isRepeated) this.#repeatedAttempts.inc()
  }

  observeAttemptResult (result: AttemptResult): void {
    this.#attemptResults.inc({ result: result.kind })
    if (result.kind === 'not-started') this.#notStarted.inc({ reason: result.reason })
  }

  observeCancellations (attempts: number): void {
    this.#cancelledAttempts.inc(attempts)
  }

  observeJobResult (code: number): void {
    this.#jobResults.inc({ code })
  }

  observeLoanRequests (requested: number, granted: number): void {
    this.#loanRequests.inc({ outcome: 'granted' }, granted)
    this.#loanRequests.inc({ outcome: 'refused' }, requested - granted)
  }

  observeDroppedSpans (count: number): void {
    this.#droppedSpans.inc(count)
  }

  async render (): Promise<string> {
    return await this.registry.metrics()
  }

  stop (): void {
    this.#loopDelay.disable()
  }

  #createCounter (name: string, help: string, labels: string[]): Counter {
    return new Counter({ name: `sesamereel_${name}`, help, labelNames: labels, registers: [this.registry] })
  }
}
