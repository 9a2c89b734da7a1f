import { setTimeout as delay } from 'node:timers/promises'
import { type LimitList, type PlanList } from '@sesamereel/state'
import { type EntryProcess, tokens } from './cluster-model.js'
import { callHttpOrThrow } from './http-call.js'

const versionPollMs = 50

/** Polls of one instance before the next one is awaited: 10 s in all. */
const maxVersionPolls = 200

/**
 * Sets both lists through the operators' API and waits until the instances show the new version.
 *
 * @param entries - all instances; the first one takes the edits
 */
export async function setLists (entries: readonly EntryProcess[], plans: PlanList, limits: LimitList): Promise<void> {
  const { callerAddress } = entries[0]!
  // Limits first: a plan that has no limit yet could be refused.
  await setList(callerAddress, 'limits', limits)
  await setList(callerAddress, 'plans', plans)
  const version = await readVersion(callerAddress)
  for (const entry of entries) await waitForVersion(entry.callerAddress, version)
}

async function setList (address: string, list: 'plans' | 'limits', content: PlanList | LimitList): Promise<void> {
  const baseVersion = await readVersion(address)
  await callHttpOrThrow(address, `/v1/lists/${list}`, {
    method: 'PUT', token: tokens.operator, body: { baseVersion, editId: `setup-${list}`, content, dryRun: false }
  })
}

async function waitForVersion (address: string, version: number): Promise<void> {
  for (let i = 0; i < maxVersionPolls; i++) {
    if (await readVersion(address) >= version) return
    await delay(versionPollMs)
  }
}

async function readVersion (address: string): Promise<number> {
  const { version } = await callHttpOrThrow(address, '/v1/lists', { token: tokens.operator }) as { version: number }
  return version
}
