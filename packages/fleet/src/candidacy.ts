import { type InstanceEntry } from './directory.js'

/** Time in milliseconds for which a domain must be without a dispatcher before the first candidate claims it. */
const firstClaimMs = 100

/** Additional wait in milliseconds of each further candidate, so that one claim is enough as a rule. */
const rankStepMs = 250

/** Time in milliseconds after which instances of other domains may claim. */
const foreignClaimMs = 2_000

/** Time in milliseconds after which a named successor takes over without the store. */
const offlineClaimMs = 700

/** Differences in power below this factor don't matter for a dispatcher. */
const samePowerFactor = 1.3

/**
 * Sorts instances by how well they can dispatch: more processing power first, because a dispatcher
 * beside its entry work needs it; among equals the later start, because a rolling restart reaches
 * the earliest ones next.
 *
 * @returns a new list, the best first
 */
export function rankInstances (instances: readonly InstanceEntry[]): readonly InstanceEntry[] {
  const strongest = Math.max(0, ...instances.map(entry => entry.power))
  const classOf = (entry: InstanceEntry): number => Math.floor(Math.log(strongest / entry.power) / Math.log(samePowerFactor))
  return [...instances].sort((a, b) => classOf(a) - classOf(b) || Math.floor((b.startedMs - a.startedMs) / 1_000) || (a.instance < b.instance ? -1 : 1))
}

/** What a candidate knows. */
export interface CandidacyInputs {
  readonly self: InstanceEntry
  readonly domain: string
  /** Instances of the domain; gone ones may still be listed. */
  readonly members: readonly InstanceEntry[]
  /** Milliseconds for which the domain's dispatcher could not be reached. */
  readonly lostMs: number
  /** Position among the successors that the domain's row names, from 0; undefined when not named. */
  readonly successorRank: number | undefined
  /** Whether the store answered the last call. */
  readonly storeReachable: boolean
  /** Instance that held the domain; it is not waited for. */
  readonly formerHolder: string | undefined
}

export type CandidacyDecision = 'wait' | 'claim' | 'take-over-without-store'

/**
 * Decides whether an instance should try to become the dispatcher of a domain. Candidates wait by
 * rank; each answers a loss of all that rank before it.
 */
export function decideCandidacy (inputs: CandidacyInputs): CandidacyDecision {
  const { self, domain, members, lostMs, successorRank, storeReachable, formerHolder: lostHolder } = inputs
  if (!storeReachable) {
    if (successorRank === undefined) return 'wait'
    return lostMs >= offlineClaimMs + successorRank * rankStepMs ? 'take-over-without-store' : 'wait'
  }
  if (self.domain !== domain) return lostMs >= foreignClaimMs ? 'claim' : 'wait'
  // An earlier process of this instance held the domain, so nobody needs to wait for it.
  if (lostHolder === self.instance) return 'claim'
  const ranked = rankInstances(members.filter(entry => entry.instance !== lostHolder || entry.instance === self.instance))
  const rank = Math.max(0, ranked.findIndex(entry => entry.instance === self.instance))
  return lostMs >= firstClaimMs + rank * rankStepMs ? 'claim' : 'wait'
}
