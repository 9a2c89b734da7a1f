/** A configuration as the platform publishes it; this package does not read the text. */
export interface PublishedConfiguration {
  readonly version: number
  readonly text: string
}

/** Hears of every newer configuration. */
export type ApplyConfiguration = (configuration: PublishedConfiguration, source: string) => boolean

/**
 * The newest configuration that this instance knows, from the store or from a peer. Versions only
 * rise, so an older copy from anywhere never replaces a newer one.
 */
export class ConfigurationRelay {
  #current: PublishedConfiguration | undefined
  readonly #listener: ApplyConfiguration

  /**
   * @param listener - puts a configuration in force; returns false when it can't be read
   */
  constructor (listener: ApplyConfiguration) {
    this.#listener = listener
  }

  /** @returns 0 before the first configuration */
  get version (): number { return this.#current?.version ?? 0 }

  get current (): PublishedConfiguration | undefined { return this.#current }

  /**
   * Offers a configuration.
   *
   * @param source - where it came from, for the log
   * @returns whether it is in force now
   */
  applyIfNewer (configuration: PublishedConfiguration, source: string): boolean {
    if (configuration.version <= this.version) return false
    if (!this.#listener(configuration, source)) return false
    this.#current = configuration
    return true
  }
}
