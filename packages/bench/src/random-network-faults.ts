import { type PlatformFaults } from '@sesamereel/stand-ins'
import { type CutDirection } from './fault-injector.js'
import { type FaultContext } from './random-fault-context.js'

/** Kinds of network partitions. */
export type CutKind = 'cut-domains' | 'cut-platform'

/** Kinds of faults of the platform. */
export type PlatformFaultKind = 'platform-down' | 'platform-slow' | 'platform-lost-replies' | 'platform-stale-reads' | 'list-lag'

/** Longest duration of a partition or platform fault in milliseconds. */
const longestFaultMs = 18_000

/**
 * Partitions a random domain from another one or from the platform, in one or both directions.
 */
export async function cutNetwork (context: FaultContext, kind: CutKind): Promise<void> {
  const { random, environment: { cluster, injector } } = context
  const direction: CutDirection = random.pick(['both', 'both', 'forward', 'backward'] as const)!
  const domains = cluster.spec.domains.map(({ name }) => name)
  const first = random.pick(domains)!
  const part = kind === 'cut-platform' ? `platform@${first}` : kind
  if (!context.reserve(part)) return
  const second = random.pick(domains.filter(name => name !== first))!
  const fault = kind === 'cut-platform' ? await injector.cutPlatform(first, direction) : await injector.cutDomains(first, second, direction)
  await context.hold(part, fault, longestFaultMs)
}

/**
 * Makes the existing connections of a random kind of link, or of all links, unresponsive.
 */
export async function silenceConnections ({ random, environment }: FaultContext): Promise<void> {
  const prefix = random.pick(['peer:', 'target:', 'platform@', ''])!
  await environment.injector.silenceLinks(name => name.startsWith(prefix))
}

/**
 * Causes a fault of the platform with a random strength.
 */
export async function disturbPlatform (context: FaultContext, kind: PlatformFaultKind): Promise<void> {
  if (!context.reserve('platform')) return
  const { random, environment: { injector } } = context
  // All strengths are drawn for every kind: a seed then gives the same sequence of random numbers.
  const faults: Readonly<Record<PlatformFaultKind, Partial<PlatformFaults>>> = {
    'platform-down': { down: random.pick(['refuse', 'error', 'hang'] as const)! },
    'platform-slow': { slowMs: random.pickInteger(200, 4_000) },
    'platform-lost-replies': { loseReplies: true },
    'platform-stale-reads': { staleReadMs: random.pickInteger(500, 15_000) },
    'list-lag': { listLagMs: random.pickInteger(1_000, 8_000) }
  }
  await context.hold('platform', await injector.disturbPlatform(kind, faults[kind]), longestFaultMs)
}
