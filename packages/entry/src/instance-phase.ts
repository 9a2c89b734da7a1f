import { type ConfigurationHolder } from '@sesamereel/coordination'

/** Tracks whether the instance is starting, live or leaving. */
export class InstancePhase {
  readonly #holder: ConfigurationHolder
  #isConfigurationRead = false
  #hasPeerReplied = false
  #isInstanceListRead = false
  #wasReady = false
  #isStopping = false
  #superseded = false

  constructor (holder: ConfigurationHolder) {
    this.#holder = holder
  }

  /** Records that the configuration was read from the table service. */
  markConfigurationRead (): void {
    this.#isConfigurationRead = true
  }

  /** Records that a peer has replied to a heartbeat and so reported its configuration version. */
  markPeerReplied (): void {
    this.#hasPeerReplied = true
  }

  /** Records that the instance list of the platform was read. */
  markInstanceListRead (): void {
    this.#isInstanceListRead = true
  }

  /** Records that the planned stop has begun. */
  markLeaving (): void {
    this.#isStopping = true
  }

  /** Records that a later holder of the seat is known. */
  markSuperseded (): void {
    this.#superseded = true
  }

  /** Tells whether the planned stop has begun or a later holder of the seat is known. */
  isLeaving (): boolean {
    return this.#isStopping || this.#superseded
  }

  isSuperseded (): boolean {
    return this.#superseded
  }

  /** Returns the state that heartbeats report. */
  getState (): 'starting' | 'live' | 'leaving' {
    if (this.isLeaving()) return 'leaving'
    return this.explainNotReady() === undefined ? 'live' : 'starting'
  }

  /**
   * Explains why the instance is not ready. Once ready, it stays ready until it leaves, because it
   * can serve callers through an outage of the platform.
   *
   * @returns the reason, or undefined when the instance is ready
   */
  explainNotReady (): string | undefined {
    if (this.#superseded) return 'another instance holds the seat'
    if (this.#isStopping) return 'the instance is leaving'
    if (this.#wasReady) return undefined
    const { current, newestKnownVersion } = this.#holder
    if (!this.#isConfigurationRead && !(this.#hasPeerReplied && current.version > 0)) return 'the configuration has not been received from the table service or a peer yet'
    if (current.version < newestKnownVersion) return `configuration version ${newestKnownVersion} exists but has not been read yet`
    if (!this.#isInstanceListRead) return 'the instance list has not been read yet'
    this.#wasReady = true
    return undefined
  }
}
