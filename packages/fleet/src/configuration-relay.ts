/**
 * Time in milliseconds in which the store delivers a new configuration to this instance too, before it asks a peer
 * for it. A slow store answers within 300 ms.
 */
const storeDeliveryMs = 500

/** Minimum interval in milliseconds between two requests to peers. */
const requestIntervalMs = 500

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
  /** Time since which a peer is known to have a newer configuration. */
  #outdatedSince: number | undefined
  #requestedAt = -Infinity

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
    this.#outdatedSince = undefined
    return true
  }

  /**
   * Records which version a peer has, and requests it from one peer at a time if the store has not delivered it in time.
   * Answers the load pattern of a new configuration in a large fleet: all instances read it from the store at about
   * the same time, and copies from all of them would fill the link of an instance that is a few milliseconds behind.
   *
   * @param now - monotonic time in milliseconds
   * @param request - sends the peer a request for its configuration
   */
  notePeerVersion (version: number, now: number, request: () => void): void {
    if (version <= this.version) return
    this.#outdatedSince ??= now
    if (now - this.#outdatedSince < storeDeliveryMs || now - this.#requestedAt < requestIntervalMs) return
    this.#requestedAt = now
    request()
  }
}
