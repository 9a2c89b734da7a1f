import { type Demand } from '@sesamereel/state'

/** Room at one target that runs occupy. */
export class ReservedCapacity {
  #processors = 0
  #memoryMb = 0
  #accelerators = 0

  add (demand: Demand): void {
    this.#change(demand, 1)
  }

  release (demand: Demand): void {
    this.#change(demand, -1)
  }

  /** @returns what is left of a capacity */
  computeFree (capacity: Demand): Demand {
    return {
      processors: capacity.processors - this.#processors,
      memoryMb: capacity.memoryMb - this.#memoryMb,
      accelerators: capacity.accelerators - this.#accelerators
    }
  }

  #change (demand: Demand, sign: 1 | -1): void {
    this.#processors += sign * demand.processors
    this.#memoryMb += sign * demand.memoryMb
    this.#accelerators += sign * demand.accelerators
  }
}
