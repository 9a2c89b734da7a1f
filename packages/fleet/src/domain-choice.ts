import { type LoadSummary } from './messages.js'

/** A domain whose dispatcher is connected, as a choice for a job. */
export interface DomainOption {
  readonly domain: string
  readonly load: LoadSummary | undefined
  readonly isHome: boolean
}

/** Processors that a job demands, in thousandths of a core. */
export interface JobDemand {
  /** Sum over the tasks of the steps that depend on no other step. */
  readonly processors: number
  readonly largestTask: number
}

/** Cost in milliseconds of leaving the home domain: an additional round trip and traffic between domains. */
const crossDomainCostMs = 4

/** Assumed wait in milliseconds until the first heartbeat reports the load. */
const unknownWaitMs = 5

/** Additional wait in milliseconds when a domain's free capacity cannot hold the whole job or jobs are queued. */
const partialCapacityWaitMs = 20

/** Cost in milliseconds of a fully used domain; it grows with the used part, so that equal domains share the load. */
const fullUtilizationCostMs = 3

/**
 * Estimates the wait and the extra cost of a job in a domain.
 *
 * @returns milliseconds, meant only for comparing domains
 */
export function estimateDomainWait (option: DomainOption, demand: JobDemand): number {
  const crossDomainMs = option.isHome ? 0 : crossDomainCostMs
  const { load } = option
  if (load === undefined) return unknownWaitMs + crossDomainMs
  if (load.usableProcessors === 0) return 60_000 + crossDomainMs
  const utilizationMs = fullUtilizationCostMs * (1 - Math.max(0, load.freeProcessors) / load.usableProcessors)
  if (load.queuedJobs === 0 && load.largestFree >= demand.largestTask && load.freeProcessors >= demand.processors) return load.waitMs + crossDomainMs + utilizationMs
  const excess = Math.max(0, demand.processors - load.freeProcessors) / load.usableProcessors
  return load.waitMs + partialCapacityWaitMs + excess * 100 + crossDomainMs + utilizationMs
}

/**
 * Chooses the domain with the lowest estimate for a job, which favours the home domain while that
 * has free capacity. Loads are up to a heartbeat old, so the caller subtracts the processors of the
 * jobs that it has submitted since.
 *
 * @returns undefined when no domain is connected
 */
export function chooseDomain (options: readonly DomainOption[], demand: JobDemand): DomainOption | undefined {
  let best: DomainOption | undefined
  let bestWait = Infinity
  for (const option of options) {
    const wait = estimateDomainWait(option, demand)
    if (wait >= bestWait) continue
    best = option
    bestWait = wait
  }
  return best
}

/**
 * Decides whether a job that waits in another domain would start immediately in this one: it has
 * capacity for the whole job and nothing is queued.
 */
export function canStartAtOnce (load: LoadSummary, demand: JobDemand): boolean {
  return load.queuedJobs === 0 && load.largestFree >= demand.largestTask && load.freeProcessors >= demand.processors
}
