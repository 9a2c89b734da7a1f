/** Time in milliseconds after a failure during which a server is chosen only when all others failed too. */
const avoidAfterFailureMs = 5_000

/**
 * Selects the server for each request. The same server is used until it fails, so that its
 * connections are reused.
 */
export class ServerSelector {
  readonly #addresses: readonly string[]
  readonly #avoidUntil = new Map<string, number>()
  readonly #now: () => number
  #current: number

  /**
   * @param addresses - `IP:PORT` of each server, at least one
   * @param options - `start` is the index of the first server to use, `now` reads a monotonic clock in milliseconds
   */
  constructor (addresses: readonly string[], options: { readonly start?: number, readonly now?: () => number } = {}) {
    if (addresses.length === 0) throw new RangeError('expected at least one server address')
    this.#addresses = addresses
    this.#now = options.now ?? (() => performance.now())
    this.#current = (options.start ?? 0) % addresses.length
  }

  get size (): number {
    return this.#addresses.length
  }

  get addresses (): readonly string[] {
    return this.#addresses
  }

  /**
   * Picks the current server unless it failed recently, else the next one that did not, else
   * the one whose last failure is longest ago.
   *
   * @returns the address of the server
   */
  pick (): string {
    const now = this.#now()
    let best = this.#current
    let bestUntil = Infinity
    for (let step = 0; step < this.#addresses.length; step++) {
      const index = (this.#current + step) % this.#addresses.length
      const until = this.#avoidUntil.get(this.#addresses[index]!) ?? 0
      if (until <= now) {
        best = index
        break
      }
      if (until < bestUntil) {
        best = index
        bestUntil = until
      }
    }
    this.#current = best
    return this.#addresses[best]!
  }

  /**
   * Records that a server failed or cannot serve at present.
   *
   * @param address - address that `pick` returned
   */
  recordFailure (address: string): void {
    this.#avoidUntil.set(address, this.#now() + avoidAfterFailureMs)
    if (this.#addresses[this.#current] === address) this.#current = (this.#current + 1) % this.#addresses.length
  }

  /**
   * Records that a server replied without an error.
   *
   * @param address - address that `pick` returned
   */
  recordSuccess (address: string): void {
    this.#avoidUntil.delete(address)
  }
}
