import { type ResourceVector } from '@sesamereel/state'
import { CustomerQueue } from './customer-queue.js'
import { type QueuedTaskGroup } from './demand-class.js'
import { IndexedHeap } from './indexed-heap.js'
import { type JobRecord, type TaskRef } from './job-record.js'

/**
 * Orders all queued tasks: the customer with the lowest dominant share first, then the job with
 * the least remaining work, then the longest task. Each start costs a few heap operations.
 */
export class JobQueue {
  private readonly customers = new Map<string, CustomerQueue>()
  /** Customers with a task that may be able to start. */
  private readonly active = new IndexedHeap<CustomerQueue>()
  private parked: CustomerQueue[] = []
  private round = 0

  /**
   * @param findLimit - finds the limit that a customer's share is measured against
   */
  constructor (private readonly findLimit: (customer: string) => ResourceVector) {}

  get (customer: string): CustomerQueue | undefined {
    return this.customers.get(customer)
  }

  list (): Iterable<CustomerQueue> {
    return this.customers.values()
  }

  /** Measures shares against the limits that are now in force. */
  applyLimits (): void {
    for (const queue of this.customers.values()) {
      queue.limit = this.findLimit(queue.customer)
      this.updateShare(queue)
      this.clearPlanBlocks(queue.customer)
    }
  }

  addJob (job: JobRecord): void {
    const queue = this.adopt(job.spec.customer)
    queue.addJob(job)
    this.addActive(queue)
  }

  requeueTask (task: TaskRef): void {
    const queue = this.adopt(task.job.spec.customer)
    queue.requeueTask(task.job, task.index)
    this.addActive(queue)
  }

  /** @returns how many tasks were dropped */
  removeJob (job: JobRecord): number {
    const queue = this.customers.get(job.spec.customer)
    if (queue === undefined) return 0
    const count = queue.removeJob(job)
    if (queue.queued === 0) queue.blockedByShareSince = undefined
    this.removeIfIdle(queue)
    return count
  }

  /** Starts a new round: classes that were skipped for lack of targets are tried again. */
  beginRound (): void {
    this.round++
    const parked = this.parked
    this.parked = []
    for (const queue of parked) this.addActive(queue)
  }

  /** @returns the part whose first task is next, or undefined when no task can start */
  findNext (): { queue: CustomerQueue, part: QueuedTaskGroup } | undefined {
    for (;;) {
      const queue = this.active.getFirst()
      if (queue === undefined) return undefined
      const part = queue.findNextGroup(this.round)
      if (part !== undefined) return { queue, part }
      this.active.remove(queue)
      if (queue.queued === 0) this.removeIfIdle(queue)
      // A customer that the plan blocks becomes active again when units are free.
      else if (!queue.isPlanBlocked()) this.parked.push(queue)
    }
  }

  /** Skips the class of a part until the next round. */
  skipForRound (part: QueuedTaskGroup): void {
    part.demandClass.skippedInRound = this.round
  }

  /**
   * Skips the class of a part until units of the customer's plan become free.
   *
   * @param fitsOwnShare - whether the own share is enough for the task, once it is free
   */
  skipUntilPlanFree (queue: CustomerQueue, part: QueuedTaskGroup, fitsOwnShare: boolean, now: number): void {
    part.demandClass.isPlanBlocked = true
    if (fitsOwnShare) queue.blockedByShareSince = undefined
    else if (queue.getUsed().parallel === 0) queue.blockedByShareSince ??= now
  }

  clearPlanBlocks (customer: string): void {
    const queue = this.customers.get(customer)
    if (queue === undefined) return
    queue.clearPlanBlocks()
    this.addActive(queue)
  }

  /** Notes that a taken task starts. */
  recordStart (queue: CustomerQueue, task: TaskRef): void {
    queue.markDequeued(task.job, task.index)
    queue.blockedByShareSince = undefined
    queue.addUse(task.job.spec.tasks[task.index]!)
    this.updateShare(queue)
  }

  /** Notes that an attempt ended and its units are free. */
  recordEnd (task: TaskRef): void {
    const queue = this.customers.get(task.job.spec.customer)
    if (queue === undefined) return
    queue.removeUse(task.job.spec.tasks[task.index]!)
    this.updateShare(queue)
    this.clearPlanBlocks(queue.customer)
    this.removeIfIdle(queue)
  }

  /** Lists customers with queued tasks that their plan does not block, as far as is known. */
  listStartable (): readonly CustomerQueue[] {
    return [...this.customers.values()].filter(queue => queue.queued > 0 && !queue.isPlanBlocked())
  }

  /** Counts queued tasks of customers that are not blocked, and stops at `most`. */
  countActive (most: number): number {
    let count = 0
    for (const queue of this.active.list()) {
      count += queue.queued
      if (count >= most) return most
    }
    return count
  }

  private adopt (customer: string): CustomerQueue {
    let queue = this.customers.get(customer)
    if (queue === undefined) {
      queue = new CustomerQueue(customer)
      queue.limit = this.findLimit(customer)
      this.customers.set(customer, queue)
    }
    return queue
  }

  private addActive (queue: CustomerQueue): void {
    if (queue.queued > 0 && !this.active.has(queue)) this.active.add(queue, queue.computeDominantShare())
  }

  private updateShare (queue: CustomerQueue): void {
    if (this.active.has(queue)) this.active.update(queue, queue.computeDominantShare())
  }

  private removeIfIdle (queue: CustomerQueue): void {
    if (!queue.isIdle()) return
    if (this.active.has(queue)) this.active.remove(queue)
    this.customers.delete(queue.customer)
  }
}
