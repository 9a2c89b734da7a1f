import { type LossReason, type Run } from './run.js'
import { type TargetSession } from './target-session.js'
import { type EndKind, type StartRejection } from './target-types.js'

/** `looked`: a fresh view came, and room may have changed. */
export type TargetChange = 'seen' | 'silent' | 'regained' | 'restarted' | 'looked'

/** What a session tells its dispatcher; a dispatcher handles it at once and starts nothing from inside. */
export abstract class SessionObserver {
  abstract onStartAccepted (session: TargetSession, run: Run, tookMs: number): void
  abstract onStartRejected (session: TargetSession, run: Run, reason: StartRejection | 'not-sent'): void
  abstract onRunEnded (session: TargetSession, run: Run, how: EndKind): void
  abstract onRunLost (session: TargetSession, run: Run, reason: LossReason): void
  /** The target is out of reach, and its next life may still carry out the start order of this run. */
  abstract onStartUnconfirmed (session: TargetSession, run: Run): void
  /** A run that this session did not start is running. */
  abstract onRunDiscovered (session: TargetSession, run: Run): void
  /** A run that this session does not know has ended. */
  abstract onUnknownRunEnded (session: TargetSession, task: string, how: EndKind): void
  /** The target follows a higher token. */
  abstract onSuperseded (session: TargetSession): void
  /** An error that the session did not expect. */
  abstract onError (error: unknown): void
  /** The target was seen, lost or regained; room may have changed. */
  abstract onTargetChanged (session: TargetSession, change: TargetChange): void
}
