import { type Configuration, emptyConfiguration } from '@sesamereel/state'

/** Holds the configuration in force. Its version never falls. */
export class ConfigurationHolder {
  private configuration: Configuration = emptyConfiguration
  private newestVersion = 0

  /** The configuration in force. */
  get current (): Configuration {
    return this.configuration
  }

  /** Highest version that the store or a peer has named; above the current one while a copy is missing. */
  get newestKnownVersion (): number {
    return this.newestVersion
  }

  /**
   * Takes a configuration when it is newer than the one in force.
   *
   * @returns `applied` when it is in force from now on
   */
  applyIfNewer (configuration: Configuration): 'applied' | 'ignored' {
    this.observeVersion(configuration.version)
    if (configuration.version <= this.configuration.version) return 'ignored'
    this.configuration = configuration
    return 'applied'
  }

  /**
   * Notes a version that the store or a peer's heartbeat names.
   *
   * @returns true when the configuration in force is older, so that a copy must be fetched
   */
  observeVersion (version: number): boolean {
    this.newestVersion = Math.max(this.newestVersion, version)
    return this.newestVersion > this.configuration.version
  }
}
