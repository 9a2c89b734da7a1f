/** Receives counts and durations of dispatching; the embedding program exports them as metrics. */
export abstract class FleetMetrics {
  /** Records a target's reply to a start order, and the time until it came. */
  abstract observeStartOrder (answer: string, durationMs: number): void
  /** Records how an announcement of start orders ended, and the time until then. */
  abstract observeAnnouncement (outcome: 'confirmed' | 'given-up', durationMs: number): void
  /**
   * Counts start orders that a later incarnation of their target may carry out: those that were not answered, or after their timeout, those of lost
   * dispatchers that witnesses report, those that were written to the store or read from it, tasks that are held for them, and jobs
   * that are given up for them.
   */
  abstract countOutstandingOrders (event: 'unanswered' | 'answered-late' | 'reported' | 'recorded' | 'read' | 'held' | 'given-up', count: number): void
  abstract countRunEnd (kind: string): void
  /** Counts that this instance has become a dispatcher. */
  abstract countTakeover (cause: string): void
  /** Counts a second run of a task that a target lists while another run of it may exist. */
  abstract countSecondRun (): void
  /** Counts tasks that may start again because every run of an earlier dispatcher has ended; `evidence` says why that is known. */
  abstract countReleasedTasks (evidence: string, count: number): void
  /**
   * Counts the loss of a target under a task.
   *
   * @param evidence - what shows that the target was lost
   * @param isAlone - whether only tasks of one job ran at the target
   */
  abstract countTargetLoss (evidence: string, isAlone: boolean): void
  /** Counts restarted targets, those that are held for want of a token, and crashed ones that are polled at short intervals. */
  abstract countIncarnation (event: string): void
  /** Counts a start by the list entry of an earlier incarnation. */
  abstract countOutdatedStart (): void
  /** Counts a target that reported a higher fencing token than the dispatcher's. */
  abstract countSuperseded (): void
  /**
   * Records the start of a job's first task.
   *
   * @param predictedMs - wait in milliseconds that was predicted when the job was admitted
   * @param actualMs - time in milliseconds until the start
   */
  abstract observeQueueWait (predictedMs: number, actualMs: number): void
  /** Counts a job that a drained domain does not run: `rejected` at submission, `returned` from the queue, or `ended` after its start. */
  abstract countDrainedJob (outcome: 'rejected' | 'returned' | 'ended'): void
  /** Counts an answer to a caller; `reason` is empty for a completed job. */
  abstract countAnswer (outcome: string, reason: string, durationMs: number): void
  /** Counts the answer to a caller's cancellation. */
  abstract countCancellation (outcome: string): void
  /** Counts a submission of a cancelled job that was refused, by the part that refused it (`owner` or `dispatcher`). */
  abstract countCancelledSubmission (by: string): void
  /** Counts a start of a task whose step names the rack of its data, there (`near`) or elsewhere (`remote`). */
  abstract countLocalityStart (place: 'near' | 'remote'): void
  /** Counts a start after a wait for a place near the data: `worthwhile` if the task got one. */
  abstract countLocalityWait (outcome: 'worthwhile' | 'in-vain', durationMs: number): void
}

/** Discards all metrics; for tests. */
export class NoopMetrics extends FleetMetrics {
  override observeStartOrder (): void {}
  override observeAnnouncement (): void {}
  override countOutstandingOrders (): void {}
  override countRunEnd (): void {}
  override countTakeover (): void {}
  override countSecondRun (): void {}
  override countReleasedTasks (): void {}
  override countTargetLoss (): void {}
  override countIncarnation (): void {}
  override countOutdatedStart (): void {}
  override countSuperseded (): void {}
  override observeQueueWait (): void {}
  override countDrainedJob (): void {}
  override countAnswer (): void {}
  override countCancellation (): void {}
  override countCancelledSubmission (): void {}
  override countLocalityStart (): void {}
  override countLocalityWait (): void {}
}
