import { type ConfigurationHolder } from '@sesamereel/coordination'

/** How far the instance is between its start and its end. */
export class InstancePhase {
  readonly #holder: ConfigurationHolder
  #storeRead = false
  #peerRead = false
  #listRead = false
  #wasReady = false
  #leaving = false
  #superseded = false

  constructor (holder: ConfigurationHolder) {
    this.#holder = holder
  }

  /** Notes that the store told the newest version. */
  markConfigurationRead (): void {
    this.#storeRead = true
  }

  /** Notes that a peer told its version. */
  markPeerReplied (): void {
    this.#peerRead = true
  }

  /** Notes that the platform's instance list was read. */
  markInstanceListRead (): void {
    this.#listRead = true
  }

  /** Notes that the planned stop began. */
  markLeaving (): void {
    this.#leaving = true
  }

  /** Notes that a later holder of the seat is known. */
  markSuperseded (): void {
    this.#superseded = true
  }

  isLeaving (): boolean {
    return this.#leaving || this.#superseded
  }

  isSuperseded (): boolean {
    return this.#superseded
  }

  /** State as heartbeats carry it. */
  getState (): 'starting' | 'live' | 'leaving' {
    if (this.isLeaving()) return 'leaving'
    return this.explainNotReady() === undefined ? 'live' : 'starting'
  }

  /**
   * Tells why the instance is not ready. Once ready, it stays so until it leaves: outages of the
   * platform don't make it less able to serve.
   *
   * @returns the reason, undefined when ready
   */
  explainNotReady (): string | undefined {
    if (this.#superseded) return 'another instance holds the seat'
    if (this.#leaving) return 'the instance is leaving'
    if (this.#wasReady) return undefined
    const { current, newestKnownVersion } = this.#holder
    if (!this.#storeRead && !(this.#peerRead && current.version > 0)) return 'neither the table service nor a peer has told the configuration yet'
    if (current.version < newestKnownVersion) return `configuration version ${newestKnownVersion} is known but not read yet`
    if (!this.#listRead) return 'the instance list was not read yet'
    this.#wasReady = true
    return undefined
  }
}
