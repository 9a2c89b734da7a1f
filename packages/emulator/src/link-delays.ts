interface LinkDelay {
  readonly ms: number
}

/** Delays of the links between endpoints that are full: what is sent in one direction arrives late and in order. */
export class LinkDelays {
  /** The delays in force, by direction as `from>to`; the longest one applies. */
  readonly #delays = new Map<string, Set<LinkDelay>>()
  /** Time in milliseconds at which the last delayed message of a direction arrives. */
  readonly #lastArrivals = new Map<string, number>()

  /** Delays what is sent in one direction. @returns a function that ends this delay and no other */
  add (from: string, to: string, ms: number): () => void {
    const direction = `${from}>${to}`
    const delays = this.#delays.get(direction) ?? new Set()
    const delay: LinkDelay = { ms }
    this.#delays.set(direction, delays.add(delay))
    return () => { delays.delete(delay) }
  }

  /** Removes all delays; what is on its way arrives as late as before. */
  clear (): void {
    this.#delays.clear()
  }

  /**
   * Schedules a message behind those that are on their way in the same direction.
   *
   * @param latencyMs - time in milliseconds that a message takes without a delay
   * @returns the time in milliseconds until the message arrives
   */
  scheduleArrival (from: string, to: string, now: number, latencyMs: number): number {
    const direction = `${from}>${to}`
    const delayMs = Math.max(0, ...[...this.#delays.get(direction) ?? []].map(delay => delay.ms))
    const lastArrival = this.#lastArrivals.get(direction) ?? -Infinity
    if (delayMs === 0 && lastArrival <= now) return latencyMs
    const arrival = Math.max(now + latencyMs + delayMs, lastArrival)
    this.#lastArrivals.set(direction, arrival)
    return arrival - now
  }
}
