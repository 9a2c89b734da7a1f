import { hashText, type SeatId, type Topology } from '@sesamereel/state'
import { type LeavingNotice } from './leaving-tracker.js'
import { type SeatCheckReply } from './seat-directory.js'
import { type SeatHolder } from './seat-holder.js'

/** State that instances report to each other, every 500 ms within a domain and every 2 s between domains. */
export interface Heartbeat extends SeatId, SeatHolder {
  readonly peerAddress: string
  readonly callerAddress: string
  /** `starting` until the instance is ready. */
  readonly state: 'starting' | 'live' | 'leaving'
  readonly configurationVersion: number
  /** Result of `hashTopology`. The status reports a peer whose hash differs. */
  readonly topologyHash: number
  /** Number of queued tasks by customer. */
  readonly queuedByCustomer: Readonly<Record<string, number>>
  /** Targets that the sender has ejected; empty in heartbeats to other domains. */
  readonly ejectedTargets: readonly string[]
  /** Targets that are leaving; empty in heartbeats to other domains. */
  readonly leavingTargets: readonly LeavingNotice[]
  /** Newest known holder of each seat in the sender's and the receiver's domain, by `DOMAIN.SEAT`. */
  readonly holders: Readonly<Record<string, SeatHolder>>
}

/** Reply to a heartbeat. */
export interface HeartbeatReply {
  readonly heartbeat: Heartbeat
  /**
   * Newest known holder of the requester's seat. It confirms the seat only if the replier is in
   * the requester's domain; a reply from another domain can only report a later holder.
   */
  readonly seat: SeatCheckReply
}

/**
 * Hashes a topology, so that instances with different settings are detected.
 *
 * @returns an unsigned 32-bit number
 */
export function hashTopology (topology: Topology): number {
  return hashText(topology.domains.map((domain) => `${domain.name}:${domain.seats}`).join(','))
}
