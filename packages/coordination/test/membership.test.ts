import { test } from 'node:test'
import assert from 'node:assert/strict'
import { type InstanceDescription, emptyConfiguration, parseKey } from '@sesamereel/state'
import { ConfigurationHolder, type Heartbeat, LeavingTracker, Membership, routeKey, SeatDirectory, splitPlanLimits } from '../src/index.js'

const self = { domain: 'gent-1', seat: 0, incarnation: 'aaaaaaaa' }

function createHeartbeat (seat: number, incarnation: string, generation = 1, state: Heartbeat['state'] = 'live'): Heartbeat {
  return { domain: 'gent-1', seat, generation, incarnation, state, peerAddress: `127.0.0.1:${seat}`, callerAddress: '', configurationVersion: 0, topologyHash: 0, queuedByCustomer: {}, ejectedTargets: [], leavingTargets: [], holders: {} }
}

function createInstance (seat: number, state: InstanceDescription['state'] = 'live'): InstanceDescription {
  return { domain: 'gent-1', seat, peerAddress: `127.0.0.1:${seat}`, callerAddress: '', state }
}

function createMembership (): Membership {
  return new Membership(self, new SeatDirectory(0))
}

function readState (membership: Membership): string | undefined {
  return membership.listPeers()[0]?.state
}

// Guards against a key that is declared lost while its owner may still answer, and against
// one that is never declared lost.
test('the owner of a key is found until it is known to be gone', () => {
  const membership = createMembership()
  const route = (text: string, isConfirmed = true): string => routeKey(parseKey(text)!, self, membership, isConfirmed).kind
  assert.equal(route('gent-1.0.aaaaaaaa.0'), 'local')
  assert.equal(route('gent-1.0.zzzzzzzz.0'), 'owner-gone')
  assert.equal(route('gent-1.0.zzzzzzzz.0', false), 'owner-unreachable')
  assert.equal(route('gent-1.1.bbbbbbbb.0'), 'owner-unreachable')
  membership.observeHeartbeat(createHeartbeat(1, 'bbbbbbbb'), 0)
  assert.equal(route('gent-1.1.bbbbbbbb.0'), 'forward')
  membership.applyInstanceList({ instances: [], targets: [] }, 29_999)
  assert.equal(route('gent-1.1.bbbbbbbb.0'), 'forward')
  membership.applyInstanceList({ instances: [], targets: [] }, 30_000)
  assert.equal(route('gent-1.1.bbbbbbbb.0'), 'owner-gone')
  membership.observeHeartbeat(createHeartbeat(1, 'bbbbbbbb'), 31_000)
  assert.equal(route('gent-1.1.bbbbbbbb.0'), 'forward')
  membership.observeHeartbeat(createHeartbeat(1, 'cccccccc', 2), 32_000)
  assert.equal(route('gent-1.1.bbbbbbbb.0'), 'owner-gone')
  assert.equal(route('gent-1.1.cccccccc.0'), 'forward')
  // A late message of the earlier holder must not take the seat back.
  membership.observeHeartbeat(createHeartbeat(1, 'bbbbbbbb'), 33_000)
  assert.equal(route('gent-1.1.cccccccc.0'), 'forward')
  // Another peer names a later holder first.
  membership.observeHeartbeat({ ...createHeartbeat(2, 'dddddddd'), holders: { 'gent-1.1': { generation: 3, incarnation: 'eeeeeeee' } } }, 33_000)
  assert.equal(route('gent-1.1.cccccccc.0'), 'owner-gone')
  assert.equal(route('gent-1.1.eeeeeeee.0'), 'forward')
})

// Guards against accepted jobs that are reported as lost because their owner, a replacement, had
// sent a heartbeat before it knew its generation.
test('a replacement without a generation is not taken for an earlier holder', () => {
  const membership = createMembership()
  membership.observeHeartbeat(createHeartbeat(1, 'bbbbbbbb', 1), 1_000)
  membership.observeHeartbeat(createHeartbeat(1, 'cccccccc', 0, 'starting'), 2_000)
  const route = routeKey(parseKey('gent-1.1.cccccccc.0')!, self, membership, true)
  assert.equal(route.kind, 'forward')
})

// Guards against heartbeats that carry earlier heartbeats in them and grow with every exchange.
test('the holders in a heartbeat are only generation and incarnation', () => {
  const directory = new SeatDirectory(0)
  const membership = new Membership(self, directory)
  membership.observeHeartbeat(createHeartbeat(1, 'bbbbbbbb', 1), 1_000)
  assert.deepEqual(directory.listHolders(['gent-1']), { 'gent-1.1': { generation: 1, incarnation: 'bbbbbbbb' } })
})

