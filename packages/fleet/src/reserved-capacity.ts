import { type Demand } from '@sesamereel/state'

/** Capacity of one target that is reserved for runs. */
export class ReservedCapacity {
  #processors = 0
  #memoryMb = 0
  #accelerators = 0
  #free: { readonly capacity: Demand, readonly free: Demand } | undefined

  add (demand: Demand): void {
    this.#adjust(demand, 1)
  }

  release (demand: Demand): void {
    this.#adjust(demand, -1)
  }

  /** @returns the given capacity less the reserved part */
  computeFree (capacity: Demand): Demand {
    // Placement reads the free capacity of every target for each task; it changes only with the runs.
    if (this.#free?.capacity === capacity) return this.#free.free
    const free = {
      processors: capacity.processors - this.#processors,
      memoryMb: capacity.memoryMb - this.#memoryMb,
      accelerators: capacity.accelerators - this.#accelerators
    }
    this.#free = { capacity, free }
    return free
  }

  #adjust (demand: Demand, sign: 1 | -1): void {
    this.#free = undefined
    this.#processors += sign * demand.processors
    this.#memoryMb += sign * demand.memoryMb
    this.#accelerators += sign * demand.accelerators
  }
}
