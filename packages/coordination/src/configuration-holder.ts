import { type Configuration, emptyConfiguration } from '@sesamereel/state'

/** Holds the configuration in force. Its version never decreases. */
export class ConfigurationHolder {
  private configuration: Configuration = emptyConfiguration
  private highestVersion = 0

  /** The configuration in force. */
  get current (): Configuration {
    return this.configuration
  }

  /**
   * Highest version that the store or a peer has reported; above the version in force until that
   * configuration has been fetched.
   */
  get newestKnownVersion (): number {
    return this.highestVersion
  }

  /**
   * Puts a configuration in force if its version is higher than that of the current one.
   *
   * @returns `applied` when the configuration is in force from now on, otherwise `ignored`
   */
  applyIfNewer (configuration: Configuration): 'applied' | 'ignored' {
    this.observeVersion(configuration.version)
    if (configuration.version <= this.configuration.version) return 'ignored'
    this.configuration = configuration
    return 'applied'
  }

  /**
   * Records a version that the store or the heartbeat of a peer reported.
   *
   * @returns true when the configuration in force is older than the newest known version, so
   *   that a copy must be fetched
   */
  observeVersion (version: number): boolean {
    this.highestVersion = Math.max(this.highestVersion, version)
    return this.highestVersion > this.configuration.version
  }
}
