import { type AttemptOrder, type AttemptResult, DispatchObserver } from '@sesamereel/coordination'
import { type JobAnswer, type JobSpec } from '@sesamereel/state'
import { type EventLog } from './event-log.js'
import { type Metrics } from './metrics.js'

/** Records events of the dispatcher in metrics and in the log. */
export class DispatchTelemetry extends DispatchObserver {
  readonly #metrics: Metrics
  readonly #log: EventLog

  constructor (metrics: Metrics, log: EventLog) {
    super()
    this.#metrics = metrics
    this.#log = log
  }

  override onJobAdmitted (spec: JobSpec): void {
    this.#log.log('debug', 'job-admitted', { key: spec.key, customer: spec.customer, tasks: spec.tasks.length })
  }

  override onJobAnswered (spec: JobSpec, answer: JobAnswer, elapsedMs: number): void {
    const code = answer.state === 'complete' ? 0 : answer.failure.code
    this.#metrics.observeJobResult(code)
    const fields = { key: spec.key, customer: spec.customer, code, elapsedMs: Math.round(elapsedMs) }
    this.#log.log('debug', 'job-answered', answer.state === 'complete' ? fields : { ...fields, task: answer.failure.taskIndex, message: answer.failure.message })
  }

  override onAttemptStarted (order: AttemptOrder): void {
    this.#metrics.observeAttemptStart(!order.taskId.endsWith('/0'))
  }

  override onAttemptEnded (order: AttemptOrder, result: AttemptResult): void {
    this.#metrics.observeAttemptResult(result)
    if (result.kind === 'unknown') this.#log.log('warn', 'attempt-unknown', { task: order.taskId, target: order.targetId, message: result.message })
  }

  override onTargetHealthChanged (targetId: string, change: 'ejected' | 'readmitted'): void {
    this.#log.log(change === 'ejected' ? 'warn' : 'info', `target-${change}`, { target: targetId })
  }

  override onBorrowAnswered (peer: string, requested: number, granted: number): void {
    this.#metrics.observeLoanRequests(requested, granted)
  }

  override onCancellationsSent (targetId: string, count: number): void {
    this.#metrics.observeCancellations(count)
    this.#log.log('debug', 'cancellations-sent', { target: targetId, attempts: count })
  }
}
