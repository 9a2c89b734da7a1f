import { type ConfigurationHolder } from '@sesamereel/coordination'
import { type Configuration } from '@sesamereel/state'
import { type PeerClients } from '@sesamereel/transport'
import { type EventLog } from './event-log.js'

/** Puts configurations in force, and fetches newer ones from the peers that name them. */
export class ConfigurationSync {
  readonly #holder: ConfigurationHolder
  readonly #peers: PeerClients
  readonly #log: EventLog
  readonly #apply: (configuration: Configuration) => void
  #fetching: Promise<void> | undefined

  /**
   * @param apply - receives each configuration that comes into force
   */
  constructor (holder: ConfigurationHolder, peers: PeerClients, log: EventLog, apply: (configuration: Configuration) => void) {
    this.#holder = holder
    this.#peers = peers
    this.#log = log
    this.#apply = apply
  }

  /**
   * Puts a configuration in force if it is newer than the present one.
   *
   * @param source - where it came from, for the log
   */
  applyIfNewer (configuration: Configuration, source: string): void {
    if (this.#holder.applyIfNewer(configuration) !== 'applied') return
    this.#log.log('info', 'configuration-applied', { version: configuration.version, edit: configuration.editId, source })
    this.#apply(configuration)
  }

  /**
   * Takes the version that a peer names into account; a newer one is fetched from that peer.
   *
   * @param address - peer address
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
