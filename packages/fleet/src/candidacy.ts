import { type InstanceEntry } from './directory.js'

/** Time in milliseconds that a domain must be without a dispatcher before the first-ranked candidate claims it. */
const firstClaimDelayMs = 100

/** Additional delay in milliseconds for each rank, so that usually a single candidate claims. */
const delayPerRankMs = 250

/** Time in milliseconds that a domain must be without a dispatcher before instances of other domains may claim it. */
const foreignClaimDelayMs = 2_000

/** Time in milliseconds without a dispatcher after which the first named successor takes over without the store. */
const storelessTakeoverDelayMs = 700

/** Ratio of processing power that separates two classes; instances of one class count as equally strong. */
const equalPowerRatio = 1.3

/**
 * Ranks instances by their suitability as dispatcher. More processing power comes first, because a
 * dispatcher needs it in addition to the work of accepting jobs. Among equally strong instances the
 * one that started last comes first, because a rolling restart reaches the oldest ones next.
 *
 * @returns a new list, best candidate first
 */
export function rankInstances (instances: readonly InstanceEntry[]): readonly InstanceEntry[] {
  const strongest = Math.max(0, ...instances.map(entry => entry.power))
  const computePowerClass = (entry: InstanceEntry): number => Math.floor(Math.log(strongest / entry.power) / Math.log(equalPowerRatio))
  return [...instances].sort((a, b) => computePowerClass(a) - computePowerClass(b) || Math.floor((b.startedMs - a.startedMs) / 1_000) || (a.instance < b.instance ? -1 : 1))
}

/** Inputs to the decision of one candidate. */
export interface CandidacyInputs {
  readonly self: InstanceEntry
  readonly domain: string
  /** Instances registered in the domain; the list may still contain stopped ones. */
  readonly members: readonly InstanceEntry[]
  /** Milliseconds for which the domain's named dispatcher has been unreachable. */
  readonly lostMs: number
  /** Whether the first attempt to connect to the named dispatcher has not ended yet. */
  readonly isHolderUntried: boolean
  /** Index in the successor list of the domain's row; undefined if the row does not name this instance. */
  readonly successorRank: number | undefined
  /** Whether the store answered this instance's last call. */
  readonly storeReachable: boolean
  /** Instance that the row still names although it no longer dispatches; the ranking leaves it out. */
  readonly formerHolder: string | undefined
}

export type CandidacyDecision = 'wait' | 'claim' | 'take-over-without-store'

/**
 * Decides whether an instance should try to become the dispatcher of a domain. The delay grows with
 * the rank, so a candidate acts only if all candidates that rank before it have failed to. The first attempt
 * to connect to a holder may last longer than that over a full link, and says nothing until it ends.
 */
export function decideCandidacy (inputs: CandidacyInputs): CandidacyDecision {
  const { self, domain, members, lostMs, isHolderUntried, successorRank, storeReachable, formerHolder } = inputs
  if (isHolderUntried) return 'wait'
  if (!storeReachable) {
    if (successorRank === undefined) return 'wait'
    return lostMs >= storelessTakeoverDelayMs + successorRank * delayPerRankMs ? 'take-over-without-store' : 'wait'
  }
  if (self.domain !== domain) return lostMs >= foreignClaimDelayMs ? 'claim' : 'wait'
  // The former holder was an earlier process of this instance, so there is no other candidate to wait for.
  if (formerHolder === self.instance) return 'claim'
  const ranked = rankInstances(members.filter(entry => entry.instance !== formerHolder || entry.instance === self.instance))
  const rank = Math.max(0, ranked.findIndex(entry => entry.instance === self.instance))
  return lostMs >= firstClaimDelayMs + rank * delayPerRankMs ? 'claim' : 'wait'
}
