import { computeDominantShare, type ResourceVector, type TaskSpec, zeroResources } from '@sesamereel/state'
import { computeDemandClass, DemandClass, QueuedTaskGroup } from './demand-class.js'
import { type HeapEntry } from './indexed-heap.js'
import { type JobRecord } from './job-record.js'

/**
 * Milliseconds of work by which each millisecond of waiting advances a job. With 100, smaller jobs
 * overtake a job for about as long as its work takes on 100 slots.
 */
const ageingRate = 100

type MutableVector = { -readonly [K in keyof ResourceVector]: ResourceVector[K] }

function adjustVector (vector: MutableVector, task: TaskSpec, sign: 1 | -1): void {
  vector.processors += sign * task.demand.processors
  vector.memoryMb += sign * task.demand.memoryMb
  vector.accelerators += sign * task.demand.accelerators
  vector.parallel += sign
}

/** Queued tasks and use of one customer. Its key in a heap is its dominant share. */
export class CustomerQueue implements HeapEntry {
  heapKey = 0
  heapIndex = -1
  /** Number of queued tasks, those bound to a busy target included. */
  queued = 0
  limit: ResourceVector = zeroResources
  /** Time since which none runs, and the next task needs more units than the own share has. */
  blockedByShareSince: number | undefined
  private readonly classes = new Map<number, DemandClass>()
  private readonly parts = new Map<JobRecord, QueuedTaskGroup[]>()
  private readonly used: MutableVector = { ...zeroResources }
  private readonly queuedDemand: MutableVector = { ...zeroResources }

  constructor (readonly customer: string) {}

  /** @returns the largest ratio of use to limit over the dimensions */
  computeDominantShare (): number {
    return computeDominantShare(this.used, this.limit)
  }

  /** @returns the sum of the demands of all queued tasks */
  getQueuedDemand (): ResourceVector {
    return this.queuedDemand
  }

  getUsed (): ResourceVector {
    return this.used
  }

  isIdle (): boolean {
    return this.queued === 0 && this.used.parallel === 0
  }

  addUse (task: TaskSpec): void {
    adjustVector(this.used, task, 1)
  }

  removeUse (task: TaskSpec): void {
    adjustVector(this.used, task, -1)
  }

  addJob (job: JobRecord): void {
    const parts = new Map<number, QueuedTaskGroup>()
    for (let i = 0; i < job.spec.tasks.length; i++) {
      const task = job.spec.tasks[i]!
      const id = computeDemandClass(task.demand)
      let part = parts.get(id)
      if (part === undefined) {
        part = this.createPart(job, id)
        parts.set(id, part)
      }
      part.add(i)
      job.queuedWorkMs += job.expectedMs[i]!
      adjustVector(this.queuedDemand, task, 1)
    }
    this.queued += job.spec.tasks.length
    const list = [...parts.values()]
    for (const part of list) part.sort()
    this.parts.set(job, list)
    this.updateOrder(job)
  }

  /** Puts a task back whose attempt ended without a result. */
  requeueTask (job: JobRecord, index: number): void {
    const id = computeDemandClass(job.spec.tasks[index]!.demand)
    const list = this.parts.get(job) ?? []
    let part = list.find(candidate => candidate.demandClass.id === id)
    if (part === undefined) {
      part = this.createPart(job, id)
      list.push(part)
      this.parts.set(job, list)
    }
    part.requeueTask(index)
    job.queuedWorkMs += job.expectedMs[index]!
    adjustVector(this.queuedDemand, job.spec.tasks[index]!, 1)
    this.queued++
    this.updateOrder(job)
  }

  /**
   * Finds the part whose first task is next: among the classes that are not blocked, the one
   * whose first job has the least remaining work.
   */
  findNextGroup (round: number): QueuedTaskGroup | undefined {
    let best: QueuedTaskGroup | undefined
    for (const demandClass of this.classes.values()) {
      if (demandClass.isPlanBlocked || demandClass.skippedInRound === round) continue
      const part = demandClass.groups.getFirst()
      if (part !== undefined && (best === undefined || part.heapKey < best.heapKey)) best = part
    }
    return best
  }

  /**
   * Takes the first task of a part out of the order. It stays counted as queued until
   * `finishQueued`, since it may still wait at a busy target.
   */
  takeFirst (part: QueuedTaskGroup): number {
    const index = part.takeFirst()
    if (part.isEmpty()) this.removePart(part)
    return index
  }

  /** Counts a taken task as no longer queued. */
  markDequeued (job: JobRecord, index: number): void {
    adjustVector(this.queuedDemand, job.spec.tasks[index]!, -1)
    this.queued--
    job.queuedWorkMs -= job.expectedMs[index]!
    this.updateOrder(job)
  }

  /**
   * Drops the queued tasks of a job, except those bound to a target.
   *
   * @returns how many tasks were dropped
   */
  removeJob (job: JobRecord): number {
    const list = this.parts.get(job)
    if (list === undefined) return 0
    let count = 0
    for (const part of list) {
      for (const index of part.list()) {
        adjustVector(this.queuedDemand, job.spec.tasks[index]!, -1)
        count++
      }
      part.demandClass.groups.remove(part)
      if (part.demandClass.groups.size === 0) this.classes.delete(part.demandClass.id)
    }
    this.queued -= count
    this.parts.delete(job)
    return count
  }

  /** @returns indexes of the queued tasks of a job, except those bound to a target */
  listQueued (job: JobRecord): readonly number[] {
    return (this.parts.get(job) ?? []).flatMap(part => part.list())
  }

  /** @returns true when the plan blocks every class, so that only free units change anything */
  isPlanBlocked (): boolean {
    for (const demandClass of this.classes.values()) if (!demandClass.isPlanBlocked) return false
    return true
  }

  clearPlanBlocks (): void {
    for (const demandClass of this.classes.values()) demandClass.isPlanBlocked = false
  }

  private createPart (job: JobRecord, id: number): QueuedTaskGroup {
    let demandClass = this.classes.get(id)
    if (demandClass === undefined) {
      demandClass = new DemandClass(id)
      this.classes.set(id, demandClass)
    }
    const part = new QueuedTaskGroup(job, demandClass)
    demandClass.groups.add(part, 0)
    return part
  }

  private removePart (part: QueuedTaskGroup): void {
    const list = this.parts.get(part.job)!
    list.splice(list.indexOf(part), 1)
    if (list.length === 0) this.parts.delete(part.job)
    part.demandClass.groups.remove(part)
    if (part.demandClass.groups.size === 0) this.classes.delete(part.demandClass.id)
  }

  private updateOrder (job: JobRecord): void {
    // All jobs age at the same rate, so their order does not depend on the present time.
    const key = job.queuedWorkMs + ageingRate * job.submittedAt
    for (const part of this.parts.get(job) ?? []) part.demandClass.groups.update(part, key)
  }
}
