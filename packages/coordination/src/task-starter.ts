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

/** Starts in one round; the rest follows after other messages were handled. */
const mostStartsPerRound = 500

/** A reply is late after this multiple of the expected run time plus this many milliseconds. */
const lateFactor = 3
const lateMs = 500

/**
 * No reply is late before this time in milliseconds. Declared and learned times are far from the
 * truth for single tasks; without this bound 4.7% of the starts were asked for while they ran.
 */
const earliestLateMs = 3_000

/** A started attempt with everything that must be given back when it ends. */
export interface StartedAttempt extends TaskRef {
  readonly order: AttemptOrder
  readonly target: TargetState
  readonly planReservation: Reservation
  readonly creditReservation: Reservation
}

/** Why a round ended, and what was short in it. */
export interface RoundResult {
  readonly starts: number
  /** More tasks could start at once. */
  readonly hasReachedLimit: boolean
  /** A task waits for a busy target or one that is left alone for a moment. */
  readonly isWaiting: boolean
  /** Customers whose plan units did not suffice. */
  readonly customersShortOfPlan: ReadonlySet<CustomerQueue>
  readonly areSlotsShort: boolean
}

/** What the starter works on. */
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

type StartOutcome = 'started' | 'plan' | 'credit'

/** Starts queued tasks in order, as long as plan units, credits and targets allow it. */
export class TaskStarter {
  private readonly view: PlacementView
  private readonly bound = new BoundTasks()

  constructor (private readonly parts: TaskStarterDependencies) {
    this.view = {
      listTargets: () => parts.targets.list(),
      getSlowdownFactor: id => parts.estimator.getSlowdownFactor(id),
      countQueued: most => parts.queue.countActive(most)
    }
  }

  /** Drops tasks of a finished job that wait at targets. */
  removeJob (job: TaskRef['job']): void {
    for (const task of this.bound.removeJob(job)) this.parts.queue.get(job.spec.customer)?.markDequeued(task.job, task.index)
  }

  /** Returns the tasks that wait at targets to the queue, to be checked and placed anew. */
  requeueBoundTasks (): void {
    this.addAgain(this.bound.takeAll())
  }

  runRound (): RoundResult {
    const { queue, targets } = this.parts
    const planShort = new Set<CustomerQueue>()
    let areSlotsShort = false
    let isWaiting = false
    queue.beginRound()
    let starts = this.startBound()
    for (;;) {
      if (starts >= mostStartsPerRound) return { starts, hasReachedLimit: true, isWaiting, customersShortOfPlan: planShort, areSlotsShort }
      const first = queue.findNext()
      if (first === undefined) break
      // The clock is read for each start: a process that was paused must not act on an old time.
      const now = this.parts.now()
      const decision = this.selectTarget(first.part, now)
      if (decision.kind === 'none') {
        areSlotsShort = true
        if (!targets.isAnyFree(now)) break
        queue.skipForRound(first.part)
      } else if (decision.kind === 'wait') {
        isWaiting = true
        queue.skipForRound(first.part)
      } else {
        const outcome = decision.kind === 'start'
          ? this.startFirst(first.queue, first.part, decision.target, now)
          : this.attachFirst(first.queue, first.part, decision.target, now)
        if (outcome === 'started' && decision.kind === 'start') starts++
        if (outcome === 'plan') {
          planShort.add(first.queue)
          queue.skipUntilPlanFree(first.queue, first.part, this.isWithinOwnShare(first.part), now)
        }
      }
    }
    return { starts, hasReachedLimit: false, isWaiting, customersShortOfPlan: planShort, areSlotsShort: areSlotsShort || this.bound.size > 0 }
  }

  private isWithinOwnShare (part: QueuedTaskGroup): boolean {
    const { spec } = part.job
    return this.parts.shares.isWithinOwnShare(spec.customer, createTaskVector(spec.tasks[part.getFirst()]!.demand))
  }

  private selectTarget (part: QueuedTaskGroup, now: number): PlacementDecision {
    const { job } = part
    const index = part.getFirst()
    const request = {
      demand: job.spec.tasks[index]!.demand,
      expectedMs: job.expectedMs[index]!,
      avoidTargetId: job.avoidedTargets.size === 0 ? undefined : job.avoidedTargets.get(index),
      now
    }
    return this.parts.placement.selectTarget(request, this.view)
  }

  private startFirst (queue: CustomerQueue, part: QueuedTaskGroup, target: TargetState, now: number): StartOutcome {
    const task = { job: part.job, index: part.getFirst() }
    return this.startTask(task, target, now, () => { queue.takeFirst(part) })
  }

  private attachFirst (queue: CustomerQueue, part: QueuedTaskGroup, target: TargetState, now: number): StartOutcome {
    const spec = part.job.spec.tasks[part.getFirst()]!
    const available = this.parts.shares.computeAvailable(queue.customer, computeLatestEnd(spec, now), now, this.parts.isShareUsable())
    if (!isWithin(createTaskVector(spec.demand), available)) return 'plan'
    this.bound.add(target, { job: part.job, index: queue.takeFirst(part) })
    return 'started'
  }

  private startTask (task: TaskRef, target: TargetState, now: number, take: () => void): StartOutcome {
    const { shares, credits, queue, estimator } = this.parts
    const { job, index } = task
    const spec = job.spec.tasks[index]!
    const plan = shares.reserve(job.spec.customer, createTaskVector(spec.demand), computeLatestEnd(spec, now), now, this.parts.isShareUsable())
    if (plan === undefined) return 'plan'
    const credit = credits.reserve(target, now)
    if (credit === undefined) {
      shares.ledger.release(plan)
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
      lateAfterMs: Math.max(earliestLateMs, lateFactor * expectedMs + lateMs),
      ...(job.traceparent === undefined ? {} : { traceparent: job.traceparent })
    }
    target.recordStart(order.taskId, now, expectedMs, spec.demand)
    job.running.set(order.taskId, target.id)
    this.parts.start({ job, index, order, target, planReservation: plan, creditReservation: credit })
    return 'started'
  }

  /** Starts tasks that wait at their targets; those of lost targets return to the queue. */
  private startBound (): number {
    let starts = 0
    const now = this.parts.now()
    this.addAgain(this.bound.takeStranded(now))
    this.bound.startWaiting(now, (task, target) => {
      const outcome = this.startTask(task, target, this.parts.now(), () => {})
      if (outcome === 'started') starts++
      return outcome === 'started'
    })
    return starts
  }

  private addAgain (tasks: readonly TaskRef[]): void {
    for (const task of tasks) {
      this.parts.queue.get(task.job.spec.customer)!.markDequeued(task.job, task.index)
      this.parts.queue.requeueTask(task)
    }
  }
}

function computeLatestEnd (task: TaskSpec, now: number): number {
  return now + startWindowMs + task.timeoutMs
}
