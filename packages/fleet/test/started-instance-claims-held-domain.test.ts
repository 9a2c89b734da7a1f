import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { flushMicrotasks, ManualClock } from '@sesamereel/coordination'
import { type Directory, type DispatcherConnection, DispatcherElection, type DispatcherEntry, type InstanceEntry, type MetadataStore, NoopLog, NoopMetrics, type OwnerServer, type TargetList } from '../src/index.js'

const self: InstanceEntry = { instance: 'self', incarnation: 'self-1', domain: 'a', address: 'self', power: 1, startedMs: 9_000 }

interface ElectionFixture {
  readonly clock: ManualClock
  readonly claims: () => number
  /** Makes the row name another holder. */
  readonly nameHolder: (instance: string, revision: number) => void
  readonly connection: { isHolderGone: boolean, connectedTo: string | undefined }
}

/** Starts the election of an instance that finds a holder in the domain's row and is not connected to it. */
function startElection (members: readonly InstanceEntry[] = [self]): ElectionFixture {
  const clock = new ManualClock()
  const startedAt = clock.now()
  let entry: DispatcherEntry
  const nameHolder = (instance: string, revision: number): void => {
    entry = { domain: 'a', instance, incarnation: `${instance}-1`, address: instance, successors: [], revision }
  }
  nameHolder('other', 7)
  let claimCount = 0
  const store = {
    read: async () => await Promise.resolve({ kind: 'rows', revision: 9, rows: [{ key: 'dispatcher/a', value: JSON.stringify(entry), revision: entry.revision }] }),
    write: async ({ key }: { readonly key: string }) => {
      if (key === 'dispatcher/a') claimCount++
      return await Promise.resolve({ kind: 'conflict' })
    }
  } as unknown as MetadataStore
  const directory = { isLoaded: true, findDispatcher: () => entry, findInstance: () => self, listInstances: () => members, recordDispatcher: () => {} } as unknown as Directory
  const connection = { isHolderGone: false, connectedTo: undefined as string | undefined }
  const dispatcherConnection = {
    domain: 'a',
    isConnected: false,
    get isHolderGone () { return connection.isHolderGone },
    hasBeenConnectedTo: (incarnation: string) => incarnation === connection.connectedTo,
    measureObservedLostMs: () => clock.now() - startedAt
  } as unknown as DispatcherConnection
  const election = new DispatcherElection({
    self,
    store,
    directory,
    targets: {} as unknown as TargetList,
    server: { findDispatcher: () => undefined, listDispatchers: () => [] } as unknown as OwnerServer,
    clock,
    log: new NoopLog(),
    metrics: new NoopMetrics(),
    probe: { canReachTargets: async () => await Promise.resolve(false) },
    owner: { keepOrders: () => {}, listUnreportedOrders: () => [] },
    createDispatcherOptions: () => { throw new Error('no claim is committed here') }
  })
  election.addConnection(dispatcherConnection)
  election.start()
  return { clock, claims: () => claimCount, nameHolder, connection }
}

// A process that had just started and was short of processor time took its domain from a sound dispatcher, because
// its connection took more than 100 ms; both then took the domain from each other several times a second.
describe('an instance that is not connected to the holder of its domain', () => {
  it('gives a holder to which it was never connected time to become reachable', async () => {
    const { clock, claims } = startElection()
    await clock.advance(600)
    assert.equal(claims(), 0)
    await clock.advance(300)
    await flushMicrotasks()
    assert.ok(claims() > 0)
  })

  it('gives each new holder that time', async () => {
    const { clock, claims, nameHolder } = startElection()
    await clock.advance(600)
    nameHolder('third', 8)
    await clock.advance(600)
    assert.equal(claims(), 0)
  })

  it('lets a stronger candidate go first after that time', async () => {
    const { clock, claims } = startElection([self, { ...self, instance: 'stronger', incarnation: 'stronger-1', power: 4 }])
    await clock.advance(950)
    assert.equal(claims(), 0)
    await clock.advance(250)
    assert.ok(claims() > 0)
  })

  it('claims at once when the holder has proved to be gone, or was lost after a connection', async () => {
    for (const change of [{ isHolderGone: true }, { connectedTo: 'other-1' }]) {
      const { clock, claims, connection } = startElection()
      Object.assign(connection, change)
      await clock.advance(300)
      assert.ok(claims() > 0)
    }
  })
})
