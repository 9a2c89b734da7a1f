import { type AttemptOrder, type AttemptResult, AttemptRunner } from '@sesamereel/coordination'
import { type Metrics } from './metrics.js'
import { type Tracing } from './tracing.js'

/** Adds metrics, and one span for each attempt of a traced job, to another runner. */
export class ObservedRunner extends AttemptRunner {
  readonly #inner: AttemptRunner
  readonly #tracing: Tracing
  readonly #metrics: Metrics

  constructor (inner: AttemptRunner, tracing: Tracing, metrics: Metrics) {
    super()
    this.#inner = inner
    this.#tracing = tracing
    this.#metrics = metrics
  }

  override startAttempt (order: AttemptOrder, report: (result: AttemptResult) => void): void {
    this.#metrics.observeStart(!order.taskId.endsWith('/0'))
    const reportCounted = (result: AttemptResult): void => {
      this.#metrics.observeResult(result)
      report(result)
    }
    // Without a sampled trace the context is passed on unchanged, which costs nothing.
    if (order.traceparent?.endsWith('1') !== true) {
      this.#inner.startAttempt(order, reportCounted)
      return
    }
    const span = this.#tracing.startSpan('target.task', 'client', order.traceparent, { 'task.id': order.taskId, 'target.id': order.targetId, 'task.kind': order.task.kind })
    this.#inner.startAttempt({ ...order, traceparent: span.traceparent }, result => {
      span.end(describeFailure(result), { 'attempt.result': result.kind })
      reportCounted(result)
    })
  }

  override cancelAttempts (targetId: string, taskIds: readonly string[]): void {
    this.#metrics.observeCancellation(taskIds.length)
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
