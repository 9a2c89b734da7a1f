import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { FleetMetrics } from './fleet-metrics.js'

/** Buckets in seconds, from a round trip to the longest useful answer. */
const buckets = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5]

/** The metrics of one instance, in the names and units of Prometheus. */
export class PrometheusMetrics extends FleetMetrics {
  readonly registry = new Registry()
  readonly #starts = this.#count('starts_total', 'Start orders by the target\'s answer', ['answer'])
  readonly #ends = this.#count('run_ends_total', 'Ends of runs by kind', ['how'])
  readonly #takeovers = this.#count('takeovers_total', 'Times that this instance became a dispatcher, by cause', ['how'])
  readonly #answers = this.#count('answers_total', 'Answers to callers by outcome and reason', ['outcome', 'reason'])
  readonly #storeCalls = this.#count('store_calls_total', 'Calls to the store by call and result', ['call', 'result'])
  readonly #startSeconds = this.#observe('start_seconds', 'Time from a start order to the answer', ['answer'])
  readonly #superseded = this.#count('superseded_total', 'Targets that showed a higher token than the dispatcher\'s', [])
  readonly #waitSeconds = this.#observe('wait_seconds', 'Time from acceptance to the first start, as predicted at admission and as it was', ['kind'])
  readonly #answerSeconds = this.#observe('answer_seconds', 'Time from acceptance to the answer', ['outcome'])

  override observeStartOrder (answer: string, tookMs: number): void {
    this.#starts.inc({ answer })
    this.#startSeconds.observe({ answer }, tookMs / 1_000)
  }

  override countRunEnd (how: string): void {
    this.#ends.inc({ how })
  }

  override countTakeover (how: string): void {
    this.#takeovers.inc({ how })
  }

  override countSuperseded (): void {
    this.#superseded.inc()
  }

  override observeQueueWait (predictedMs: number, tookMs: number): void {
    this.#waitSeconds.observe({ kind: 'predicted' }, predictedMs / 1_000)
    this.#waitSeconds.observe({ kind: 'real' }, tookMs / 1_000)
  }

  override countAnswer (outcome: string, reason: string, tookMs: number): void {
    this.#answers.inc({ outcome, reason })
    this.#answerSeconds.observe({ outcome }, tookMs / 1_000)
  }

  countStoreCall (call: string, result: string): void {
    this.#storeCalls.inc({ call, result })
  }

  /**
   * Adds a gauge that is read at each scrape.
   *
   * @param collect - sets the values
   */
  addGauge (name: string, help: string, labelNames: readonly string[], collect: (set: (labels: Readonly<Record<string, string>>, value: number) => void) => void): void {
    const gauge: Gauge = new Gauge({
      name: `sesamereel_fleet_${name}`,
      help,
      labelNames: [...labelNames],
      registers: [this.registry],
      collect: () => {
        gauge.reset()
        collect((labels, value) => { gauge.set({ ...labels }, value) })
      }
    })
  }

  #count (name: string, help: string, labelNames: readonly string[]): Counter {
    return new Counter({ name: `sesamereel_fleet_${name}`, help, labelNames: [...labelNames], registers: [this.registry] })
  }

  #observe (name: string, help: string, labelNames: readonly string[]): Histogram {
    return new Histogram({ name: `sesamereel_fleet_${name}`, help, labelNames: [...labelNames], buckets, registers: [this.registry] })
  }
}
