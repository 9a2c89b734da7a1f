import { setTimeout as delay } from 'node:timers/promises'
import { type TargetProcess } from './cluster-model.js'
import { type FaultContext } from './random-fault-context.js'

/** Kinds of faults of a target. */
export type TargetFaultKind = 'kill-target' | 'pause-target' | 'target-fails' | 'target-slow' | 'target-leaves'

/** Time in milliseconds for which a target that leaves stays in the list after its mark. */
const lingerMs = 6_000

/** Time in milliseconds in which the tasks of a target that leaves end before it is killed. */
const drainMs = 10_000

/**
 * Causes a fault of a random target; one that ends is replaced by a new target.
 */
export async function disturbTarget (context: FaultContext, kind: TargetFaultKind): Promise<void> {
  const { cluster, injector } = context.environment
  const staying = cluster.targets.filter(({ id }) => !cluster.leavingProcesses.has(id))
  const target = context.reserveOneOf(staying, ({ id }) => id)
  if (target === undefined) return
  try {
    if (kind === 'kill-target') await killAndReplace(context, target)
    else if (kind === 'target-leaves') await drainAndReplace(context, target)
    else if (kind === 'pause-target') await context.waitAndEnd(injector.pauseProcess(target.id), 13_000)
    else await disturbTasks(context, target, kind)
  } finally {
    context.release(target.id)
  }
}

async function killAndReplace (context: FaultContext, target: TargetProcess): Promise<void> {
  const { cluster, injector } = context.environment
  injector.note('kill-target')
  cluster.killProcess(target.id)
  await context.waitBetween(500, 6_000)
  await replaceTarget(context, target)
}

async function drainAndReplace (context: FaultContext, target: TargetProcess): Promise<void> {
  const { cluster, injector } = context.environment
  injector.note('target-leaves')
  const announcement = context.random.pick(['leaving', 'lingering', 'nothing'] as const)!
  if (announcement !== 'nothing') await cluster.setTargetFaults(target.id, { [announcement]: true })
  await cluster.markLeaving(target.id)
  await context.wait(lingerMs)
  await delay(drainMs)
  cluster.killProcess(target.id)
  await replaceTarget(context, target)
}

async function disturbTasks (context: FaultContext, target: TargetProcess, kind: 'target-fails' | 'target-slow'): Promise<void> {
  const { injector } = context.environment
  const faults = kind === 'target-fails' ? { failAll: true } : { speed: target.spec.speed / context.random.pickInteger(2, 20) }
  await context.waitAndEnd(await injector.disturbTarget(kind, target.id, faults), 10_000)
}

async function replaceTarget (context: FaultContext, target: TargetProcess): Promise<void> {
  const { cluster } = context.environment
  await cluster.startTarget(target.domain, target.spec)
  await cluster.removeFromList(target.id)
}
