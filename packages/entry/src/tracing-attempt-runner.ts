import { type AttemptOrder, type AttemptResult, AttemptRunner } from '@sesamereel/coordination'
import { type Tracing } from './tracing.js'

/** Adds one span for each attempt of a traced job to another runner. */
export class TracingAttemptRunner extends AttemptRunner {
  readonly #inner: AttemptRunner
  readonly #tracing: Tracing

  constructor (inner: AttemptRunner, tracing: Tracing) {
    super()
    this.#inner = inner
    this.#tracing = tracing
  }

  override startAttempt (order: AttemptOrder, report: (result: AttemptResult) => void): void {
    // Without a sampled trace the context is passed on unchanged, which costs nothing.
    if (order.traceparent?.endsWith('1') !== true) {
      this.#inner.startAttempt(order, report)
      return
    }
    const span = this.#tracing.startSpan('target.task', 'client', order.traceparent, { 'task.id': order.taskId, 'target.id': order.targetId, 'task.kind': order.task.kind })
    this.#inner.startAttempt({ ...order, traceparent: span.traceparent }, result => {
      span.end(describeFailure(result), { 'attempt.result': result.kind })
      report(result)
    })
  }

  override cancelAttempts (targetId: string, taskIds: readonly string[]): void {
    this.#inner.cancelAttempts(targetId, taskIds)
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
