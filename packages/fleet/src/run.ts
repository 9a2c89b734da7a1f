import { type Demand } from '@sesamereel/state'

/** `starting`: the order was sent; `running`: the target has it; `stopping`: a stop was sent. */
export type RunState = 'starting' | 'running' | 'stopping'

/** One run of a task at one target. Owned by the session of the target. */
export interface Run {
  readonly task: string
  readonly attempt: number
  /** Room that the run occupies; undefined for a run that an earlier dispatcher started. */
  demand: Demand | undefined
  state: RunState
  /** Monotonic local times in milliseconds. */
  readonly sentAt: number
  acceptedAt: number | undefined
  stopAcceptedAt: number | undefined
  /** Deadline of the start on the clock of the target's life that it was sent to; infinite in a later life. */
  startDeadlineMs: number
  /** Whether the start order got no answer and it is not known yet whether the target has it. */
  unanswered: boolean
  /** Whether the target is out of reach and might still carry out the start order in a new life. */
  unconfirmed: boolean
  percent: number
  /** When `percent` last rose. */
  progressAt: number
  /** Monotonic time of the last stop order. */
  stopSentAt: number
}

/** @returns the identity of a run at a target */
export function formatRunKey (task: string, attempt: number): string {
  return `${task}#${attempt}`
}

/** Why a run is gone without an end in the target's list. */
export type LossReason = 'lapsed' | 'restarted' | 'never-started' | 'not-listed'

/**
 * Decides whether a run that a view doesn't list is surely not at the target.
 *
 * @param viewClock - the target's clock when it replied
 * @param sentAt - local time at which the look was sent
 * @returns undefined when the view may be older than the run
 */
export function inferLossReason (run: Run, viewClock: number, sentAt: number): LossReason | undefined {
  if (run.acceptedAt !== undefined && run.acceptedAt <= sentAt) return 'not-listed'
  if (run.stopAcceptedAt !== undefined && run.stopAcceptedAt <= sentAt) return 'never-started'
  if (run.acceptedAt === undefined && viewClock > run.startDeadlineMs && run.sentAt < sentAt) return 'never-started'
  return undefined
}
