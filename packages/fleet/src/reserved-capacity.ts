import { type Demand } from '@sesamereel/state'

/** Capacity of one target that is reserved for runs. */
export class ReservedCapacity {
  #processors = 0
  #memoryMb = 0
  #accelerators = 0

  add (demand: Demand): void {
    this.#adjust(demand, 1)
  }

  release (demand: Demand): void {
    this.#adjust(demand, -1)
  }

  /** @returns the given capacity less the reserved part */
  computeFree (capacity: Demand): Demand {
    return {
      processors: capacity.processors - this.#processors,
      memoryMb: capacity.memoryMb - this.#memoryMb,
      accelerators: capacity.accelerators - this.#accelerators
    }
  }

  #adjust (demand: Demand, sign: 1 | -1): void {
    this.#processors += sign * demand.processors
    this.#memoryMb += sign * demand.memoryMb
    this.#accelerators += sign * demand.accelerators
  }
}
