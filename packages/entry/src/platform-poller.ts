import { type InstanceList } from '@sesamereel/state'
import { type PeerClients, type PlatformClient } from '@sesamereel/transport'
import { type ConfigurationStore } from './configuration-store.js'
import { type ConfigurationSync } from './configuration-sync.js'
import { type EventLog } from './event-log.js'
import { type HeartbeatExchange } from './heartbeat-exchange.js'
import { type InstancePhase } from './instance-phase.js'
import { type TargetDirectory } from './target-directory.js'

export interface PlatformPollerOptions {
  readonly domain: string
  readonly platform: PlatformClient
  readonly store: ConfigurationStore
  readonly sync: ConfigurationSync
  readonly heartbeats: HeartbeatExchange
  readonly targets: TargetDirectory
  readonly peers: PeerClients
  readonly phase: InstancePhase
  readonly log: EventLog
}

/** Polls the instance list and the configuration. During an outage of the platform the last ones stay in force. */
export class PlatformPoller {
  readonly #options: PlatformPollerOptions
  readonly #unreachableParts = new Set<string>()
  #instanceList: InstanceList | undefined

  constructor (options: PlatformPollerOptions) {
    this.#options = options
  }

  /**
   * Reads the instance list and applies it to targets, peers and membership.
   */
  async pollInstances (): Promise<void> {
    const { domain, heartbeats, peers, phase, platform, targets } = this.#options
    const read = await platform.readInstanceList(domain)
    this.#recordReachability('instances', read.kind === 'unavailable' ? read.message : undefined)
    if (read.kind === 'found') {
      // An unchanged list is the same object. It is still applied below on every poll, so that unresponsive peers expire.
      if (read.value !== this.#instanceList) {
        targets.applyTargets(read.value.targets.filter(target => target.domain === domain))
        peers.closeConnectionsExcept(new Set(read.value.instances.map(instance => instance.peerAddress)))
      }
      this.#instanceList = read.value
      phase.markInstanceListRead()
    }
    if (this.#instanceList !== undefined) heartbeats.applyInstanceList(this.#instanceList)
  }

  /**
   * Reads the configuration from the store and applies it if it is newer.
   */
  async pollConfiguration (): Promise<void> {
    const { phase, store, sync } = this.#options
    const read = await store.read()
    this.#recordReachability('tables', read.kind === 'unavailable' ? read.message : undefined)
    if (read.kind !== 'found') return
    sync.applyIfNewer(read.value, 'store')
    phase.markConfigurationRead()
  }

  /** Logs the start and the end of an outage of one part of the platform. */
  #recordReachability (part: string, failure: string | undefined): void {
    if (failure !== undefined && !this.#unreachableParts.has(part)) {
      this.#unreachableParts.add(part)
      this.#options.log.log('warn', 'platform-unreachable', { part, reason: failure })
    } else if (failure === undefined && this.#unreachableParts.delete(part)) {
      this.#options.log.log('info', 'platform-reachable', { part })
    }
  }
}
