import { MonitorService } from '@sesamereel/transport'
import { type EventLog } from './event-log.js'
import { type InstancePhase } from './instance-phase.js'
import { type Metrics } from './metrics.js'
import { type Tracing } from './tracing.js'

/** Serves metrics, readiness and traces to monitoring, and records requests and errors of the server. */
export class Monitor extends MonitorService {
  readonly #metrics: Metrics
  readonly #tracing: Tracing
  readonly #phase: InstancePhase
  readonly #log: EventLog

  constructor (metrics: Metrics, tracing: Tracing, phase: InstancePhase, log: EventLog) {
    super()
    this.#metrics = metrics
    this.#tracing = tracing
    this.#phase = phase
    this.#log = log
  }

  override async renderMetrics (): Promise<string> {
    return await this.#metrics.render()
  }

  override explainNotReady (): string | undefined {
    return this.#phase.explainNotReady()
  }

  override findTrace (traceId: string): readonly unknown[] {
    return this.#tracing.findTrace(traceId)
  }

  override observeRequest (route: string, status: number, durationMs: number): void {
    this.#metrics.observeRequest(route, status, durationMs)
  }

  override observeError (route: string, error: unknown): void {
    this.#log.logError(route, error)
  }
}
