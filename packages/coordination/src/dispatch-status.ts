import { type ResourceVector } from '@sesamereel/state'
import { type DispatcherParts } from './dispatcher-parts.js'
import { formatPlanResource } from './seat-plan-shares.js'

export interface CustomerStatus {
  readonly customer: string
  readonly queued: number
  readonly used: ResourceVector
  readonly lent: ResourceVector
  readonly limit: ResourceVector
}

export interface TargetStatus {
  readonly id: string
  readonly isLeaving: boolean
  readonly isEjected: boolean
  readonly freeCredits: number
  readonly running: number
  /** Learned slowdown factor: 1 is average speed, higher is slower. */
  readonly factor: number
}

/** Snapshot of a dispatcher for operators and metrics. */
export interface DispatcherStatus {
  readonly configurationVersion: number
  readonly isDraining: boolean
  readonly isShareUsable: boolean
  readonly jobs: number
  readonly queued: number
  readonly running: number
  /** Customers that have queued or running tasks. */
  readonly customers: readonly CustomerStatus[]
  readonly targets: readonly TargetStatus[]
}

/** Collects the part of a status that is read from the queue, the plan shares and the targets. */
export function collectStatus (
  { queue, targets, shares, estimator }: Pick<DispatcherParts, 'queue' | 'targets' | 'shares' | 'estimator'>, now: number
): Pick<DispatcherStatus, 'queued' | 'running' | 'customers' | 'targets'> {
  const customers = [...queue.list()].map(entry => ({
    customer: entry.customer,
    queued: entry.queued,
    used: { ...entry.getUsed() },
    lent: shares.ledger.computeLent(formatPlanResource(entry.customer), now),
    limit: entry.limit
  }))
  return {
    queued: customers.reduce((sum, entry) => sum + entry.queued, 0),
    running: targets.list().reduce((sum, target) => sum + target.running.size, 0),
    customers,
    targets: targets.list().map(target => ({
      id: target.id,
      isLeaving: target.isLeaving,
      isEjected: target.health.isEjected(),
      freeCredits: target.freeCredits,
      running: target.running.size,
      factor: estimator.getSlowdownFactor(target.id)
    }))
  }
}
