import { type ConfigurationHolder } from '@sesamereel/coordination'
import { type Configuration } from '@sesamereel/state'
import { type PeerClients } from '@sesamereel/transport'
import { type EventLog } from './event-log.js'

/** Applies newer configurations, and fetches them from peers that report a newer version. */
export class ConfigurationSync {
  readonly #holder: ConfigurationHolder
  readonly #peers: PeerClients
  readonly #log: EventLog
  readonly #apply: (configuration: Configuration) => void
  #fetching: Promise<void> | undefined

  /**
   * @param apply - receives each configuration that is newer than the one in force
   */
  constructor (holder: ConfigurationHolder, peers: PeerClients, log: EventLog, apply: (configuration: Configuration) => void) {
    this.#holder = holder
    this.#peers = peers
    this.#log = log
    this.#apply = apply
  }

  /**
   * Applies a configuration if it is newer than the one in force.
   *
   * @param source - where the configuration came from; used in the log
   */
  applyIfNewer (configuration: Configuration, source: string): void {
    if (this.#holder.applyIfNewer(configuration) !== 'applied') return
    this.#log.log('info', 'configuration-applied', { version: configuration.version, edit: configuration.editId, source })
    this.#apply(configuration)
  }

  /**
   * Records the version that a peer reports, and fetches the configuration from that peer if it is
   * newer than the one in force. Only one fetch runs at a time; a further call waits for it.
   *
   * @param address - peer address of the reporting instance
   */
  async observeVersion (version: number, address: string): Promise<void> {
    if (!this.#holder.observeVersion(version) || version <= this.#holder.current.version) return
    this.#fetching ??= this.#fetch(address).finally(() => { this.#fetching = undefined })
    await this.#fetching
  }

  async #fetch (address: string): Promise<void> {
    const result = await this.#peers.readConfiguration(address)
    if (result.kind === 'replied') this.applyIfNewer(result.value, `peer ${address}`)
    else this.#log.log('warn', 'configuration-not-read', { peer: address, reason: result.message })
  }
}
