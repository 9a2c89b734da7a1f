import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ClientBudget, type ClientBudgetLimits, ClientEntry, type Eviction } from '../src/index.js'

const limits: ClientBudgetLimits = {
  connections: { callers: 100, readiness: 4, metrics: 2 },
  requests: 50,
  pipelined: { callers: 4, readiness: 2, metrics: 2 },
  heapBytes: 1_000_000,
  bufferBytes: 1_000_000
}

/** Adds a connection that must fit. */
function addConnection (budget: ClientBudget, nowMs: number, listener: 'callers' | 'readiness' | 'metrics' = 'callers'): { entry: ClientEntry, evicted: readonly Eviction[] } {
  const entry = new ClientEntry(listener)
  const { evicted, isGranted } = budget.addConnection(entry, nowMs)
  assert.equal(isGranted, true)
  return { entry, evicted }
}

/** Opens a connection whose client sends a part of a body and then stops. */
function addStalledBody (budget: ClientBudget, nowMs: number, receivedBytes: number): ClientEntry {
  const { entry } = addConnection(budget, nowMs)
  assert.equal(budget.beginRequest(entry), true)
  budget.waitForClient(entry, 262_144, nowMs)
  entry.receivedBytes = receivedBytes
  return entry
}

describe('client budget', () => {
  // Guards against a crowd of stalled and idle connections that keeps ordinary callers out.
  it('admits each ordinary request of a load in which ten stalled clients come for each of them', () => {
    const budget = new ClientBudget(limits)
    let nowMs = 0
    for (let round = 0; round < 200; round++) {
      for (let count = 0; count < 10; count++) {
        nowMs++
        const entry = addStalledBody(budget, nowMs, 262_000)
        budget.addBytes(entry, 'buffers', 262_144, nowMs)
      }
      nowMs++
      const { entry } = addConnection(budget, nowMs)
      assert.equal(budget.beginRequest(entry), true)
      assert.equal(budget.checkRequestCount(nowMs).isGranted, true)
      budget.waitForClient(entry, 300, nowMs)
      const { evicted, isGranted } = budget.addBytes(entry, 'buffers', 16_384, nowMs)
      assert.equal(isGranted, true)
      assert.ok(evicted.every(eviction => eviction.entry !== entry))
      budget.endWait(entry)
      budget.addBytes(entry, 'buffers', -16_384, nowMs)
      const { connections, requests, bufferBytes } = budget.usage
      assert.ok(connections.callers <= 100 && requests <= 50 && bufferBytes <= 1_000_000)
      budget.endRequest(entry, nowMs)
      budget.removeConnection(entry)
    }
  })

  it('evicts the client that has owed most for longest, and none for which the process works', () => {
    const budget = new ClientBudget({ ...limits, connections: { ...limits.connections, callers: 4 } })
    const working = addConnection(budget, 0).entry
    budget.beginRequest(working)
    const nearlyDone = addStalledBody(budget, 100, 262_000)
    const barelyBegun = addStalledBody(budget, 200, 100)
    const recent = addStalledBody(budget, 900, 0)
    const evicted = [0, 0, 0].map(() => addConnection(budget, 1_000).evicted.map(({ entry }) => entry))
    assert.deepEqual(evicted, [[barelyBegun], [nearlyDone], [recent]])
  })

  // Guards against clients that send a byte now and then in order to count as active.
  it('does not restart the time of a client that sends slowly', () => {
    const budget = new ClientBudget({ ...limits, connections: { ...limits.connections, callers: 2 } })
    const slow = addStalledBody(budget, 0, 0)
    for (let count = 1; count <= 100; count++) slow.receivedBytes = count
    addStalledBody(budget, 900, 0)
    assert.equal(addConnection(budget, 1_000).evicted[0]!.entry, slow)
  })

  it('refuses a connection when the process works for all others', () => {
    const budget = new ClientBudget(limits)
    for (let count = 0; count < 100; count++) budget.beginRequest(addConnection(budget, count).entry)
    assert.deepEqual(budget.addConnection(new ClientEntry('callers'), 1_000), { evicted: [], isGranted: false })
  })

  it('keeps the parts of the listeners apart', () => {
    const budget = new ClientBudget(limits)
    for (let count = 0; count < 300; count++) addConnection(budget, count)
    const probe = addConnection(budget, 400, 'readiness')
    assert.deepEqual(probe.evicted, [])
    addConnection(budget, 500, 'metrics')
    assert.deepEqual(budget.usage.connections, { callers: 100, readiness: 1, metrics: 1 })
  })

  it('limits the pipelined requests of a connection', () => {
    const budget = new ClientBudget(limits)
    const { entry } = addConnection(budget, 0)
    assert.deepEqual([1, 2, 3, 4, 5].map(() => budget.beginRequest(entry)), [true, true, true, true, false])
  })

  it('counts nothing for connections that have ended, whatever is reported about them later', () => {
    const budget = new ClientBudget(limits)
    const entry = addStalledBody(budget, 0, 0)
    budget.addBytes(entry, 'buffers', 1_000, 0)
    budget.addBytes(entry, 'heap', 1_000, 0)
    budget.removeConnection(entry)
    budget.addBytes(entry, 'buffers', -1_000, 0)
    budget.endWait(entry)
    budget.endRequest(entry, 1)
    budget.removeConnection(entry)
    assert.deepEqual(budget.usage, { connections: { callers: 0, readiness: 0, metrics: 0 }, requests: 0, heapBytes: 0, bufferBytes: 0 })
    assert.deepEqual(addConnection(budget, 2).evicted, [])
  })

  // Guards against connections to targets that fail because callers hold all descriptors.
  it('closes connections when more descriptors are reserved for targets', () => {
    const budget = new ClientBudget(limits)
    for (let count = 0; count < 100; count++) addConnection(budget, count)
    assert.equal(budget.reserveDescriptors(30, 200).length, 30)
    assert.equal(budget.reserveDescriptors(1_000, 200).length, 45)
    assert.equal(budget.usage.connections.callers, 25)
  })
})
