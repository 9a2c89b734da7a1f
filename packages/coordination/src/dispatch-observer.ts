import { type JobAnswer, type JobSpec } from '@sesamereel/state'
import { type AttemptOrder, type AttemptResult } from './attempt.js'

/** Receives the events of a dispatcher for metrics and logs. Every event does nothing by default. */
export abstract class DispatchObserver {
  /** A job was admitted. */
  onJobAdmitted (_spec: JobSpec): void {}

  /** A job has its answer, `elapsedMs` after its admission. */
  onJobAnswered (_spec: JobSpec, _answer: JobAnswer, _elapsedMs: number): void {}

  /** An order was given to the runner, `queuedMs` after the admission of its job. */
  onAttemptStarted (_order: AttemptOrder, _queuedMs: number): void {}

  /** The runner reported the result of an attempt. */
  onAttemptEnded (_order: AttemptOrder, _result: AttemptResult): void {}

  /** The health of a target changed. */
  onTargetHealthChanged (_targetId: string, _change: 'ejected' | 'readmitted'): void {}

  /** A borrow request was answered; `granted` counts the requests of which at least a part was granted. */
  onBorrowAnswered (_peer: string, _requested: number, _granted: number): void {}

  /** A batch of cancellations was sent. */
  onCancellationsSent (_targetId: string, _count: number): void {}
}

/** An observer that ignores all events. */
export class NoOpDispatchObserver extends DispatchObserver {}
