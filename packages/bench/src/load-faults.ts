import { setTimeout as delay } from 'node:timers/promises'
import { type Cluster } from './cluster.js'
import { type FaultInjector } from './fault-injector.js'

/** Ends a fault and restores what it removed, so that the system can recover. */
type EndFault = () => Promise<void>

/** Starts a fault and returns the function that ends it. */
type BeginFault = (cluster: Cluster, injector: FaultInjector) => Promise<EndFault>

const faults = {
  'kill-target': async cluster => {
    const { id, domain, spec } = pickTarget(cluster, 0)
    cluster.killProcess(id)
    return async () => {
      await cluster.removeFromList(id)
      await cluster.startTarget(domain, spec)
    }
  },
  'freeze-target': async (cluster, injector) => injector.pauseProcess(pickTarget(cluster, 1).id).end,
  'fail-target': async (cluster, injector) => (await injector.disturbTarget('fail-target', pickTarget(cluster, 2).id, { failAll: true })).end,
  'slow-target': async (cluster, injector) => {
    const { id, spec } = pickTarget(cluster, 3)
    return (await injector.disturbTarget('slow-target', id, { speed: spec.speed / 5 })).end
  },
  'leave-target': async cluster => {
    const { id, domain, spec } = pickTarget(cluster, 4)
    await cluster.markLeaving(id)
    await cluster.setTargetFaults(id, { leaving: true })
    return async () => {
      await cluster.removeFromList(id)
      await cluster.startTarget(domain, spec)
    }
  },
  'kill-entry': async cluster => {
    const { name, domain, seat } = cluster.entries[0]!
    cluster.killProcess(name)
    return async () => { await cluster.startEntry(domain, seat) }
  },
  'pause-entry': async (cluster, injector) => injector.pauseProcess(cluster.entries[4]!.name).end,
  'stop-entry': async cluster => {
    const { name, domain, seat } = cluster.entries[7]!
    const stopped = cluster.stopEntry(name)
    return async () => {
      await stopped
      await cluster.startEntry(domain, seat)
    }
  },
  'cut-domains': async (cluster, injector) => {
    const [first, second] = cluster.spec.domains
    return (await injector.cutDomains(first!.name, second!.name, 'both')).end
  },
  'cut-platform': async (cluster, injector) => (await injector.cutPlatform(cluster.spec.domains[1]!.name, 'both')).end,
  'silent-targets': async (cluster, injector) => {
    const prefix = `target:${cluster.spec.domains[2]!.name}`
    await injector.silenceLinks(name => name.startsWith(prefix))
    return async () => {}
  },
  'store-down': async (_, injector) => (await injector.disturbPlatform('store-down', { down: 'refuse' })).end,
  'store-slow': async (_, injector) => (await injector.disturbPlatform('store-slow', { slowMs: 2_000 })).end
} as const satisfies Readonly<Record<string, BeginFault>>

export type FaultName = keyof typeof faults

export const faultNames = Object.keys(faults) as readonly FaultName[]

/** Faults of a `mixed` run, in order of their start; each one overlaps the next. */
const mixedFaults: readonly FaultName[] = ['fail-target', 'kill-target', 'store-down', 'silent-targets', 'cut-domains', 'kill-entry', 'freeze-target', 'pause-entry']

/** Period in which faults are active, as fractions of the measured time. */
const faultWindow = { from: 0.25, to: 0.6 } as const

/** Period in which a fault was active, in seconds from the start of the load. */
export interface FaultPeriod {
  readonly name: string
  readonly from: number
  readonly to: number
}

/**
 * Injects the chosen faults during the load, spread evenly over the fault window.
 *
 * @param choice - `none`, `mixed` or the name of a fault
 * @param times - `startAt`: start of the load in milliseconds since the epoch; `warmupMs`: length of the
 *   warm-up before the measured time; `measuredMs`: length of the measured time
 * @returns the period of each fault
 */
export async function runFaults (choice: string, cluster: Cluster, injector: FaultInjector, times: { readonly startAt: number, readonly warmupMs: number, readonly measuredMs: number }): Promise<readonly FaultPeriod[]> {
  const names = choice === 'none' ? [] : choice === 'mixed' ? mixedFaults : [choice as FaultName]
  const { startAt, warmupMs, measuredMs } = times
  const firstStartAt = startAt + warmupMs + faultWindow.from * measuredMs
  const stepMs = (faultWindow.to - faultWindow.from) * measuredMs / (names.length + 1)
  return await Promise.all(names.map(async (name, index) => {
    await delay(Math.max(0, firstStartAt + index * stepMs - Date.now()))
    const startedAt = Date.now()
    const end = await faults[name](cluster, injector)
    await delay(Math.max(0, firstStartAt + (index + 2) * stepMs - Date.now()))
    await end()
    return { name, from: (startedAt - startAt) / 1_000, to: (Date.now() - startAt) / 1_000 }
  }))
}

/**
 * Picks a target for a fault. Consecutive numbers give targets of different domains, at different places
 * in the order of their speeds, fastest first; the small numbers used here never reach a straggler.
 */
function pickTarget (cluster: Cluster, number: number): Cluster['targets'][number] {
  const domain = cluster.spec.domains[number % cluster.spec.domains.length]!
  const targets = cluster.targets.filter(target => target.domain === domain.name).sort((a, b) => b.spec.speed - a.spec.speed)
  return targets[number % targets.length]!
}
