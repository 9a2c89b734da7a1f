/** Time in milliseconds for which a server that failed is used only when all others failed too. */
const avoidMs = 5_000

/**
 * Chooses which of the given servers to call. A server is kept until it fails, so that its
 * connections stay in use.
 */
export class ServerSelector {
  readonly #addresses: readonly string[]
  readonly #avoidUntil = new Map<string, number>()
  readonly #now: () => number
  #current: number

  /**
   * @param addresses - `IP:PORT` of each server, at least one
   * @param options - `start` is the index of the first server to use, `now` reads a clock in milliseconds
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
   * Picks the current server, or the next one that did not fail lately, or else the one whose
   * failure is longest ago.
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
   * Notes that a server failed or refused to serve now.
   *
   * @param address - address that `pick` returned
   */
  recordFailure (address: string): void {
    this.#avoidUntil.set(address, this.#now() + avoidMs)
    if (this.#addresses[this.#current] === address) this.#current = (this.#current + 1) % this.#addresses.length
  }

  /**
   * Notes that a server replied.
   *
   * @param address - address that `pick` returned
   */
  recordSuccess (address: string): void {
    this.#avoidUntil.delete(address)
  }
}
