import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { FleetMetrics } from './fleet-metrics.js'

/** Histogram buckets in seconds, from a network round trip to the longest useful answer time. */
const bucketsSeconds = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5]

/** Metrics of one instance, with the names and units that Prometheus prescribes. */
export class PrometheusMetrics extends FleetMetrics {
  readonly registry = new Registry()
  readonly #starts = this.#createCounter('starts_total', 'Start orders by the target\'s answer', ['answer'])
  readonly #announcementSeconds = this.#createHistogram('announcement_seconds', 'Time from the announcement of start orders to its confirmation, or until it was given up', ['outcome'])
  readonly #outstandingOrders = this.#createCounter('outstanding_orders_total', 'Start orders that a later incarnation of their target may carry out: unanswered ones, those answered after their timeout, reported by witnesses, written to the store or read from it, tasks held and jobs given up for them', ['event'])
  readonly #ends = this.#createCounter('run_ends_total', 'Ends of runs by kind', ['how'])
  readonly #takeovers = this.#createCounter('takeovers_total', 'Times that this instance has become a dispatcher, by cause', ['how'])
  readonly #answers = this.#createCounter('answers_total', 'Answers to callers by outcome and reason', ['outcome', 'reason'])
  readonly #storeCalls = this.#createCounter('store_calls_total', 'Calls to the store by call and result', ['call', 'result'])
  readonly #clientLimits = this.#createCounter('client_limits_total', 'Decisions against clients that reached a limit', ['limit'])
  readonly #startSeconds = this.#createHistogram('start_seconds', 'Time from a start order to the target\'s answer', ['answer'])
  readonly #superseded = this.#createCounter('superseded_total', 'Targets that reported a higher fencing token than the dispatcher\'s', [])
  readonly #secondRuns = this.#createCounter('second_runs_total', 'Runs that a target listed while another run of their task might exist', [])
  readonly #releasedTasks = this.#createCounter('released_tasks_total', 'Tasks that may start again after a takeover, by the evidence that their earlier runs have ended', ['evidence'])
  readonly #targetLosses = this.#createCounter('target_losses_total', 'Losses of a target under a task, by the evidence and by whether other jobs had tasks there', ['evidence', 'alone'])
  readonly #cancellations = this.#createCounter('cancellations_total', 'Answers to cancellations by outcome', ['outcome'])
  readonly #cancelledSubmissions = this.#createCounter('cancelled_submissions_total', 'Submissions of cancelled jobs that were refused, by the part that refused them', ['by'])
  readonly #drainedJobs = this.#createCounter('drained_jobs_total', 'Jobs that a drained domain did not run, by what happened to them', ['outcome'])
  readonly #incarnations = this.#createCounter('target_incarnations_total', 'Targets that restarted, were held for want of a token, or were polled at short intervals after a crash', ['event'])
  readonly #outdatedStarts = this.#createCounter('outdated_entry_starts_total', 'Starts by the list entry of an earlier incarnation of the target', [])
  readonly #localityStarts = this.#createCounter('locality_starts_total', 'Starts of tasks whose step names the rack of its data, there (near) or elsewhere (remote)', ['place'])
  readonly #localityWaitSeconds = this.#createHistogram('locality_wait_seconds', 'Time that tasks waited for a place near their data, by whether they got one', ['outcome'])
  readonly #waitSeconds = this.#createHistogram('wait_seconds', 'Time from acceptance to the first start, as predicted at admission and as measured', ['kind'])
  readonly #answerSeconds = this.#createHistogram('answer_seconds', 'Time from acceptance of a job to the answer to its caller', ['outcome'])

  override observeStartOrder (answer: string, durationMs: number): void {
    this.#starts.inc({ answer })
    this.#startSeconds.observe({ answer }, durationMs / 1_000)
  }

  override observeAnnouncement (outcome: 'confirmed' | 'given-up', durationMs: number): void {
    this.#announcementSeconds.observe({ outcome }, durationMs / 1_000)
  }

  override countOutstandingOrders (event: string, count: number): void {
    this.#outstandingOrders.inc({ event }, count)
  }

  override countRunEnd (kind: string): void {
    this.#ends.inc({ how: kind })
  }

  override countTakeover (cause: string): void {
    this.#takeovers.inc({ how: cause })
  }

  override countSuperseded (): void {
    this.#superseded.inc()
  }

  override countSecondRun (): void {
    this.#secondRuns.inc()
  }

  override countReleasedTasks (evidence: string, count: number): void {
    this.#releasedTasks.inc({ evidence }, count)
  }

  override countTargetLoss (evidence: string, isAlone: boolean): void {
    this.#targetLosses.inc({ evidence, alone: String(isAlone) })
  }

  override countIncarnation (event: string): void {
    this.#incarnations.inc({ event })
  }

  override countOutdatedStart (): void {
    this.#outdatedStarts.inc()
  }

  override observeQueueWait (predictedMs: number, actualMs: number): void {
    this.#waitSeconds.observe({ kind: 'predicted' }, predictedMs / 1_000)
    this.#waitSeconds.observe({ kind: 'real' }, actualMs / 1_000)
  }

  override countDrainedJob (outcome: 'rejected' | 'returned' | 'ended'): void {
    this.#drainedJobs.inc({ outcome })
  }

  override countAnswer (outcome: string, reason: string, durationMs: number): void {
    this.#answers.inc({ outcome, reason })
    this.#answerSeconds.observe({ outcome }, durationMs / 1_000)
  }

  override countCancellation (outcome: string): void {
    this.#cancellations.inc({ outcome })
  }

  override countCancelledSubmission (by: string): void {
    this.#cancelledSubmissions.inc({ by })
  }

  override countLocalityStart (place: 'near' | 'remote'): void {
    this.#localityStarts.inc({ place })
  }

  override countLocalityWait (outcome: 'worthwhile' | 'in-vain', durationMs: number): void {
    this.#localityWaitSeconds.observe({ outcome }, durationMs / 1_000)
  }

  countStoreCall (call: string, result: string): void {
    this.#storeCalls.inc({ call, result })
  }

  /** Counts a client that was refused, or whose connection was closed, because of a limit. */
  countClientLimit (limit: string): void {
    this.#clientLimits.inc({ limit })
  }

  /**
   * Adds a gauge whose values are collected at each scrape.
   *
   * @param collect - sets the current values; earlier ones are discarded
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

  #createCounter (name: string, help: string, labelNames: readonly string[]): Counter {
    return new Counter({ name: `sesamereel_fleet_${name}`, help, labelNames: [...labelNames], registers: [this.registry] })
  }

  #createHistogram (name: string, help: string, labelNames: readonly string[]): Histogram {
    return new Histogram({ name: `sesamereel_fleet_${name}`, help, labelNames: [...labelNames], buckets: bucketsSeconds, registers: [this.registry] })
  }
}
