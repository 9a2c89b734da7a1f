import assert from 'node:assert/strict'
import { EmulatedFleet } from '../src/index.js'

/** A fleet in which the start order of a job's only task is on its way to a target that has crashed. */
export interface LateOrderPlay {
  readonly fleet: EmulatedFleet
  /** Instance whose dispatcher has sent the order. */
  readonly first: string
  readonly owner: string
  readonly jobId: string
  /** Id of the target that carries the order out late. */
  readonly target: string
}

/**
 * Lets the start order of a job of one task, to a target that crashes then, stay without an answer.
 *
 * @param isLocal - whether the dispatcher's own instance owns the job
 * @param workMs - run time of the task in milliseconds
 * @param delayMs - shortest and longest delay of the order in milliseconds
 */
export async function startWithLateOrder (seed: number, domains: readonly string[], isLocal = false, workMs = 6_000, delayMs: readonly [number, number] = [3_500, 5_000]): Promise<LateOrderPlay> {
  const fleet = new EmulatedFleet({ domains, instancesPerDomain: 4, targetsPerDomain: 3, seed })
  await fleet.advance(3_500)
  const first = fleet.findDispatchingInstance('a')!
  const owner = isLocal ? first : fleet.listInstances('a').find(name => name !== first)!
  // A restarted target refuses an order whose deadline has passed on its new clock.
  fleet.lateOrders.delayMs = delayMs
  fleet.lateOrders.probability = 1
  const { jobId } = fleet.submit(owner, 1, workMs)
  await fleet.advance(20)
  fleet.lateOrders.probability = 0
  const session = fleet.instances.get(first)!.server.findDispatcher('a')!.listSessions().find(({ runs }) => runs.size > 0)!
  assert.ok([...session.runs.values()].every(({ state }) => state === 'starting'), 'the order was sent')
  fleet.targets.get(session.info.id)!.crash()
  return { fleet, first, owner, jobId, target: session.info.id }
}

/** Stops an instance as planned, which takes half a second. */
export function leave (fleet: EmulatedFleet, instance: string): void {
  const { process, election } = fleet.instances.get(instance)!
  process.receive(() => { election.leave().catch(() => {}) })
  fleet.clock.startTimer(500, () => { fleet.killInstance(instance) })
}

/** Restarts the target 2 s after its crash, and plays until no late order is left. */
export async function finish ({ fleet, target }: LateOrderPlay): Promise<void> {
  await fleet.advance(2_000)
  fleet.targets.get(target)!.restart()
  await fleet.advance(13_000)
  assert.deepEqual(fleet.history.listViolations(), [])
}

/** @returns the ids of the targets at which the tasks of a job have started */
export function listStartTargets (fleet: EmulatedFleet, jobId: string): readonly string[] {
  return fleet.history.runs.filter(({ task }) => task.startsWith(jobId)).map(run => run.target)
}
