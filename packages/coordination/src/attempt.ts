import { type TaskSpec } from '@sesamereel/state'

/** An order to start one attempt of a task at a target. */
export interface AttemptOrder {
  /** Id of the attempt, `KEY/INDEX/ATTEMPT`; unique for each attempt. */
  readonly taskId: string
  readonly customer: string
  readonly targetId: string
  readonly task: TaskSpec
  /** Latest time at which the task may start, in milliseconds on this instance's clock. */
  readonly startDeadline: number
  /** Time in milliseconds after which the target is queried when it has not replied to the order. */
  readonly lateAfterMs: number
  /** W3C trace context of the job. */
  readonly traceparent?: string
}

/** Reason for which an attempt is known for certain not to have started. */
export type NotStartedReason = 'no-connection' | 'slots' | 'resources' | 'late' | 'boot' | 'leaving' | 'deleted' | 'not-seen'

/**
 * Result of an attempt. `unknown` means that the attempt has certainly ended (its latest end has
 * passed, or the target has a new boot id) but that its outcome cannot be determined.
 */
export type AttemptResult =
  | { readonly kind: 'succeeded', readonly result: unknown, readonly runMs: number }
  | { readonly kind: 'failed', readonly message: string, readonly runMs: number }
  | { readonly kind: 'timed-out', readonly runMs: number }
  | { readonly kind: 'over-memory', readonly runMs: number }
  | { readonly kind: 'cancelled', readonly runMs: number }
  | { readonly kind: 'not-started', readonly reason: NotStartedReason }
  | { readonly kind: 'unknown', readonly message: string }

/** Sends attempts to targets and reports their results. The transport implements it; tests use a fake. */
export abstract class AttemptRunner {
  /**
   * Starts a task at its target and reports the result exactly once.
   *
   * @param report - receives the result; never called synchronously
   */
  abstract startAttempt (order: AttemptOrder, report: (result: AttemptResult) => void): void

  /**
   * Asks a target to stop running tasks, all in one message.
   *
   * @param taskIds - ids of attempts that were started at the target
   */
  abstract cancelAttempts (targetId: string, taskIds: readonly string[]): void
}
