import { type Dispatcher } from './dispatcher.js'
import { type DomainDrains, type IgnoredDrainRow } from './domain-drains.js'
import { type DispatcherConnection } from './dispatcher-connection.js'
import { type JobOwner } from './job-owner.js'
import { type OwnerServer } from './owner-server.js'

/** URL path of the fleet status, served on the metrics address. */
export const statusPath = '/status'

/** Number of a dispatcher's targets in each state. */
export interface TargetCounts {
  readonly usable: number
  /** Targets that do not respond. */
  readonly silent: number
  readonly draining: number
  /** Ejected after failures, or readmitted with single runs. */
  readonly probation: number
}

/** State of a failure domain, as seen by one instance. */
export interface DomainStatus {
  readonly domain: string
  /** Instance that dispatches for the domain; undefined while disconnected from it. */
  readonly holder: string | undefined
  readonly token: number
  /** Milliseconds without a connection to the dispatcher; 0 while connected. */
  readonly lostMs: number
  readonly queuedJobs: number | undefined
  readonly predictedWaitMs: number | undefined
  /** Free processors at usable targets, in thousandths of a core. */
  readonly freeProcessors: number | undefined
  /** Processors at usable targets, in thousandths of a core. */
  readonly usableProcessors: number | undefined
  /** Whether the domain's drain is requested, as far as this instance knows. */
  readonly drained: boolean
  /** Revision of the row that requests it. */
  readonly drainRevision: number | undefined
  /** Number of runs that exist or may exist in a drained domain, by its dispatcher's last heartbeat. */
  readonly runsLeft: number | undefined
}

/** State of a dispatcher that runs in the instance itself. */
export interface DispatcherStatus extends TargetCounts {
  readonly domain: string
  readonly token: number
  readonly queuedJobs: number
  /** Milliseconds since the oldest queued job was received; 0 for an empty queue. */
  readonly queueAgeMs: number
}

/** State of the fleet, as seen by one instance. */
export interface FleetStatus {
  readonly instance: string
  readonly openJobs: number
  readonly configurationVersion: number
  readonly domains: readonly DomainStatus[]
  /** Dispatchers that run in the instance itself. */
  readonly dispatchers: readonly DispatcherStatus[]
  /** Rows that request the drain of a domain and have no effect. */
  readonly ignoredDrains: readonly IgnoredDrainRow[]
}

/** Counts a dispatcher's targets by state. */
export function countTargets (dispatcher: Dispatcher): TargetCounts {
  const counts = { usable: 0, silent: 0, draining: 0, probation: 0 }
  for (const session of dispatcher.listSessions()) {
    if (session.isSilent) counts.silent++
    else if (session.info.draining) counts.draining++
    else if (session.health.isOnProbation) counts.probation++
    else counts.usable++
  }
  return counts
}

/** Builds the status report of one instance. */
export function describeFleet (instance: string, configurationVersion: number, owner: JobOwner, server: OwnerServer, connections: readonly DispatcherConnection[], drains: DomainDrains): FleetStatus {
  return {
    instance,
    openJobs: owner.jobCount,
    configurationVersion,
    domains: connections.map(connection => describeDomain(connection, drains)),
    dispatchers: server.listDispatchers().map(dispatcher => ({
      domain: dispatcher.domain,
      token: dispatcher.token,
      queuedJobs: dispatcher.queueLength,
      queueAgeMs: Math.round(dispatcher.measureQueueAgeMs()),
      ...countTargets(dispatcher)
    })),
    ignoredDrains: drains.listIgnored()
  }
}

function describeDomain (connection: DispatcherConnection, drains: DomainDrains): DomainStatus {
  const { load } = connection
  return {
    domain: connection.domain,
    holder: connection.isConnected ? connection.holder : undefined,
    token: connection.token,
    lostMs: Math.round(connection.measureLostMs()),
    queuedJobs: load?.queuedJobs,
    predictedWaitMs: load?.waitMs,
    freeProcessors: load?.freeProcessors,
    usableProcessors: load?.usableProcessors,
    drained: drains.isDrained(connection.domain),
    drainRevision: drains.findRevision(connection.domain),
    runsLeft: load?.runs
  }
}
