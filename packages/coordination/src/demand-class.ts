import { type Demand } from '@sesamereel/state'
import { type HeapEntry, IndexedHeap } from './indexed-heap.js'
import { type JobRecord } from './job-record.js'

/**
 * Computes the id of the class of similar demands that a demand belongs to: it combines the bit
 * lengths of all dimensions. Queued tasks that cannot start are skipped by class, so the number of
 * classes has to stay small whatever demands callers declare.
 */
export function computeDemandClass (demand: Demand): number {
  const bits = (value: number): number => 32 - Math.clz32(value)
  return (bits(demand.processors) * 33 + bits(demand.memoryMb)) * 33 + bits(demand.accelerators)
}

/** The queued tasks of one job that belong to one demand class. */
export class QueuedTaskGroup implements HeapEntry {
  heapKey = 0
  heapIndex = -1
  /** Tasks that were returned to the queue; they go first. */
  private readonly requeued: number[] = []
  /** Tasks in the order of their first attempts, longest expected run time first; those before `nextUntried` were taken. */
  private readonly untried: number[] = []
  private nextUntried = 0

  constructor (readonly job: JobRecord, readonly demandClass: DemandClass) {}

  add (index: number): void {
    this.untried.push(index)
  }

  /** Sorts the tasks by expected run time, longest first; called once, after all tasks were added. */
  sort (): void {
    const { expectedMs } = this.job
    this.untried.sort((a, b) => expectedMs[b]! - expectedMs[a]!)
  }

  requeueTask (index: number): void {
    this.requeued.push(index)
  }

  isEmpty (): boolean {
    return this.requeued.length === 0 && this.nextUntried === this.untried.length
  }

  getFirst (): number {
    return this.requeued.length > 0 ? this.requeued[this.requeued.length - 1]! : this.untried[this.nextUntried]!
  }

  takeFirst (): number {
    return this.requeued.length > 0 ? this.requeued.pop()! : this.untried[this.nextUntried++]!
  }

  /** @returns the indexes of all queued tasks */
  list (): readonly number[] {
    return [...this.requeued, ...this.untried.slice(this.nextUntried)]
  }
}

/** Queued tasks of one customer with similar demands, grouped and ordered by job. */
export class DemandClass {
  readonly groups = new IndexedHeap<QueuedTaskGroup>()
  /**
   * Number of the latest dispatch round in which this class was skipped, because no target had free
   * capacity or waiting was better.
   */
  skippedInRound = -1
  /** Whether too few plan units were available at the latest attempt to start a task; cleared when units become free. */
  isPlanBlocked = false

  constructor (readonly id: number) {}
}
