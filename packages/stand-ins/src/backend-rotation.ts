/** Ranks back ends in round-robin order, those that are marked down last. */
export class BackendRotation {
  readonly #downMs: number
  readonly #downUntil = new Map<string, number>()
  #backends: readonly string[]
  #turn = 0

  /**
   * @param backends - addresses of the back ends
   * @param downMs - time in milliseconds for which a back end stays marked down
   */
  constructor (backends: readonly string[], downMs: number) {
    this.#backends = backends
    this.#downMs = downMs
  }

  /** Addresses of the back ends. */
  get backends (): readonly string[] { return this.#backends }

  /**
   * Replaces the back ends; marks stay with their addresses.
   *
   * @param backends - addresses of the back ends
   */
  replace (backends: readonly string[]): void { this.#backends = backends }

  /**
   * Tells whether a back end is marked down.
   *
   * @param address - address of the back end
   */
  isDown (address: string): boolean {
    return (this.#downUntil.get(address) ?? 0) > performance.now()
  }

  /**
   * Marks a back end that failed to accept a connection.
   *
   * @param address - address of the back end
   */
  markDown (address: string): void { this.#downUntil.set(address, performance.now() + this.#downMs) }

  /**
   * Removes the mark of a back end that accepted a connection.
   *
   * @param address - address of the back end
   */
  markUp (address: string): void { this.#downUntil.delete(address) }

  /**
   * Ranks all back ends for one connection.
   *
   * @returns their addresses in the order in which to try them
   */
  rank (): readonly string[] {
    const start = this.#turn++ % Math.max(1, this.#backends.length)
    const rotated = [...this.#backends.slice(start), ...this.#backends.slice(0, start)]
    const up = rotated.filter(address => !this.isDown(address))
    const down = rotated.filter(address => this.isDown(address))
    return [...up, ...down]
  }
}
