import { computeDominantShare, type ResourceVector, type TaskSpec, zeroResources } from '@sesamereel/state'
import { computeDemandClass, DemandClass, QueuedTaskGroup } from './demand-class.js'
import { type HeapEntry } from './indexed-heap.js'
import { type JobRecord } from './job-record.js'

/**
 * Milliseconds of remaining work that one millisecond of waiting makes up for when jobs are ordered.
 * With 100, smaller jobs can overtake a job for about as long as its work takes on 100 slots.
 */
const ageingRate = 100

type MutableVector = { -readonly [K in keyof ResourceVector]: ResourceVector[K] }

function adjustVector (vector: MutableVector, task: TaskSpec, sign: 1 | -1): void {
  vector.processors += sign * task.demand.processors
  vector.memoryMb += sign * task.demand.memoryMb
  vector.accelerators += sign * task.demand.accelerators
  vector.parallel += sign
}

/** Queued tasks and resource usage of one customer. Its heap key is the customer's dominant share. */
export class CustomerQueue implements HeapEntry {
  heapKey = 0
  heapIndex = -1
  /** Number of queued tasks, including those bound to a busy target. */
  queued = 0
  limit: ResourceVector = zeroResources
  /**
   * Time since which no task of the customer has been running and the next one has needed more
   * plan units than this instance's own share, undefined when that is not the case.
   */
  blockedByShareSince: number | undefined
  private readonly classesById = new Map<number, DemandClass>()
  private readonly groupsByJob = new Map<JobRecord, QueuedTaskGroup[]>()
  private readonly used: MutableVector = { ...zeroResources }
  private readonly queuedDemand: MutableVector = { ...zeroResources }

  constructor (readonly customer: string) {}

  /** @returns the largest ratio of usage to limit over all resource dimensions */
  computeDominantShare (): number {
    return computeDominantShare(this.used, this.limit)
  }

  /** @returns the sum of the demands of all queued tasks, with `parallel` as their number */
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
    const groupsByClass = new Map<number, QueuedTaskGroup>()
    for (let i = 0; i < job.spec.tasks.length; i++) {
      const task = job.spec.tasks[i]!
      const classId = computeDemandClass(task.demand)
      let group = groupsByClass.get(classId)
      if (group === undefined) {
        group = this.createGroup(job, classId)
        groupsByClass.set(classId, group)
      }
      group.add(i)
      job.queuedWorkMs += job.expectedMs[i]!
      adjustVector(this.queuedDemand, task, 1)
    }
    this.queued += job.spec.tasks.length
    const groups = [...groupsByClass.values()]
    for (const group of groups) group.sort()
    this.groupsByJob.set(job, groups)
    this.updateJobOrder(job)
  }

  /** Returns a task to the queue, for instance after an attempt that has to be repeated. */
  requeueTask (job: JobRecord, index: number): void {
    const classId = computeDemandClass(job.spec.tasks[index]!.demand)
    const groups = this.groupsByJob.get(job) ?? []
    let group = groups.find(candidate => candidate.demandClass.id === classId)
    if (group === undefined) {
      group = this.createGroup(job, classId)
      groups.push(group)
      this.groupsByJob.set(job, groups)
    }
    group.requeueTask(index)
    job.queuedWorkMs += job.expectedMs[index]!
    adjustVector(this.queuedDemand, job.spec.tasks[index]!, 1)
    this.queued++
    this.updateJobOrder(job)
  }

  /**
   * Finds the group whose first task is next: the one with the lowest key among the first groups
   * of all classes that are neither blocked by the plan nor skipped in this round.
   */
  findNextGroup (round: number): QueuedTaskGroup | undefined {
    let best: QueuedTaskGroup | undefined
    for (const demandClass of this.classesById.values()) {
      if (demandClass.isPlanBlocked || demandClass.skippedInRound === round) continue
      const group = demandClass.groups.getFirst()
      if (group !== undefined && (best === undefined || group.heapKey < best.heapKey)) best = group
    }
    return best
  }

  /**
   * Removes the first task of a group. It still counts as queued until `markDequeued` is called,
   * since it may wait at a busy target.
   *
   * @returns the index of the task in its job
   */
  takeFirst (group: QueuedTaskGroup): number {
    const index = group.takeFirst()
    if (group.isEmpty()) this.removeGroup(group)
    return index
  }

  /** Stops counting a task as queued after `takeFirst` has removed it. */
  markDequeued (job: JobRecord, index: number): void {
    adjustVector(this.queuedDemand, job.spec.tasks[index]!, -1)
    this.queued--
    job.queuedWorkMs -= job.expectedMs[index]!
    this.updateJobOrder(job)
  }

  /**
   * Removes the queued tasks of a job, except those bound to a target.
   *
   * @returns the number of removed tasks
   */
  removeJob (job: JobRecord): number {
    const groups = this.groupsByJob.get(job)
    if (groups === undefined) return 0
    let count = 0
    for (const group of groups) {
      for (const index of group.list()) {
        adjustVector(this.queuedDemand, job.spec.tasks[index]!, -1)
        count++
      }
      group.demandClass.groups.remove(group)
      if (group.demandClass.groups.size === 0) this.classesById.delete(group.demandClass.id)
    }
    this.queued -= count
    this.groupsByJob.delete(job)
    return count
  }

  /** @returns the indexes of the queued tasks of a job, except those bound to a target */
  listQueued (job: JobRecord): readonly number[] {
    return (this.groupsByJob.get(job) ?? []).flatMap(group => group.list())
  }

  /** @returns true when the plan blocks every class, so that nothing can start until plan units become free */
  isPlanBlocked (): boolean {
    for (const demandClass of this.classesById.values()) if (!demandClass.isPlanBlocked) return false
    return true
  }

  clearPlanBlocks (): void {
    for (const demandClass of this.classesById.values()) demandClass.isPlanBlocked = false
  }

  private createGroup (job: JobRecord, classId: number): QueuedTaskGroup {
    let demandClass = this.classesById.get(classId)
    if (demandClass === undefined) {
      demandClass = new DemandClass(classId)
      this.classesById.set(classId, demandClass)
    }
    const group = new QueuedTaskGroup(job, demandClass)
    demandClass.groups.add(group, 0)
    return group
  }

  private removeGroup (group: QueuedTaskGroup): void {
    const groups = this.groupsByJob.get(group.job)!
    groups.splice(groups.indexOf(group), 1)
    if (groups.length === 0) this.groupsByJob.delete(group.job)
    group.demandClass.groups.remove(group)
    if (group.demandClass.groups.size === 0) this.classesById.delete(group.demandClass.id)
  }

  private updateJobOrder (job: JobRecord): void {
    // All jobs age at the same rate, so their order does not change as time passes.
    const key = job.queuedWorkMs + ageingRate * job.submittedAt
    for (const group of this.groupsByJob.get(job) ?? []) group.demandClass.groups.update(group, key)
  }
}
