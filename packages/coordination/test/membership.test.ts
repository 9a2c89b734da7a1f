import { test } from 'node:test'
import assert from 'node:assert/strict'
import { emptyConfiguration, type InstanceDescription, parseKey } from '@sesamereel/state'
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

// Guards against a key that is reported as lost while its owner may still answer, and against one
// that is never reported as lost.
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
  // A late message of the earlier holder must not make it the holder again.
  membership.observeHeartbeat(createHeartbeat(1, 'bbbbbbbb'), 33_000)
  assert.equal(route('gent-1.1.cccccccc.0'), 'forward')
  // Another peer reports a later holder first.
  membership.observeHeartbeat({ ...createHeartbeat(2, 'dddddddd'), holders: { 'gent-1.1': { generation: 3, incarnation: 'eeeeeeee' } } }, 33_000)
  assert.equal(route('gent-1.1.cccccccc.0'), 'owner-gone')
  assert.equal(route('gent-1.1.eeeeeeee.0'), 'forward')
})

// Guards against accepted jobs that are reported as lost because their owner, a replacement
// instance, had sent a heartbeat before it knew its generation.
test('a replacement instance without a generation is not mistaken for an earlier holder', () => {
  const membership = createMembership()
  membership.observeHeartbeat(createHeartbeat(1, 'bbbbbbbb', 1), 1_000)
  membership.observeHeartbeat(createHeartbeat(1, 'cccccccc', 0, 'starting'), 2_000)
  const route = routeKey(parseKey('gent-1.1.cccccccc.0')!, self, membership, true)
  assert.equal(route.kind, 'forward')
})

// Guards against heartbeats that contain earlier heartbeats and grow with every exchange.
test('the holders in a heartbeat contain only generation and incarnation', () => {
  const directory = new SeatDirectory(0)
  const membership = new Membership(self, directory)
  membership.observeHeartbeat(createHeartbeat(1, 'bbbbbbbb', 1), 1_000)
  assert.deepEqual(directory.listHolders(['gent-1']), { 'gent-1.1': { generation: 1, incarnation: 'bbbbbbbb' } })
})

// Guards against a suspect peer that is not detected, and against work that is given to leaving
// peers.
test('a peer becomes suspect after three missed heartbeats, and a leaving peer stays leaving', () => {
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
test('the home depends only on the live instances and moves only when its own instance ends', () => {
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

// Guards against a lagging list that clears the state of a leaving target or blocks its replacement.
test('the leaving state follows the boot id, not the list', () => {
  const tracker = new LeavingTracker()
  tracker.observeReport('t1', 'boot-1', false)
  tracker.observeNotice({ id: 't1', epoch: 'boot-1' })
  tracker.observeReport('t1', 'boot-1', false)
  tracker.applyPlatformList('t1', false, 0)
  tracker.applyPlatformList('t1', false, 60_000)
  assert.ok(tracker.isLeaving('t1'))
  assert.deepEqual(tracker.listNotices(), [{ id: 't1', epoch: 'boot-1' }])
  tracker.observeReport('t1', 'boot-2', false)
  tracker.applyPlatformList('t1', true, 61_000)
  tracker.observeReport('t1', 'boot-1', true)
  tracker.observeNotice({ id: 't1', epoch: 'boot-1' })
  assert.ok(!tracker.isLeaving('t1'))
  tracker.observeNotice({ id: 't1', epoch: 'boot-3' })
  tracker.observeReport('t1', 'boot-3', false)
  assert.ok(tracker.isLeaving('t1'))
  // Only the list has reported this target as leaving, and it has reported it as live for 30 s
  // since.
  tracker.observeReport('t2', 'boot-1', false)
  tracker.applyPlatformList('t2', true, 0)
  tracker.applyPlatformList('t2', false, 1_000)
  assert.ok(tracker.isLeaving('t2'))
  tracker.applyPlatformList('t2', false, 31_000)
  assert.ok(!tracker.isLeaving('t2'))
})

// Guards against a configuration that reverts to an older version, and against shares that do not
// add up to the limit.
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
