import { type Demand } from '@sesamereel/state'
import { type TargetInfo } from './target-types.js'

/**
 * The list entry of a target as far as it holds for the incarnation that answers polls. Labels, service and capacity
 * belong to one incarnation, and a later one may be of another kind.
 * Load pattern: targets restart as another kind, also while the store is unavailable, so that their entries are out of date.
 */
export class IncarnationEntry {
  #listed: TargetInfo
  /** The smallest capacity, in each resource, that the entries have stated. */
  #smallestCapacity: Demand
  #bornMs: number | undefined
  /** Whether the entry is of another incarnation; stored, because placement reads it for each task and target. */
  #isOutdated = false
  /** Stored for the same reason. */
  #restricted: TargetInfo

  constructor (entry: TargetInfo) {
    this.#listed = entry
    this.#smallestCapacity = entry.capacity
    this.#restricted = { ...entry, labels: [] }
  }

  /** The entry as the list states it. */
  get listed (): TargetInfo { return this.#listed }

  /** The part of an outdated entry by which tasks may start: no labels, and the smallest known capacity. */
  get restricted (): TargetInfo { return this.#restricted }

  /** Whether the entry is of another incarnation than the one that answers. */
  get isOutdated (): boolean { return this.#isOutdated }

  /** Applies a newer entry of the list. */
  update (entry: TargetInfo): void {
    this.#listed = entry
    const { capacity } = entry
    this.#smallestCapacity = {
      processors: Math.min(this.#smallestCapacity.processors, capacity.processors),
      memoryMb: Math.min(this.#smallestCapacity.memoryMb, capacity.memoryMb),
      accelerators: Math.min(this.#smallestCapacity.accelerators, capacity.accelerators)
    }
    this.#restricted = { ...entry, labels: [], capacity: this.#smallestCapacity }
    this.#compare()
  }

  /** Records the start of the incarnation that answers; undefined while it is unknown. */
  setBorn (bornMs: number | undefined): void {
    this.#bornMs = bornMs
    this.#compare()
  }

  #compare (): void {
    this.#isOutdated = this.#bornMs !== undefined && this.#listed.bornMs !== undefined && this.#bornMs !== this.#listed.bornMs
  }
}
