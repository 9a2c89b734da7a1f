import { createTaskVector, isWithin, startWindowMs, type TaskSpec } from '@sesamereel/state'
import { type AttemptOrder } from './attempt.js'
import { BoundTasks } from './bound-tasks.js'
import { type CustomerQueue } from './customer-queue.js'
import { type QueuedTaskGroup } from './demand-class.js'
import { type JobQueue } from './job-queue.js'
import { type TaskRef } from './job-record.js'
import { type Reservation } from './resource-ledger.js'
import { type PlacementDecision, type PlacementPolicy, type PlacementView } from './placement-policy.js'
import { type SeatPlanShares } from './seat-plan-shares.js'
import { type RunTimeEstimator } from './run-time-estimator.js'
import { type SlotCredits } from './slot-credits.js'
import { type TargetState } from './target-state.js'
import { type TargetTable } from './target-table.js'

/** Maximum number of starts in one round; the rest follow after pending messages have been handled. */
const maxStartsPerRound = 500

/** A reply is late after `lateFactor` times the expected run time plus `lateAllowanceMs` milliseconds. */
const lateFactor = 3
const lateAllowanceMs = 500

/**
 * Minimum time in milliseconds before a reply is late. Declared and learned run times are inaccurate
 * for single tasks; without this minimum, targets were queried about 4.7% of the starts while the
 * tasks were still running.
 */
const minLateAfterMs = 3_000

/** A started attempt with the reservations that are released when it ends. */
export interface StartedAttempt extends TaskRef {
  readonly order: AttemptOrder
  readonly target: TargetState
  readonly planReservation: Reservation
  readonly creditReservation: Reservation
}

/** Result of a dispatch round: why it ended and which resources were short. */
export interface RoundResult {
  readonly starts: number
  /** Whether the round ended at the maximum number of starts, so that more tasks may be able to start at once. */
  readonly hasReachedLimit: boolean
  /** Whether a task waits for a faster target that is busy. */
  readonly isWaiting: boolean
  /** Customers without enough available plan units for a task. */
  readonly customersShortOfPlan: ReadonlySet<CustomerQueue>
  /** Whether no target could take a task, or tasks wait at targets. */
  readonly areSlotsShort: boolean
}

/** Dependencies of `TaskStarter`. */
export interface TaskStarterDependencies {
  readonly queue: JobQueue
  readonly targets: TargetTable
  readonly shares: SeatPlanShares
  readonly credits: SlotCredits
  readonly estimator: RunTimeEstimator
  readonly placement: PlacementPolicy
  readonly now: () => number
  readonly isShareUsable: () => boolean
  readonly start: (attempt: StartedAttempt) => void
}

/** `plan` and `credit` name the reservation that failed; `started` also stands for a task that was bound to a target. */
type StartOutcome = 'started' | 'plan' | 'credit'

/** Starts queued tasks in order, as far as plan units, slot credits and targets allow. */
export class TaskStarter {
  private readonly view: PlacementView
  private readonly boundTasks = new BoundTasks()

  constructor (private readonly parts: TaskStarterDependencies) {
    this.view = {
      listTargets: () => parts.targets.list(),
      getSlowdownFactor: id => parts.estimator.getSlowdownFactor(id),
      countQueued: most => parts.queue.countActive(most)
    }
  }

  /** Drops the tasks of a finished job that wait at targets. */
  removeJob (job: TaskRef['job']): void {
    for (const task of this.boundTasks.removeJob(job)) this.parts.queue.get(job.spec.customer)?.markDequeued(task.job, task.index)
  }

  /** Returns all tasks that wait at targets to the queue, where they are checked and placed again. */
  requeueBoundTasks (): void {
    this.requeueTasks(this.boundTasks.takeAll())
  }

  /** Starts as many tasks as can start now, those that wait at targets first. */
  runRound (): RoundResult {
    const { queue, targets } = this.parts
    const customersShortOfPlan = new Set<CustomerQueue>()
    let areSlotsShort = false
    let isWaiting = false
    queue.beginRound()
    let starts = this.startBound()
    for (;;) {
      if (starts >= maxStartsPerRound) return { starts, hasReachedLimit: true, isWaiting, customersShortOfPlan, areSlotsShort }
      const first = queue.findNext()
      if (first === undefined) break
      // The clock is read for each start, since a process that was paused must not use an outdated time.
      const now = this.parts.now()
      const decision = this.selectTarget(first.group, now)
      if (decision.kind === 'none') {
        areSlotsShort = true
        if (!targets.hasFreeTarget(now)) break
        queue.skipForRound(first.group)
      } else if (decision.kind === 'wait') {
        isWaiting = true
        queue.skipForRound(first.group)
      } else {
        const outcome = decision.kind === 'start'
          ? this.startFirst(first.queue, first.group, decision.target, now)
          : this.bindFirst(first.queue, first.group, decision.target, now)
        if (outcome === 'started' && decision.kind === 'start') starts++
        if (outcome === 'plan') {
          customersShortOfPlan.add(first.queue)
          queue.skipUntilPlanFree(first.queue, first.group, this.isWithinOwnShare(first.group), now)
        }
      }
    }
    return { starts, hasReachedLimit: false, isWaiting, customersShortOfPlan, areSlotsShort: areSlotsShort || this.boundTasks.size > 0 }
  }

