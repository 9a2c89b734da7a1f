import { type Dispatcher } from './dispatcher.js'
import { type DispatcherConnection } from './dispatcher-connection.js'
import { type JobOwner } from './job-owner.js'
import { type OwnerServer } from './owner-server.js'

/** Path of the status on the metrics address. */
export const statusPath = '/status'

/** Targets of a dispatcher by the state in which it sees them. */
export interface TargetCounts {
  readonly usable: number
  readonly silent: number
  readonly draining: number
  /** Suspended, or tried with single runs after failures. */
  readonly probation: number
}

/** One failure domain as an instance sees it. */
export interface DomainStatus {
  readonly domain: string
  /** Instance that dispatches; absent while there is no connection. */
  readonly holder: string | undefined
  readonly token: number
  readonly lostMs: number
  readonly queuedJobs: number | undefined
  readonly predictedWaitMs: number | undefined
  /** Processors in thousandths of a core. */
  readonly freeProcessors: number | undefined
  readonly usableProcessors: number | undefined
}

/** A dispatcher of the instance itself. */
export interface DispatcherStatus extends TargetCounts {
  readonly domain: string
  readonly token: number
  readonly queuedJobs: number
  readonly queueAgeMs: number
}

/** What an instance knows of the fleet. */
export interface FleetStatus {
  readonly instance: string
  readonly openJobs: number
  readonly configurationVersion: number
  readonly domains: readonly DomainStatus[]
  /** The instance's own dispatchers. */
  readonly dispatchers: readonly DispatcherStatus[]
}

/**
 * Counts a dispatcher's targets.
 */
export function countTargets (dispatcher: Dispatcher): TargetCounts {
  const counts = { usable: 0, silent: 0, draining: 0, probation: 0 }
  for (const session of dispatcher.listSessions()) {
    if (session.isSilent) counts.silent++
    else if (session.info.draining) counts.draining++
    else if (session.health.onProbation) counts.probation++
    else counts.usable++
  }
  return counts
}

/**
 * Describes the fleet as one instance sees it.
 */
export function describeFleet (instance: string, configurationVersion: number, owner: JobOwner, server: OwnerServer, links: readonly DispatcherConnection[]): FleetStatus {
  return {
    instance,
    openJobs: owner.jobCount,
    configurationVersion,
    domains: links.map(describeDomain),
    dispatchers: server.listDispatchers().map(dispatcher => ({
      domain: dispatcher.domain,
      token: dispatcher.token,
      queuedJobs: dispatcher.queueLength,
      queueAgeMs: Math.round(dispatcher.measureQueueAge()),
      ...countTargets(dispatcher)
    }))
  }
}

function describeDomain (link: DispatcherConnection): DomainStatus {
  const { load } = link
  return {
    domain: link.domain,
    holder: link.isConnected ? link.holder : undefined,
    token: link.token,
    lostMs: Math.round(link.measureLostMs()),
    queuedJobs: load?.queuedJobs,
    predictedWaitMs: load?.waitMs,
    freeProcessors: load?.freeProcessors,
    usableProcessors: load?.usableProcessors
  }
}
