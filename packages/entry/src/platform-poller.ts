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

/** Polls the instance list and the configuration; the last ones are kept through outages. */
export class PlatformPoller {
  readonly #options: PlatformPollerOptions
  readonly #down = new Set<string>()
  #list: InstanceList | undefined

  constructor (options: PlatformPollerOptions) {
    this.#options = options
  }

  /**
   * Reads the instance list.
   */
  async pollInstances (): Promise<void> {
    const { domain, heartbeats, peers, phase, platform, targets } = this.#options
    const read = await platform.readInstanceList(domain)
    this.#noteReachable('instances', read.kind === 'unavailable' ? read.message : undefined)
    if (read.kind === 'found') {
      // An unchanged list is the same object; applying it again lets silent peers expire.
      if (read.value !== this.#list) {
        targets.applyTargets(read.value.targets.filter(target => target.domain === domain))
        peers.closeConnectionsExcept(new Set(read.value.instances.map(instance => instance.peerAddress)))
      }
      this.#list = read.value
      phase.markInstanceListRead()
    }
    if (this.#list !== undefined) heartbeats.applyInstanceList(this.#list)
  }

  /**
   * Reads the newest configuration.
   */
  async pollConfiguration (): Promise<void> {
    const { phase, store, sync } = this.#options
    const read = await store.read()
    this.#noteReachable('tables', read.kind === 'unavailable' ? read.message : undefined)
    if (read.kind !== 'found') return
    sync.applyIfNewer(read.value, 'store')
    phase.markConfigurationRead()
  }

  #noteReachable (part: string, failure: string | undefined): void {
    if (failure !== undefined && !this.#down.has(part)) {
      this.#down.add(part)
      this.#options.log.log('warn', 'platform-unreachable', { part, reason: failure })
    } else if (failure === undefined && this.#down.delete(part)) {
      this.#options.log.log('info', 'platform-reachable', { part })
    }
  }
}
