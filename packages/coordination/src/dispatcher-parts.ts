import { formatSeat, zeroResources } from '@sesamereel/state'
import { CancellationBatcher } from './cancellation-batcher.js'
import { type DispatchObserver, NoOpDispatchObserver } from './dispatch-observer.js'
import { type DispatcherOptions } from './dispatcher-types.js'
import { JobProgress } from './job-progress.js'
import { JobQueue } from './job-queue.js'
import { JobRegistry } from './job-registry.js'
import { JobTable } from './job-table.js'
import { LoanManager, type LoanReply } from './loan-manager.js'
import { SeatPlanShares } from './seat-plan-shares.js'
import { RunTimeEstimator } from './run-time-estimator.js'
import { SlotCredits } from './slot-credits.js'
import { TargetTable } from './target-table.js'
import { type StartedAttempt, TaskStarter } from './task-starter.js'

/** The components of one dispatcher, used only by it and by each other. */
export interface DispatcherParts {
  readonly observer: DispatchObserver
  readonly registry: JobRegistry
  readonly jobs: JobTable
  readonly shares: SeatPlanShares
  readonly credits: SlotCredits
  readonly targets: TargetTable
  readonly estimator: RunTimeEstimator
  readonly queue: JobQueue
  readonly cancellations: CancellationBatcher
  readonly loanManager: LoanManager
  readonly starter: TaskStarter
  readonly progress: JobProgress
}

/** Callbacks from the components to their dispatcher. */
export interface DispatcherCallbacks {
  readonly postLoanReply: (reply: LoanReply) => void
  readonly startAttempt: (attempt: StartedAttempt) => void
}

/** Creates the components of a dispatcher and connects them. */
export function createDispatcherParts (options: DispatcherOptions, hooks: DispatcherCallbacks): DispatcherParts {
  const { identity, topology, clock, placement, isShareUsable, runner } = options
  const self = formatSeat(identity)
  const observer = options.observer ?? new NoOpDispatchObserver()
  const registry = new JobRegistry(identity)
  const jobs = new JobTable(registry, clock)
  const shares = new SeatPlanShares(topology, identity)
  const credits = new SlotCredits(self)
  const targets = new TargetTable()
  const estimator = new RunTimeEstimator()
  const queue = new JobQueue(customer => shares.findLimit(customer) ?? zeroResources)
  const now = (): number => clock.now()
  const cancellations = new CancellationBatcher(clock, (targetId, taskIds) => {
    observer.onCancellationsSent(targetId, taskIds.length)
    runner.cancelAttempts(targetId, taskIds)
  })
  let loanCount = 0
  const loanManager = new LoanManager({
    self,
    channel: options.loans,
    shares,
    credits,
    queue,
    targets,
    observer,
    isShareUsable,
    sharesCredits: placement.sharesCredits,
    createLoanId: () => `${self}.${identity.incarnation}.${loanCount++}`,
    postReply: hooks.postLoanReply
  })
  const starter = new TaskStarter({ queue, targets, shares, credits, estimator, placement, isShareUsable, now, start: hooks.startAttempt })
  const progress = new JobProgress({ jobs, queue, targets, shares, credits, estimator, observer, starter, cancellations, now })
  return { observer, registry, jobs, shares, credits, targets, estimator, queue, cancellations, loanManager, starter, progress }
}
