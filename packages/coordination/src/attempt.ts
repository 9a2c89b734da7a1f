import { type TaskSpec } from '@sesamereel/state'

/** One order to start a task at a target. */
export interface AttemptOrder {
  /** `KEY/INDEX/ATTEMPT`, unique for each attempt. */
  readonly taskId: string
  readonly customer: string
  readonly targetId: string
  readonly task: TaskSpec
  /** Latest start of the task on the owner's clock, in milliseconds. */
  readonly startDeadline: number
  /** Time after which a missing reply is asked for, in milliseconds from now. */
  readonly lateAfterMs: number
  /** W3C trace context of the job. */
  readonly traceparent?: string
}

/** Why an attempt is proven not to have started. */
export type NotStartedReason = 'no-connection' | 'slots' | 'resources' | 'late' | 'boot' | 'leaving' | 'deleted' | 'not-seen'

/**
 * Result of an attempt. `unknown` is reported only after the attempt has ended for certain
 * (latest end passed, or a new boot id at the target), with an outcome that nobody can tell.
 */
export type AttemptResult =
  | { readonly kind: 'succeeded', readonly result: unknown, readonly runMs: number }
  | { readonly kind: 'failed', readonly message: string, readonly runMs: number }
  | { readonly kind: 'timed-out', readonly runMs: number }
  | { readonly kind: 'over-memory', readonly runMs: number }
  | { readonly kind: 'cancelled', readonly runMs: number }
  | { readonly kind: 'not-started', readonly reason: NotStartedReason }
  | { readonly kind: 'unknown', readonly message: string }

/** Carries attempts to targets. Implemented by the transport; a fake stands in for it in tests. */
export abstract class AttemptRunner {
  /**
   * Starts a task at its target and reports the result exactly once.
   *
   * @param order - what to start and where
   * @param report - receives the result; never called synchronously
   */
  abstract startAttempt (order: AttemptOrder, report: (result: AttemptResult) => void): void

  /**
   * Asks a target to stop running tasks, all in one message.
   *
   * @param targetId - the target
   * @param taskIds - ids of attempts that were started there
   */
  abstract cancelAttempts (targetId: string, taskIds: readonly string[]): void
}
