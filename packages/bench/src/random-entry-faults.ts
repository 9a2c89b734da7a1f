import { type EntryProcess } from './cluster-model.js'
import { type FaultContext } from './random-fault-context.js'

/** Kinds of faults of an entry instance. */
export type EntryFaultKind = 'kill-entry' | 'pause-entry' | 'pause-entry-with-successor' | 'planned-stop'

/**
 * Kills, pauses or stops a random entry instance; one that ends is replaced in its seat.
 */
export async function disturbEntry (context: FaultContext, kind: EntryFaultKind): Promise<void> {
  const entry = context.reserveOneOf(context.environment.cluster.entries, describeSeat)
  if (entry === undefined) return
  try {
    if (kind === 'planned-stop') await stopAndReplace(context, entry)
    else if (kind === 'kill-entry') await killAndReplace(context, entry)
    else await pauseAndResume(context, entry, kind === 'pause-entry-with-successor')
  } finally {
    context.release(describeSeat(entry))
  }
}

async function stopAndReplace (context: FaultContext, { name, domain, seat }: EntryProcess): Promise<void> {
  const { cluster, injector } = context.environment
  injector.note('planned-stop')
  await cluster.stopEntry(name)
  await context.waitBetween(0, 2_000)
  await cluster.startEntry(domain, seat)
}

async function killAndReplace (context: FaultContext, { name, domain, seat }: EntryProcess): Promise<void> {
  const { cluster, injector } = context.environment
  injector.note('kill-entry')
  cluster.killProcess(name)
  await context.waitBetween(0, 4_000)
  await cluster.startEntry(domain, seat)
}

async function pauseAndResume (context: FaultContext, entry: EntryProcess, hasSuccessor: boolean): Promise<void> {
  const { cluster, injector, superseded } = context.environment
  const pause = injector.pauseProcess(entry.name)
  await context.waitBetween(500, 18_000)
  if (hasSuccessor) {
    await cluster.startEntry(entry.domain, entry.seat)
    superseded.push(entry)
    await context.waitBetween(0, 3_000)
  }
  await pause.end()
}

function describeSeat ({ domain, seat }: EntryProcess): string {
  return `${domain}.${seat}`
}
