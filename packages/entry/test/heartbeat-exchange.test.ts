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

function prepare (): { readonly exchange: HeartbeatExchange, readonly membership: Membership } {
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

// Guards against 'owner gone' for keys of a replacement that has just asked for the holders before it.
test('a starting instance is not taken for a gone one', () => {
  const { exchange, membership } = prepare()
  exchange.handleHeartbeat(createHeartbeat({}))
  const reply = exchange.handleHeartbeat(createHeartbeat({ generation: 0, incarnation: 'later000', state: 'starting' }))
  assert.equal(reply.seat.newest.incarnation, 'earlier0')
  assert.notEqual(membership.findOwner({ domain: 'd', seat: 1, incarnation: 'later000', sequence: 0 }).kind, 'gone')
  exchange.handleHeartbeat(createHeartbeat({ generation: 2, incarnation: 'later000' }))
  assert.equal(membership.findOwner({ domain: 'd', seat: 1, incarnation: 'later000', sequence: 0 }).kind, 'peer')
  assert.equal(membership.findOwner({ domain: 'd', seat: 1, incarnation: 'earlier0', sequence: 0 }).kind, 'gone')
})

// Guards against traffic that bypasses the address that the platform lists for the own domain.
test('a listed address is used for the instance that the list means', () => {
  const { exchange, membership } = prepare()
  const listed = { domain: 'd', seat: 1, peerAddress: '10.9.9.9:2', callerAddress: '10.0.0.1:1', state: 'live' as const }
  exchange.applyInstanceList({ instances: [listed], targets: [] })
  exchange.handleHeartbeat(createHeartbeat({}))
  assert.equal(membership.listPeers()[0]?.peerAddress, '10.9.9.9:2')
  exchange.handleHeartbeat(createHeartbeat({ generation: 2, incarnation: 'later000', callerAddress: '10.0.0.2:1', peerAddress: '10.0.0.2:2' }))
  assert.equal(membership.listPeers()[0]?.peerAddress, '10.0.0.2:2')
})
