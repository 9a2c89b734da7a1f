import { type LoadSummary } from './messages.js'

/** A domain whose dispatcher is connected. */
export interface DomainOption {
  readonly domain: string
  readonly load: LoadSummary | undefined
  readonly isHome: boolean
}

/** What a job needs, in thousandths of a core. */
export interface JobDemand {
  readonly processors: number
  readonly largestTask: number
}

/** Cost in milliseconds of leaving the home domain: a round trip more, and traffic between domains. */
const awayMs = 4

/** Assumed wait in milliseconds before the first heartbeat tells the load. */
const unknownWaitMs = 5

/** Wait in milliseconds that a job sees when a domain's free room doesn't hold all of it. */
const partialRoomMs = 20

/** Cost in milliseconds of the part of a domain's room that is in use, so that equal domains share. */
const fillMs = 3

/**
 * Predicts how long a job would wait in a domain.
 *
 * @returns milliseconds, for comparison only
 */
export function estimateDomainWait (option: DomainOption, need: JobDemand): number {
  const away = option.isHome ? 0 : awayMs
  const { load } = option
  if (load === undefined) return unknownWaitMs + away
  if (load.usableProcessors === 0) return 60_000 + away
  const fill = fillMs * (1 - Math.max(0, load.freeProcessors) / load.usableProcessors)
  if (load.queuedJobs === 0 && load.largestFree >= need.largestTask && load.freeProcessors >= need.processors) return away + fill
  const excess = Math.max(0, need.processors - load.freeProcessors) / load.usableProcessors
  return load.waitMs + partialRoomMs + excess * 100 + away + fill
}

/**
 * Chooses the domain for a job: home while it has room, else where the job waits least. Loads are
 * a heartbeat old, so the caller subtracts what it has sent since.
 *
 * @returns undefined when no domain is connected
 */
export function chooseDomain (options: readonly DomainOption[], need: JobDemand): DomainOption | undefined {
  let best: DomainOption | undefined
  let bestWait = Infinity
  for (const option of options) {
    const wait = estimateDomainWait(option, need)
    if (wait >= bestWait) continue
    best = option
    bestWait = wait
  }
  return best
}

/**
 * Decides whether a domain could take a waiting job from another one: it has room for the whole
 * job and nothing queued, so the job starts at once.
 */
export function canStartAtOnce (load: LoadSummary, need: JobDemand): boolean {
  return load.queuedJobs === 0 && load.largestFree >= need.largestTask && load.freeProcessors >= need.processors
}
