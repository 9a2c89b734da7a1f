import { createResultError, type Demand, isWithin, type JobAnswer, type ResultCodeName, zeroResources } from '@sesamereel/state'
import { type AttemptResult } from './attempt.js'
import { classifyResult, isPossibleStart } from './attempt-rules.js'
import { type CancellationBatcher } from './cancellation-batcher.js'
import { type DispatchObserver } from './dispatch-observer.js'
import { type JobQueue } from './job-queue.js'
import { type JobRecord } from './job-record.js'
import { type JobTable } from './job-table.js'
import { type PlanAccount } from './plan-account.js'
import { type RunTimeEstimator } from './run-time-estimator.js'
import { type SlotCredits } from './slot-credits.js'
import { findImpossibleTask } from './submission-check.js'
import { type TargetTable } from './target-table.js'
import { type StartedAttempt, type TaskStarter } from './task-starter.js'

/** Queued tasks may fit no listed target for this long, in milliseconds, since targets get replaced. */
const unfitMs = 10_000

/** What the progress of jobs changes. */
export interface ProgressParts {
  readonly jobs: JobTable
  readonly queue: JobQueue
  readonly targets: TargetTable
  readonly shares: PlanAccount
  readonly credits: SlotCredits
  readonly estimator: RunTimeEstimator
  readonly starter: TaskStarter
  readonly cancellations: CancellationBatcher
  readonly observer: DispatchObserver
  readonly now: () => number
}

/** Applies results of attempts to jobs, and ends jobs. */
export class JobProgress {
  constructor (private readonly parts: ProgressParts) {}

  /** Gives back what an attempt held and applies its result to the job. */
  finishAttempt (attempt: StartedAttempt, result: AttemptResult): void {
    const { job, index, order, target } = attempt
    const now = this.parts.now()
    const spec = order.task
    this.parts.shares.ledger.release(attempt.plan)
    this.parts.credits.release(attempt.credit, target, now)
    this.parts.cancellations.remove(target.id, order.taskId)
    job.running.delete(order.taskId)
    this.parts.observer.observeResult(order, result)
    const { change } = this.parts.targets.recordEnd(target, order.taskId, spec.kind, result, now)
    if (change !== undefined) this.parts.observer.observeHealth(target.id, change)
    if (result.kind === 'succeeded') this.parts.estimator.observeRun(spec.kind, target.id, result.runMs)
    if (isPossibleStart(result)) job.starts[index]!++
    this.parts.queue.noteEnd(attempt)
    if (job.answer === undefined) this.applyDecision(attempt, result)
  }

  private applyDecision ({ job, index, order, target }: StartedAttempt, result: AttemptResult): void {
    const decision = classifyResult(result, job.spec.repeatable, job.starts[index]!, order.taskId)
    switch (decision.kind) {
      case 'finish':
        job.results[index] = decision.result
        job.done++
        if (job.done === job.spec.tasks.length) this.finish(job, { state: 'complete', key: job.spec.key, results: job.results })
        break
      case 'restart':
        if (decision.isTargetSuspect) job.avoid.set(index, target.id)
        this.parts.queue.addAgain({ job, index })
        break
      case 'fail':
        // Running tasks of a job that is not repeatable end by themselves: stopping one halfway would
        // leave effects that nobody can tell.
        this.finishFailed(job, decision.code, decision.message, index, job.spec.repeatable)
    }
  }

  /**
   * Fails a job: its answer carries no results and its queued tasks are dropped.
   *
   * @param taskIndex - task that caused the failure
   * @param cancelsRunning - whether running tasks are asked to stop
   */
  finishFailed (job: JobRecord, code: ResultCodeName, message: string, taskIndex: number | undefined, cancelsRunning: boolean): void {
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
    this.parts.observer.observeAnswer(job.spec, answer, this.parts.now() - job.submittedAt)
  }

  /** Fails jobs with queued tasks that exceed the plan, or that have long exceeded every target. */
  finishImpossible (): void {
    const now = this.parts.now()
    const hasTargets = this.parts.targets.list().length > 0
    const targets = { isAnyLargeEnough: (demand: Demand) => !hasTargets || this.parts.targets.isAnyLargeEnough(demand) }
    for (const job of [...this.parts.jobs.list()]) {
      const { spec, peakDemand } = job
      const limit = this.parts.shares.findLimit(spec.customer) ?? zeroResources
      const impossible = isWithin(peakDemand, limit) && targets.isAnyLargeEnough(peakDemand)
        ? undefined
        : findImpossibleTask(spec, this.parts.queue.get(spec.customer)?.listQueued(job) ?? [], limit, targets)
      if (impossible?.reason === 'targets') job.unfitSince ??= now
      else job.unfitSince = undefined
      if (impossible === undefined || (job.unfitSince !== undefined && now - job.unfitSince < unfitMs)) continue
      const bound = impossible.reason === 'plan' ? `the plan of "${spec.customer}"` : 'every target'
      this.finishFailed(job, 'DemandNoLongerAllowed', `the demand of queued task ${impossible.index} exceeds ${bound}`, impossible.index, spec.repeatable)
    }
  }
}
