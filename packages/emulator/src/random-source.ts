import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { type RandomGenerator } from 'pure-rand/types/RandomGenerator'

/** Random choices that a seed determines. */
export class RandomSource {
  readonly #generator: RandomGenerator

  /**
   * @param seed - seed of the run
   * @param stream - tells apart the users of one seed, so that they do not disturb each other's choices
   */
  constructor (seed: number, stream = 0) {
    this.#generator = xoroshiro128plus(seed * 7_919 + stream)
  }

  /** Picks a whole number from `low` to `high`, both included. */
  pickNumber (low: number, high: number): number {
    return uniformInt(this.#generator, low, high)
  }

  /** Is true in the given share of the calls. */
  isPicked (share: number): boolean {
    return this.pickNumber(0, 999_999) < share * 1_000_000
  }

  /** Picks an item; undefined from an empty list. */
  pick<T> (items: readonly T[]): T | undefined {
    return items.length === 0 ? undefined : items[this.pickNumber(0, items.length - 1)]
  }

  /** Picks a name by weight. */
  pickWeighted<K extends string> (weights: Readonly<Record<K, number>>): K {
    const entries = Object.entries(weights) as Array<[K, number]>
    let rest = this.pickNumber(1, entries.reduce((sum, [, weight]) => sum + weight, 0))
    for (const [name, weight] of entries) {
      rest -= weight
      if (rest <= 0) return name
    }
    return entries[0]![0]
  }
}
