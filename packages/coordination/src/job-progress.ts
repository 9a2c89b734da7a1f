import { createResultError, type Demand, isWithin, type JobAnswer, type ResultCodeName, zeroResources } from '@sesamereel/state'
import { type AttemptResult } from './attempt.js'
import { decideNextStep, mayHaveStarted } from './attempt-decision.js'
import { type CancellationBatcher } from './cancellation-batcher.js'
import { type DispatchObserver } from './dispatch-observer.js'
import { type JobQueue } from './job-queue.js'
import { type JobRecord } from './job-record.js'
import { type JobTable } from './job-table.js'
import { type SeatPlanShares } from './seat-plan-shares.js'
import { type RunTimeEstimator } from './run-time-estimator.js'
import { type SlotCredits } from './slot-credits.js'
import { findImpossibleTask } from './submission-check.js'
import { type TargetTable } from './target-table.js'
import { type StartedAttempt, type TaskStarter } from './task-starter.js'

/**
 * Time in milliseconds for which a queued task may fit no listed target before its job fails;
 * targets that are being replaced may be missing for a while.
 */
const noFittingTargetTimeoutMs = 10_000

/** Dependencies of `JobProgress`. */
export interface JobProgressDependencies {
  readonly jobs: JobTable
  readonly queue: JobQueue
  readonly targets: TargetTable
  readonly shares: SeatPlanShares
  readonly credits: SlotCredits
  readonly estimator: RunTimeEstimator
  readonly starter: TaskStarter
  readonly cancellations: CancellationBatcher
  readonly observer: DispatchObserver
  readonly now: () => number
}

/** Applies the results of attempts to jobs, and completes or fails jobs. */
export class JobProgress {
  constructor (private readonly parts: JobProgressDependencies) {}

  /** Releases the plan units and the credit of an ended attempt and applies its result to the job. */
  finishAttempt (attempt: StartedAttempt, result: AttemptResult): void {
    const { job, index, order, target } = attempt
    const now = this.parts.now()
    const spec = order.task
    this.parts.shares.ledger.release(attempt.planReservation)
    this.parts.credits.release(attempt.creditReservation, target, now)
    this.parts.cancellations.remove(target.id, order.taskId)
    job.running.delete(order.taskId)
    this.parts.observer.onAttemptEnded(order, result)
    const { change } = this.parts.targets.recordEnd(target, order.taskId, spec.kind, result, now)
    if (change !== undefined) this.parts.observer.onTargetHealthChanged(target.id, change)
    if (result.kind === 'succeeded') this.parts.estimator.observeRun(spec.kind, target.id, result.runMs)
    if (mayHaveStarted(result)) job.possibleStarts[index]!++
    this.parts.queue.recordEnd(attempt)
    if (job.answer === undefined) this.applyDecision(attempt, result)
  }

  private applyDecision ({ job, index, order, target }: StartedAttempt, result: AttemptResult): void {
    const decision = decideNextStep(result, job.spec.repeatable, job.possibleStarts[index]!, order.taskId)
    switch (decision.kind) {
      case 'finish':
        job.results[index] = decision.result
        job.done++
        if (job.done === job.spec.tasks.length) this.finish(job, { state: 'complete', key: job.spec.key, results: job.results })
        break
      case 'restart':
        if (decision.isTargetSuspect) job.avoidedTargets.set(index, target.id)
        this.parts.queue.requeueTask({ job, index })
        break
      case 'fail':
        // Running tasks of a job that is not repeatable are left to end by themselves: stopping one
        // halfway could leave partial effects that cannot be determined.
        this.failJob(job, decision.code, decision.message, index, job.spec.repeatable)
    }
  }

  /**
   * Fails a job: its answer contains no results, and its queued tasks are dropped.
   *
   * @param taskIndex - index of the task that caused the failure, undefined when none did
   * @param cancelsRunning - whether targets are asked to stop its running tasks
   */
  failJob (job: JobRecord, code: ResultCodeName, message: string, taskIndex: number | undefined, cancelsRunning: boolean): void {
    const error = createResultError(code, message)
    const failure = { code: error.code, message, ...(taskIndex === undefined ? {} : { taskIndex }) }
    this.finish(job, { state: 'failed', key: job.spec.key, failure })
    if (!cancelsRunning) return
    for (const [taskId, targetId] of job.running) this.parts.cancellations.add(targetId, taskId)
  }

  private finish (job: JobRecord, answer: JobAnswer): void {
    this.parts.jobs.finish(job, answer)
    this.parts.starter.removeJob(job)
    this.parts.queue.removeJob(job)
    this.parts.observer.onJobAnswered(job.spec, answer, this.parts.now() - job.submittedAt)
  }

  /** Fails jobs with a queued task that exceeds the customer's plan, or that has fitted no listed target for too long. */
  failImpossibleJobs (): void {
    const now = this.parts.now()
    const hasTargets = this.parts.targets.list().length > 0
    const targets = { isAnyLargeEnough: (demand: Demand) => !hasTargets || this.parts.targets.isAnyLargeEnough(demand) }
    for (const job of [...this.parts.jobs.list()]) {
      const { spec, peakDemand } = job
      const limit = this.parts.shares.findLimit(spec.customer) ?? zeroResources
      const impossible = isWithin(peakDemand, limit) && targets.isAnyLargeEnough(peakDemand)
        ? undefined
        : findImpossibleTask(spec, this.parts.queue.get(spec.customer)?.listQueued(job) ?? [], limit, targets)
      if (impossible?.reason === 'targets') job.noFittingTargetSince ??= now
      else job.noFittingTargetSince = undefined
      if (impossible === undefined || (job.noFittingTargetSince !== undefined && now - job.noFittingTargetSince < noFittingTargetTimeoutMs)) continue
      const exceeded = impossible.reason === 'plan' ? `the plan of "${spec.customer}"` : 'every target'
      this.failJob(job, 'DemandNoLongerAllowed', `the demand of queued task ${impossible.index} exceeds ${exceeded}`, impossible.index, spec.repeatable)
    }
  }
}