  private isWithinOwnShare (group: QueuedTaskGroup): boolean {
    const { spec } = group.job
    return this.parts.shares.isWithinOwnShare(spec.customer, createTaskVector(spec.tasks[group.getFirst()]!.demand))
  }

  private selectTarget (group: QueuedTaskGroup, now: number): PlacementDecision {
    const { job } = group
    const index = group.getFirst()
    const request = {
      demand: job.spec.tasks[index]!.demand,
      expectedMs: job.expectedMs[index]!,
      avoidTargetId: job.avoidedTargets.size === 0 ? undefined : job.avoidedTargets.get(index),
      now
    }
    return this.parts.placement.selectTarget(request, this.view)
  }

  private startFirst (queue: CustomerQueue, group: QueuedTaskGroup, target: TargetState, now: number): StartOutcome {
    const task = { job: group.job, index: group.getFirst() }
    return this.startTask(task, target, now, () => { queue.takeFirst(group) })
  }

  private bindFirst (queue: CustomerQueue, group: QueuedTaskGroup, target: TargetState, now: number): StartOutcome {
    const spec = group.job.spec.tasks[group.getFirst()]!
    const available = this.parts.shares.computeAvailable(queue.customer, computeLatestEnd(spec, now), now, this.parts.isShareUsable())
    if (!isWithin(createTaskVector(spec.demand), available)) return 'plan'
    this.boundTasks.add(target, { job: group.job, index: queue.takeFirst(group) })
    return 'started'
  }

  private startTask (task: TaskRef, target: TargetState, now: number, take: () => void): StartOutcome {
    const { shares, credits, queue, estimator } = this.parts
    const { job, index } = task
    const spec = job.spec.tasks[index]!
    const planReservation = shares.reserve(job.spec.customer, createTaskVector(spec.demand), computeLatestEnd(spec, now), now, this.parts.isShareUsable())
    if (planReservation === undefined) return 'plan'
    const creditReservation = credits.reserve(target, now)
    if (creditReservation === undefined) {
      shares.ledger.release(planReservation)
      return 'credit'
    }
    take()
    queue.recordStart(queue.get(job.spec.customer)!, task)
    const expectedMs = job.expectedMs[index]! * estimator.getSlowdownFactor(target.id)
    const order: AttemptOrder = {
      taskId: `${job.spec.key}/${index}/${job.ordersSent[index]!++}`,
      customer: job.spec.customer,
      targetId: target.id,
      task: spec,
      startDeadline: now + startWindowMs,
      lateAfterMs: Math.max(minLateAfterMs, lateFactor * expectedMs + lateAllowanceMs),
      ...(job.traceparent === undefined ? {} : { traceparent: job.traceparent })
    }
    target.recordStart(order.taskId, now, expectedMs, spec.demand)
    job.running.set(order.taskId, target.id)
    this.parts.start({ job, index, order, target, planReservation, creditReservation })
    return 'started'
  }

  /** Starts tasks that wait at their targets, and requeues those of targets that are leaving, unlisted or ejected. */
  private startBound (): number {
    let starts = 0
    const now = this.parts.now()
    this.requeueTasks(this.boundTasks.takeStranded(now))
    this.boundTasks.startWaiting(now, (task, target) => {
      const outcome = this.startTask(task, target, this.parts.now(), () => {})
      if (outcome === 'started') starts++
      return outcome === 'started'
    })
    return starts
  }

  private requeueTasks (tasks: readonly TaskRef[]): void {
    for (const task of tasks) {
      this.parts.queue.get(task.job.spec.customer)!.markDequeued(task.job, task.index)
      this.parts.queue.requeueTask(task)
    }
  }
}

function computeLatestEnd (task: TaskSpec, now: number): number {
  return now + startWindowMs + task.timeoutMs
}
