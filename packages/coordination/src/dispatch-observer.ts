import { type JobAnswer, type JobSpec } from '@sesamereel/state'
import { type AttemptOrder, type AttemptResult } from './attempt.js'

/** Receives the events of a dispatcher, for metrics and logs. By default, every callback does nothing. */
export abstract class DispatchObserver {
  /** Called when a job was admitted. */
  onJobAdmitted (_spec: JobSpec): void {}

  /** Called when a job has its answer, `elapsedMs` milliseconds after its admission. */
  onJobAnswered (_spec: JobSpec, _answer: JobAnswer, _elapsedMs: number): void {}

  /** Called when an attempt is passed to the runner, `queuedMs` milliseconds after the admission of its job. */
  onAttemptStarted (_order: AttemptOrder, _queuedMs: number): void {}

  /** Called when the runner has reported the result of an attempt. */
  onAttemptEnded (_order: AttemptOrder, _result: AttemptResult): void {}

  /** Called when a target was ejected or readmitted because of attempts of this instance. */
  onTargetHealthChanged (_targetId: string, _change: 'ejected' | 'readmitted'): void {}

  /**
   * Called when a peer has answered a borrow message with `requested` loan requests, of which it
   * granted `granted` at least in part.
   */
  onBorrowAnswered (_peer: string, _requested: number, _granted: number): void {}

  /** Called when a batch of `count` cancellations is sent to a target. */
  onCancellationsSent (_targetId: string, _count: number): void {}
}

/** Observer that ignores all events. */
export class NoOpDispatchObserver extends DispatchObserver {}
