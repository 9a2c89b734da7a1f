/** A configuration as published by the platform; this package does not parse the text. */
export interface PublishedConfiguration {
  readonly version: number
  readonly text: string
}

/**
 * Puts a newer configuration in force.
 *
 * @returns false if the configuration is invalid
 */
export type ApplyConfiguration = (configuration: PublishedConfiguration, source: string) => boolean

/**
 * Holds the newest configuration that this instance has received from the store or from a peer, so
 * that it can be passed on to peers. A copy with an older or equal version is ignored.
 */
export class ConfigurationRelay {
  #current: PublishedConfiguration | undefined
  readonly #apply: ApplyConfiguration

  /**
   * @param apply - puts a configuration in force; returns false if it is invalid
   */
  constructor (apply: ApplyConfiguration) {
    this.#apply = apply
  }

  /** Version of the current configuration; 0 before the first one. */
  get version (): number { return this.#current?.version ?? 0 }

  get current (): PublishedConfiguration | undefined { return this.#current }

  /**
   * Applies a configuration if it is newer than the current one.
   *
   * @param source - origin of the configuration, for the log
   * @returns whether the configuration was applied
   */
  applyIfNewer (configuration: PublishedConfiguration, source: string): boolean {
    if (configuration.version <= this.version) return false
    if (!this.#apply(configuration, source)) return false
    this.#current = configuration
    return true
  }
}
