import { monitorEventLoopDelay } from 'node:perf_hooks'
import { type AttemptResult } from '@sesamereel/coordination'
import { ExchangeObserver, type ServiceName } from '@sesamereel/transport'
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Pause in milliseconds between two samples of the event loop, which is part of each sample. */
const loopSampleMs = 10

/** The metrics of one instance, in the names and units of Prometheus. */
export class Metrics extends ExchangeObserver {
  readonly registry = new Registry()
  readonly #messages = this.#count('messages_total', 'Requests that were sent or tried, by service, operation and outcome', ['service', 'operation', 'outcome'])
  readonly #requests = this.#count('requests_total', 'Requests of callers, operators and monitoring', ['route', 'status'])
  readonly #starts = this.#count('task_starts_total', 'Attempts that were handed to a target', [])
  readonly #repeated = this.#count('repeated_attempts_total', 'Attempts after the first one of a task', [])
  readonly #results = this.#count('attempt_results_total', 'Ends of attempts by result', ['result'])
  readonly #refusals = this.#count('not_started_total', 'Attempts that are proven not to have started, by reason; targets give all reasons but no-connection and not-seen', ['reason'])
  readonly #cancelled = this.#count('cancelled_after_sending_total', 'Attempts that were cancelled after they had been handed to a target', [])
  readonly #jobs = this.#count('job_results_total', 'Answers of jobs by result code, 0 for complete', ['code'])
  readonly #droppedSpans = this.#count('trace_spans_dropped_total', 'Spans that were not exported', [])
  readonly #borrows = this.#count('loan_requests_total', 'Loan requests to peers by outcome', ['outcome'])
  readonly #durations = new Histogram({
    name: 'sesamereel_request_seconds',
    help: 'Time from the header of a request to its response',
    labelNames: ['route'],
    buckets: [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30],
    registers: [this.registry]
  })

  readonly #loopDelay = monitorEventLoopDelay({ resolution: loopSampleMs })

  constructor () {
    super()
    collectDefaultMetrics({ register: this.registry })
    this.#loopDelay.enable()
    this.addGauge('event_loop_delay_seconds', 'Delay of the event loop since the last scrape', ['quantile'], set => {
      for (const quantile of [50, 99, 100]) set({ quantile: String(quantile / 100) }, Math.max(0, this.#loopDelay.percentile(quantile) / 1e9 - loopSampleMs / 1_000))
      this.#loopDelay.reset()
    })
  }

  /**
   * Adds a gauge whose values are read at each scrape.
   *
   * @param collect - sets the values; those of the scrape before are gone
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
    this.#durations.observe({ route }, durationMs / 1_000)
  }

  observeAttemptStart (isRepeated: boolean): void {
    this.#starts.inc()
    if (isRepeated) this.#repeated.inc()
  }

  observeAttemptResult (result: AttemptResult): void {
    this.#results.inc({ result: result.kind })
    if (result.kind === 'not-started') this.#refusals.inc({ reason: result.reason })
  }

  observeCancellations (attempts: number): void {
    this.#cancelled.inc(attempts)
  }

  observeJobResult (code: number): void {
    this.#jobs.inc({ code })
  }

  observeLoanRequests (requested: number, granted: number): void {
    this.#borrows.inc({ outcome: 'granted' }, granted)
    this.#borrows.inc({ outcome: 'refused' }, requested - granted)
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

  #count (name: string, help: string, labels: string[]): Counter {
    return new Counter({ name: `sesamereel_${name}`, help, labelNames: labels, registers: [this.registry] })
  }
}
