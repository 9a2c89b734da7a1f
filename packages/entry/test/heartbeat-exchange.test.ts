import { test } from 'node:test'
import assert from 'node:assert/strict'
import { ConfigurationHolder, type Heartbeat, Membership, SeatDirectory, SystemClock } from '@sesamereel/coordination'
import { type Settings } from '@sesamereel/protocol'
import { HeartbeatExchange, type HeartbeatExchangeOptions } from '../src/heartbeat-exchange.js'
import { InstancePhase } from '../src/instance-phase.js'

const clock = new SystemClock()
const identity = { domain: 'd', seat: 0, incarnation: 'self0000' }

function createHeartbeat (change: Partial<Heartbeat>): Heartbeat {
  return {
    domain: 'd',
    seat: 1,
    generation: 1,
    incarnation: 'earlier0',
    peerAddress: '10.0.0.1:2',
    callerAddress: '10.0.0.1:1',
    state: 'live',
    configurationVersion: 0,
    topologyHash: 0,
    queuedByCustomer: {},
    ejectedTargets: [],
    leavingTargets: [],
    holders: {},
    ...change
  }
}

function createExchange (): { readonly exchange: HeartbeatExchange, readonly membership: Membership } {
  const directory = new SeatDirectory(clock.now())
  const membership = new Membership(identity, directory)
  const exchange = new HeartbeatExchange({
    settings: { topology: { domains: [{ name: 'd', seats: 2 }] }, seedPeers: [], peerAddress: '10.0.0.9:2', callerAddress: '10.0.0.9:1' } as unknown as Settings,
    identity,
    clock,
    membership,
    directory,
    phase: new InstancePhase(new ConfigurationHolder()),
    keeper: { readHolder: () => ({ generation: 1, incarnation: identity.incarnation }), observeHolder: () => {} },
    sync: { observeVersion: async () => {} },
    dispatcher: { readDemand: () => ({ queuedByCustomer: {}, ejectedTargets: [], leavingTargets: [] }), applyPeers: () => {} },
    readVersion: () => 0
  } as unknown as HeartbeatExchangeOptions)
  return { exchange, membership }
}

// Guards against refusing keys of a replacement as `owner gone`: its first heartbeats have
// generation 0, because it is still asking for earlier holders of its seat.
test('a starting instance is not treated as gone', () => {
  const { exchange, membership } = createExchange()
  exchange.handleHeartbeat(createHeartbeat({}))
  const reply = exchange.handleHeartbeat(createHeartbeat({ generation: 0, incarnation: 'later000', state: 'starting' }))
  assert.equal(reply.seat.newest.incarnation, 'earlier0')
  assert.notEqual(membership.findOwner({ domain: 'd', seat: 1, incarnation: 'later000', sequence: 0 }).kind, 'gone')
  exchange.handleHeartbeat(createHeartbeat({ generation: 2, incarnation: 'later000' }))
  assert.equal(membership.findOwner({ domain: 'd', seat: 1, incarnation: 'later000', sequence: 0 }).kind, 'peer')
  assert.equal(membership.findOwner({ domain: 'd', seat: 1, incarnation: 'earlier0', sequence: 0 }).kind, 'gone')
})

// Guards against sending traffic to the address in a heartbeat instead of the one that the
// platform lists for the own domain.
test('the listed address is used only for the instance that the list entry refers to', () => {
  const { exchange, membership } = createExchange()
  const listed = { domain: 'd', seat: 1, peerAddress: '10.9.9.9:2', callerAddress: '10.0.0.1:1', state: 'live' as const }
  exchange.applyInstanceList({ instances: [listed], targets: [] })
  exchange.handleHeartbeat(createHeartbeat({}))
  assert.equal(membership.listPeers()[0]?.peerAddress, '10.9.9.9:2')
  exchange.handleHeartbeat(createHeartbeat({ generation: 2, incarnation: 'later000', callerAddress: '10.0.0.2:1', peerAddress: '10.0.0.2:2' }))
  assert.equal(membership.listPeers()[0]?.peerAddress, '10.0.0.2:2')
})
