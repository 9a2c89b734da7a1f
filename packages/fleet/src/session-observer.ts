import { type LossReason, type Run } from './run.js'
import { type LossEvidence } from './target-losses.js'
import { type TargetSession } from './target-session.js'
import { type EndKind, type StartRejection, type StartReply } from './target-types.js'
import { type RunIdentity } from './unanswered-orders.js'

/**
 * `seen`: the first poll of an incarnation was answered; `silent`: the target became unresponsive;
 * `polled`: a poll was answered or the stop of an earlier order was settled, and free capacity may
 * have changed; `held`: no token is left that fences requests to earlier incarnations, so that the target is not used until
 * they are too old or the dispatcher has a higher token; `awaited`: it is unresponsive, and its next incarnation may carry out
 * an unanswered order, so that it is polled at short intervals.
 */
export type TargetChange = 'seen' | 'silent' | 'regained' | 'restarted' | 'held' | 'awaited' | 'polled'

/**
 * Callbacks from a target session to its dispatcher, which handles them synchronously and starts no
 * tasks inside them.
 */
export abstract class SessionObserver {
  /** @param tookMs - response time of the start order, in milliseconds */
  abstract onStartAccepted (session: TargetSession, run: Run, tookMs: number): void
  /** A start order was answered, or will not be sent. Called before the results. */
  onOrderSettled (run: Run): void {}
  /** A start order was not answered in time, or its target has restarted before the answer; it may still be carried out. */
  onOrderUnanswered (session: TargetSession, run: Run): void {}
  /**
   * A start order that counts as unanswered was answered after its timeout, so that this send of it has been handled.
   *
   * @param sentAt - monotonic time in milliseconds at which it was sent
   */
  onOrderAnsweredLate (session: TargetSession, run: RunIdentity, sentAt: number, reply: StartReply): void {}
  /**
   * Decides whether an order that was not answered is to be sent again, and if so arranges it.
   *
   * @returns false if the run is to be stopped instead
   */
  repeatOrder (session: TargetSession, run: Run): boolean { return false }
  /** @returns whether a task is still to be run, and has no run that is known */
  isWanted (task: string): boolean { return false }
  /** The target lists a run, or its end, whose start order this session has not sent or that was not answered. */
  onOrderCarriedOut (task: string, attempt: number): void {}
  /** The start order was rejected or not sent; the session has removed the run. */
  abstract onStartRejected (session: TargetSession, run: Run, reason: StartRejection | 'not-sent'): void
  /** The target listed the end of a run; the session has removed the run. */
  abstract onRunEnded (session: TargetSession, run: Run, how: EndKind): void
  /**
   * The current incarnation of the target counts as lost; its runs are given up after this call, as far as they
   * can't start any more.
   */
  abstract onTargetLost (session: TargetSession, evidence: LossEvidence): void
  /** A run counts as gone although the target has not listed its end. */
  abstract onRunLost (session: TargetSession, run: Run, reason: LossReason): void
  /** The target is unreachable, and a new incarnation of it may still carry out the start order of this run. */
  abstract onStartUnconfirmed (session: TargetSession, run: Run): void
  /** The target lists a running run that this session did not start. */
  abstract onRunDiscovered (session: TargetSession, run: Run): void
  /** The target lists the end of a run that this session does not know. */
  abstract onUnknownRunEnded (session: TargetSession, task: string, how: EndKind): void
  /** The target refused a request because this dispatcher is fenced by a higher token. */
  abstract onSuperseded (session: TargetSession): void
  /** @returns monotonic time in milliseconds up to which the leases of the target's runs may be extended */
  abstract getLeaseLimit (session: TargetSession): number
  /** An unexpected error occurred in the session. */
  abstract onError (error: unknown): void
  /** The reachability, the incarnation or the free capacity of the target may have changed. */
  abstract onTargetChanged (session: TargetSession, change: TargetChange): void
}
