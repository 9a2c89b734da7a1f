import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { directoryTable, type JobAnswer } from '@sesamereel/fleet'
import { EmulatedFleet, emulatedTargetTable } from '../src/index.js'

/** Interval in milliseconds at which the odd entries are written again, as by heartbeats. */
const heartbeatMs = 500

/** Number of unreadable rows in each table. */
const rowCount = 40

const deep = `${'['.repeat(2_000)}${']'.repeat(2_000)}`

/** Writes odd entries to all tables; each write makes them new ones. */
function writeOddEntries (fleet: EmulatedFleet): void {
  const row = JSON.parse(fleet.store.getRow(directoryTable, 'dispatcher/a')!.value!) as { readonly successors: readonly unknown[] }
  const { info } = fleet.listTargets('a')[0]!
  for (let index = 0; index < rowCount; index++) {
    fleet.store.put(emulatedTargetTable, `odd-${index}`, index % 2 === 0 ? deep : '\u0000')
    fleet.store.put(directoryTable, `instance/odd-${index}`, index % 2 === 0 ? deep : '{"incarnation":1e999}')
  }
  // A target to which no connection can be made.
  fleet.store.put(emulatedTargetTable, 'unreachable', JSON.stringify({ ...info, id: 'unreachable', address: 'unreachable' }))
  fleet.store.put(directoryTable, 'dispatcher/z', JSON.stringify({ ...row, incarnation: 'odd' }))
  fleet.store.put(directoryTable, 'dispatcher/a', JSON.stringify({ ...row, successors: [null, 7, ...row.successors.filter(entry => entry !== null && entry !== 7)] }))
}

async function advanceWithOddEntries (fleet: EmulatedFleet, ms: number): Promise<void> {
  for (let passedMs = 0; passedMs < ms; passedMs += heartbeatMs) {
    writeOddEntries(fleet)
    await fleet.advance(heartbeatMs)
  }
}

/**
 * Another writer leaves odd entries among those of the targets, instances and dispatchers. Guards against instances
 * that stop following the lists, and against a domain without a dispatcher for as long as the entries stand.
 */
describe('a fleet with odd entries in all tables', () => {
  it('serves jobs, replaces a lost dispatcher and uses a target that joins', async () => {
    const fleet = new EmulatedFleet({ domains: ['a'], instancesPerDomain: 4, targetsPerDomain: 3, seed: 1 })
    await fleet.advance(3_500)
    const first = fleet.findDispatchingInstance('a')!
    await advanceWithOddEntries(fleet, 2_000)
    fleet.killInstance(first)
    await advanceWithOddEntries(fleet, 3_000)
    fleet.addTarget('a')
    await advanceWithOddEntries(fleet, 2_000)
    const second = fleet.findDispatchingInstance('a')
    assert.ok(second !== undefined && second !== first)
    const dispatcher = fleet.instances.get(second)!.server.findDispatcher('a')!
    assert.deepEqual(dispatcher.listSessions().filter(session => session.isSeen).map(session => session.info.id).sort(), fleet.listTargets('a').map(target => target.info.id).sort())
    const answers: JobAnswer[] = []
    for (const instance of fleet.listInstances('a')) fleet.submit(instance, 4, 300).answer.then(answer => { answers.push(answer) }).catch(() => {})
    await advanceWithOddEntries(fleet, 3_000)
    assert.deepEqual(answers.map(answer => answer.kind), fleet.listInstances('a').map(() => 'completed'))
    assert.deepEqual(fleet.history.listViolations(), [])
  })
})
