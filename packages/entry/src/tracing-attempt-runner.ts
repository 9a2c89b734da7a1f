import { type AttemptOrder, type AttemptResult, AttemptRunner } from '@sesamereel/coordination'
import { type Tracing } from './tracing.js'

/** Wraps another runner and records one span for each attempt of a sampled job. */
export class TracingAttemptRunner extends AttemptRunner {
  readonly #runner: AttemptRunner
  readonly #tracing: Tracing

  constructor (runner: AttemptRunner, tracing: Tracing) {
    super()
    this.#runner = runner
    this.#tracing = tracing
  }

  override startAttempt (order: AttemptOrder, report: (result: AttemptResult) => void): void {
    // An unsampled trace needs no span, so its context is passed on unchanged.
    if (order.traceparent?.endsWith('1') !== true) {
      this.#runner.startAttempt(order, report)
      return
    }
    const span = this.#tracing.startSpan('target.task', 'client', order.traceparent, { 'task.id': order.taskId, 'target.id': order.targetId, 'task.kind': order.task.kind })
    this.#runner.startAttempt({ ...order, traceparent: span.traceparent }, result => {
      span.end(describeFailure(result), { 'attempt.result': result.kind })
      report(result)
    })
  }

  override cancelAttempts (targetId: string, taskIds: readonly string[]): void {
    this.#runner.cancelAttempts(targetId, taskIds)
  }
}

function describeFailure (result: AttemptResult): string | undefined {
  switch (result.kind) {
    case 'succeeded': return undefined
    case 'not-started': return `not started: ${result.reason}`
    case 'failed':
    case 'unknown': return result.message
    default: return result.kind
  }
}
