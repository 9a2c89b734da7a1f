import { type ConfigurationHolder, type Dispatcher, type Membership } from '@sesamereel/coordination'
import { formatSeat } from '@sesamereel/state'
import { type HeartbeatExchange } from './heartbeat-exchange.js'
import { type Identity } from './identity.js'
import { type InstancePhase } from './instance-phase.js'
import { type SeatKeeper } from './seat-keeper.js'

export interface StatusSources {
  readonly identity: Identity
  readonly phase: InstancePhase
  readonly holder: ConfigurationHolder
  readonly keeper: SeatKeeper
  readonly membership: Membership
  readonly heartbeats: HeartbeatExchange
  readonly dispatcher: Dispatcher
}

/**
 * Describes the instance, its peers and its targets for operators.
 *
 * @returns the response body of `GET /v1/status`
 */
export function describeInstance ({ identity, phase, holder, keeper, membership, heartbeats, dispatcher }: StatusSources): object {
  const status = dispatcher.readStatus()
  return {
    instance: formatSeat(identity),
    incarnation: identity.incarnation,
    state: phase.getState(),
    notReady: phase.explainNotReady() ?? null,
    configurationVersion: holder.current.version,
    newestKnownVersion: holder.newestKnownVersion,
    seat: keeper.describe(),
    jobs: status.jobs,
    queued: status.queued,
    running: status.running,
    peers: membership.listPeers().map(peer => ({
      seat: peer.name,
      state: peer.state,
      address: peer.peerAddress,
      generation: peer.heartbeat?.generation ?? null,
      configurationVersion: peer.heartbeat?.configurationVersion ?? null,
      otherTopology: peer.heartbeat !== undefined && heartbeats.isTopologyMismatch(peer.heartbeat.topologyHash)
    })),
    targets: status.targets,
    customers: status.customers
  }
}
