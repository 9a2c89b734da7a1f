import { type Demand } from '@sesamereel/state'
import { type HeapEntry, IndexedHeap } from './indexed-heap.js'
import { type JobRecord } from './job-record.js'

/**
 * Computes a class of similar demands: the number of bits of each dimension. Queued tasks that
 * cannot start are skipped by class, so the number of classes must stay small whatever callers declare.
 */
export function computeDemandClass (demand: Demand): number {
  const bits = (value: number): number => 32 - Math.clz32(value)
  return (bits(demand.processors) * 33 + bits(demand.memoryMb)) * 33 + bits(demand.accelerators)
}

/** The queued tasks of one job that belong to one class. */
export class QueuedTaskGroup implements HeapEntry {
  heapKey = 0
  heapIndex = -1
  /** Tasks that must be started again; they go first. */
  private readonly again: number[] = []
  /** Tasks that were never taken, longest expected first. */
  private readonly order: number[] = []
  private next = 0

  constructor (readonly job: JobRecord, readonly demandClass: DemandClass) {}

  add (index: number): void {
    this.order.push(index)
  }

  /** Sorts the tasks once; most jobs have tasks of equal length, for which nothing moves. */
  sort (): void {
    const { expectedMs } = this.job
    this.order.sort((a, b) => expectedMs[b]! - expectedMs[a]!)
  }

  requeueTask (index: number): void {
    this.again.push(index)
  }

  isEmpty (): boolean {
    return this.again.length === 0 && this.next === this.order.length
  }

  getFirst (): number {
    return this.again.length > 0 ? this.again[this.again.length - 1]! : this.order[this.next]!
  }

  takeFirst (): number {
    return this.again.length > 0 ? this.again.pop()! : this.order[this.next++]!
  }

  /** @returns indexes of all queued tasks */
  list (): readonly number[] {
    return [...this.again, ...this.order.slice(this.next)]
  }
}

/** Queued tasks of one customer with similar demands, ordered by job. */
export class DemandClass {
  readonly groups = new IndexedHeap<QueuedTaskGroup>()
  /** Number of the dispatch round in which no target had room. */
  skippedInRound = -1
  /** Whether the plan share was used up at the latest try; cleared when units become free. */
  isPlanBlocked = false

  constructor (readonly id: number) {}
}