// Guards against a suspect peer that is never recognized and against work for leaving peers.
test('peers become suspect after three missed heartbeats and stay leaving', () => {
  const membership = createMembership()
  membership.applyInstanceList({ instances: [createInstance(0), createInstance(1)], targets: [] }, 0)
  assert.equal(membership.listPeers().length, 1)
  membership.observeHeartbeat(createHeartbeat(1, 'bbbbbbbb'), 0)
  for (let i = 0; i < 3; i++) membership.recordMissedHeartbeat('gent-1.1', 500 * i)
  assert.equal(readState(membership), 'suspect')
  assert.equal(membership.pickHomeInstance('kalibra', 'gent-1', false), undefined)
  membership.observeHeartbeat(createHeartbeat(1, 'bbbbbbbb'), 2_000)
  assert.equal(readState(membership), 'alive')
  membership.observeHeartbeat(createHeartbeat(1, 'bbbbbbbb', 1, 'leaving'), 2_500)
  membership.observeHeartbeat(createHeartbeat(1, 'bbbbbbbb'), 3_000)
  membership.applyInstanceList({ instances: [createInstance(1)], targets: [] }, 3_000)
  assert.equal(readState(membership), 'leaving')
  membership.observeHeartbeat(createHeartbeat(1, 'cccccccc', 2), 4_000)
  membership.applyInstanceList({ instances: [createInstance(1)], targets: [] }, 4_000)
  assert.equal(readState(membership), 'alive')
})

// Guards against two instances that pick different homes from the same view.
test('the home depends only on the live instances and moves with few of them', () => {
  const membership = createMembership()
  const other = new Membership({ domain: 'gent-1', seat: 1 }, new SeatDirectory(0))
  membership.observeHeartbeat(createHeartbeat(2, 'cccccccc'), 0)
  membership.observeHeartbeat(createHeartbeat(1, 'bbbbbbbb'), 0)
  other.observeHeartbeat(createHeartbeat(0, 'aaaaaaaa'), 0)
  other.observeHeartbeat(createHeartbeat(2, 'cccccccc'), 0)
  const homes = new Set<string | undefined>()
  for (let i = 0; i < 200; i++) {
    const home = membership.pickHomeInstance(`team-${i}`, 'gent-1', true)
    assert.equal(home, other.pickHomeInstance(`team-${i}`, 'gent-1', true))
    homes.add(home)
    if (home !== 'gent-1.0') assert.equal(membership.pickHomeInstance(`team-${i}`, 'gent-1', false), home)
  }
  assert.equal(homes.size, 3)
})

// Guards against a lagging list that revives a leaving target or blocks its replacement.
test('leaving marks follow the boot, not the list', () => {
  const marks = new LeavingTracker()
  marks.observeReport('t1', 'boot-1', false)
  marks.observeNotice({ id: 't1', epoch: 'boot-1' })
  marks.observeReport('t1', 'boot-1', false)
  marks.applyPlatformList('t1', false, 0)
  marks.applyPlatformList('t1', false, 60_000)
  assert.ok(marks.isLeaving('t1'))
  assert.deepEqual(marks.listNotices(), [{ id: 't1', epoch: 'boot-1' }])
  marks.observeReport('t1', 'boot-2', false)
  marks.applyPlatformList('t1', true, 61_000)
  marks.observeReport('t1', 'boot-1', true)
  marks.observeNotice({ id: 't1', epoch: 'boot-1' })
  assert.ok(!marks.isLeaving('t1'))
  marks.observeNotice({ id: 't1', epoch: 'boot-3' })
  marks.observeReport('t1', 'boot-3', false)
  assert.ok(marks.isLeaving('t1'))
  // Only the list ever marked this one, and has said live for 30 s since.
  marks.observeReport('t2', 'boot-1', false)
  marks.applyPlatformList('t2', true, 0)
  marks.applyPlatformList('t2', false, 1_000)
  assert.ok(marks.isLeaving('t2'))
  marks.applyPlatformList('t2', false, 31_000)
  assert.ok(!marks.isLeaving('t2'))
})

// Guards against a configuration that reverts, and against shares that do not add up.
test('a configuration never reverts and its shares add up', () => {
  const holder = new ConfigurationHolder()
  const limit = { processors: 7_001, memoryMb: 1_000, accelerators: 2, parallel: 10 }
  const configuration = { ...emptyConfiguration, version: 2, plans: { kalibra: 'large', stray: 'missing' }, limits: { large: limit } }
  assert.equal(holder.observeVersion(2), true)
  assert.equal(holder.applyIfNewer(configuration), 'applied')
  for (const version of [1, 2]) assert.equal(holder.applyIfNewer({ ...configuration, version, plans: {} }), 'ignored')
  assert.equal(holder.observeVersion(1), false)
  assert.deepEqual(holder.current, configuration)
  const topology = { domains: [{ name: 'gent-1', seats: 2 }, { name: 'brugge', seats: 1 }] }
  const shares = ['gent-1.0', 'gent-1.1', 'brugge.0', 'brugge.1'].map((name) => {
    const [domain, seat] = name.split('.')
    return splitPlanLimits(holder.current, topology, { domain: domain!, seat: Number(seat) })
  })
  assert.equal(shares.reduce((sum, share) => sum + (share.get('kalibra')?.processors ?? 0), 0), 7_001)
  assert.deepEqual(shares.map((share) => share.size), [1, 1, 1, 0])
})
