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
  /** Deadline of the start on the target's clock. */
  readonly deadline: number
  /** Whether the start order got no answer and it is not known yet whether the target has it. */
  unanswered: boolean
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
