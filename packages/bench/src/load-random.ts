import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { type RandomGenerator } from 'pure-rand/types/RandomGenerator'

/** Seeded random number generator with the distributions that the load uses. */
export class LoadRandom {
  readonly #generator: RandomGenerator

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  /**
   * Samples a uniform distribution.
   *
   * @returns a number of at least `low` and less than `high`
   */
  sampleUniform (low: number, high: number): number {
    return low + uniformFloat64(this.#generator) * (high - low)
  }

  /**
   * Samples an exponential distribution, such as the interval between two arrivals of a Poisson process.
   *
   * @param mean - mean of the result
   */
  sampleExponential (mean: number): number {
    return -mean * Math.log(1 - uniformFloat64(this.#generator))
  }

  /**
   * Samples a log-normal distribution.
   *
   * @param median - median of the result
   * @param sigma - standard deviation of its natural logarithm
   */
  sampleLogNormal (median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - uniformFloat64(this.#generator)))
    return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * uniformFloat64(this.#generator)))
  }

  /**
   * Picks an index with a probability proportional to its weight.
   *
   * @param weights - one for each index, not all zero
   */
  pickIndex (weights: readonly number[]): number {
    let remaining = this.sampleUniform(0, weights.reduce((sum, weight) => sum + weight, 0))
    for (let index = 0; index < weights.length; index++) {
      remaining -= weights[index]!
      if (remaining < 0) return index
    }
    return weights.length - 1
  }
}
