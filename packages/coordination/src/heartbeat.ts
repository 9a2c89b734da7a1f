import { hashText, type SeatId, type Topology } from '@sesamereel/state'
import { type LeavingNotice } from './leaving-tracker.js'
import { type SeatCheckReply } from './seat-directory.js'
import { type SeatHolder } from './seat-holder.js'

/** What instances tell each other: every 500 ms in a domain, every 2 s between domains. */
export interface Heartbeat extends SeatId, SeatHolder {
  readonly peerAddress: string
  readonly callerAddress: string
  /** `starting` until the instance is ready. */
  readonly state: 'starting' | 'live' | 'leaving'
  readonly configurationVersion: number
  /** See `hashTopology`; a difference is reported in the status. */
  readonly topologyHash: number
  /** Queued tasks by customer. */
  readonly queuedByCustomer: Readonly<Record<string, number>>
  /** Targets that the instance has ejected; empty for instances of other domains. */
  readonly ejectedTargets: readonly string[]
  /** Targets that are leaving; empty for instances of other domains. */
  readonly leavingTargets: readonly LeavingNotice[]
  /** Newest holders that the instance knows in its own and the receiver's domain, by `DOMAIN.SEAT`. */
  readonly holders: Readonly<Record<string, SeatHolder>>
}

export interface HeartbeatReply {
  readonly heartbeat: Heartbeat
  /** Whether the asker still holds its seat; taken into account only from peers of its domain. */
  readonly seat: SeatCheckReply
}

/**
 * Hashes a topology, so that instances with different settings are noticed.
 *
 * @returns an unsigned 32-bit number
 */
export function hashTopology (topology: Topology): number {
  return hashText(topology.domains.map((domain) => `${domain.name}:${domain.seats}`).join(','))
}
