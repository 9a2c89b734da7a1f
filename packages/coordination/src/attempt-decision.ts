import { type ResultCodeName } from '@sesamereel/state'
import { type AttemptResult } from './attempt.js'

/** Maximum number of attempts that may have started for one task of a repeatable job. */
export const maxStartsPerTask = 3

/** What to do with a task after an attempt has ended. */
export type AttemptDecision =
  | { readonly kind: 'finish', readonly result: unknown }
  /** The task is started again; with `isTargetSuspect`, at another target if there is one. */
  | { readonly kind: 'restart', readonly isTargetSuspect: boolean }
  | { readonly kind: 'fail', readonly code: ResultCodeName, readonly message: string }

/** @returns false only when the attempt is known for certain not to have started */
export function mayHaveStarted (result: AttemptResult): boolean {
  return result.kind !== 'not-started'
}

/**
 * Decides what to do with a task after an attempt has ended (docs/design.md, section 4.1).
 *
 * @param repeatable - whether the job is marked as repeatable
 * @param starts - number of attempts of the task that may have started, including this one
 * @param taskId - id of the attempt, used in failure messages
 */
export function decideNextStep (result: AttemptResult, repeatable: boolean, starts: number, taskId: string): AttemptDecision {
  switch (result.kind) {
    case 'succeeded':
      return { kind: 'finish', result: result.result ?? null }
    case 'not-started':
      return { kind: 'restart', isTargetSuspect: result.reason === 'no-connection' || result.reason === 'not-seen' }
    case 'over-memory':
      // Another attempt would need the same memory again.
      return { kind: 'fail', code: 'TaskOverMemory', message: `task ${taskId} used more memory than it declared` }
    case 'failed':
      return decideRepeat(repeatable, starts, 'TaskFailed', `task ${taskId} failed: ${result.message}`)
    case 'timed-out':
      return decideRepeat(repeatable, starts, 'TaskTimedOut', `task ${taskId} timed out and was stopped after ${Math.round(result.runMs)} ms`)
    case 'cancelled':
      return decideRepeat(repeatable, starts, 'TaskFailed', `task ${taskId} was cancelled at its target`)
    case 'unknown':
      return decideRepeat(repeatable, starts, 'TaskOutcomeUnknown', `the outcome of task ${taskId} is unknown: ${result.message}`)
  }
}

function decideRepeat (repeatable: boolean, starts: number, code: ResultCodeName, message: string): AttemptDecision {
  if (!repeatable) return { kind: 'fail', code, message }
  if (starts < maxStartsPerTask) return { kind: 'restart', isTargetSuspect: true }
  return { kind: 'fail', code: 'AttemptsExhausted', message: `${message} (attempt ${starts} of ${maxStartsPerTask})` }
}
