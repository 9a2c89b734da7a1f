import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { type RandomGenerator } from 'pure-rand/types/RandomGenerator'

/** Random choices that are reproducible from a seed. */
export class RandomSource {
  readonly #generator: RandomGenerator

  /**
   * @param seed - seed of the run
   * @param stream - separates the users of one seed, so that the choices of one do not depend on those of another
   */
  constructor (seed: number, stream = 0) {
    this.#generator = xoroshiro128plus(seed * 7_919 + stream)
  }

  /** Picks an integer from `low` to `high`, both inclusive. */
  pickInteger (low: number, high: number): number {
    return uniformInt(this.#generator, low, high)
  }

  /** Returns true with the given probability, from 0 to 1. */
  drawBoolean (probability: number): boolean {
    return this.pickInteger(0, 999_999) < probability * 1_000_000
  }

  /** Picks an item with equal probability; returns undefined for an empty list. */
  pick<T> (items: readonly T[]): T | undefined {
    return items.length === 0 ? undefined : items[this.pickInteger(0, items.length - 1)]
  }

  /** Picks a name with a probability in proportion to its weight, a whole number. */
  pickWeighted<K extends string> (weights: Readonly<Record<K, number>>): K {
    const entries = Object.entries(weights) as Array<[K, number]>
    let remaining = this.pickInteger(1, entries.reduce((sum, [, weight]) => sum + weight, 0))
    for (const [name, weight] of entries) {
      remaining -= weight
      if (remaining <= 0) return name
    }
    return entries[0]![0]
  }
}
