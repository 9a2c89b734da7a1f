import { type Demand } from '@sesamereel/state'
import { type TaskName } from './job-types.js'

/**
 * `planned`: capacity is reserved, and the start order was not sent yet; `starting`: it was sent; `running`: the target has the
 * run; `stopping`: a stop order was sent.
 */
export type RunState = 'planned' | 'starting' | 'running' | 'stopping'

/**
 * One run of a task at one target, owned by the session of the target. Times are local and
 * monotonic, in milliseconds, unless stated otherwise.
 */
export interface Run {
  readonly task: string
  /** The parts of `task`; undefined if it is not the name of a task. */
  readonly name: TaskName | undefined
  readonly attempt: number
  /** Capacity that the run occupies; undefined for a run of an earlier dispatcher until it is adopted. */
  demand: Demand | undefined
  state: RunState
  /** Time at which the start order was sent, at which a planned run was planned, or at which a discovered run was first seen. */
  sentAt: number
  /** Time at which the target first confirmed that it has the run. */
  acceptedAt: number | undefined
  /** Time at which the target accepted a stop order. */
  stopAcceptedAt: number | undefined
  /**
   * Time in milliseconds on the target's clock after which it refuses the start order; infinite before the order is sent, and
   * once a later incarnation of the target may have received the order.
   */
  startDeadlineMs: number
  /** How often this session has sent the start order. */
  sends: number
  /** Whether the start order was not answered, and the target has not listed the run either. */
  unanswered: boolean
  /** Whether the target is unreachable and a new incarnation of it might still carry out the start order. */
  unconfirmed: boolean
  /** Progress in percent. */
  percent: number
  /** Time at which `percent` last rose. */
  progressAt: number
  /** Time at which the last stop order was sent. */
  stopSentAt: number
}

/** @returns the key that identifies a run at a target */
export function formatRunKey (task: string, attempt: number): string {
  return `${task}#${attempt}`
}

/**
 * Reason why a run counts as lost, without an end in the target's list. `lapsed`: its lease has
 * expired or its target was dropped; `restarted`: the target restarted; `never-started`: its start
 * order can no longer be carried out; `not-listed`: the target had accepted it but does not list it.
 */
export type LossReason = 'lapsed' | 'restarted' | 'never-started' | 'not-listed'

/**
 * Infers why a run is missing from a target's view.
 *
 * @param viewClockMs - the target's clock in milliseconds when it replied
 * @param sentAt - local time in milliseconds at which the poll was sent
 * @returns undefined when the run may still exist or start
 */
export function inferLossReason (run: Run, viewClockMs: number, sentAt: number): LossReason | undefined {
  if (run.acceptedAt !== undefined && run.acceptedAt <= sentAt) return 'not-listed'
  if (run.stopAcceptedAt !== undefined && run.stopAcceptedAt <= sentAt) return 'never-started'
  if (run.acceptedAt === undefined && viewClockMs > run.startDeadlineMs && run.sentAt < sentAt) return 'never-started'
  return undefined
}
