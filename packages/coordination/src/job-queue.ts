import { type ResourceVector } from '@sesamereel/state'
import { CustomerQueue } from './customer-queue.js'
import { type QueuedTaskGroup } from './demand-class.js'
import { IndexedHeap } from './indexed-heap.js'
import { type JobRecord, type TaskRef } from './job-record.js'

/**
 * Orders all queued tasks: first by customer, lowest dominant share first; then by job, least
 * remaining work first, adjusted for waiting time; then by task, longest expected run time first.
 * Each start takes a few heap operations.
 */
export class JobQueue {
  private readonly customers = new Map<string, CustomerQueue>()
  /** Customers with queued tasks that may be able to start in this round. */
  private readonly activeCustomers = new IndexedHeap<CustomerQueue>()
  private skippedCustomers: CustomerQueue[] = []
  private round = 0

  /** @param findLimit - returns the plan limit that a customer's dominant share is computed against */
  constructor (private readonly findLimit: (customer: string) => ResourceVector) {}

  get (customer: string): CustomerQueue | undefined {
    return this.customers.get(customer)
  }

  list (): Iterable<CustomerQueue> {
    return this.customers.values()
  }

  /** Recomputes all shares against the limits that are now in force. */
  applyLimits (): void {
    for (const queue of this.customers.values()) {
      queue.limit = this.findLimit(queue.customer)
      this.updateShare(queue)
      this.clearPlanBlocks(queue.customer)
    }
  }

  addJob (job: JobRecord): void {
    const queue = this.getOrCreate(job.spec.customer)
    queue.addJob(job)
    this.addActive(queue)
  }

  requeueTask (task: TaskRef): void {
    const queue = this.getOrCreate(task.job.spec.customer)
    queue.requeueTask(task.job, task.index)
    this.addActive(queue)
  }

  /** @returns the number of removed tasks */
  removeJob (job: JobRecord): number {
    const queue = this.customers.get(job.spec.customer)
    if (queue === undefined) return 0
    const count = queue.removeJob(job)
    if (queue.queued === 0) queue.blockedByShareSince = undefined
    this.removeIfIdle(queue)
    return count
  }

  /** Begins a new dispatch round, in which classes that were skipped for the previous round are tried again. */
  beginRound (): void {
    this.round++
    const skipped = this.skippedCustomers
    this.skippedCustomers = []
    for (const queue of skipped) this.addActive(queue)
  }

  /** @returns the group whose first task is next and its customer's queue, or undefined when no task can start */
  findNext (): { queue: CustomerQueue, group: QueuedTaskGroup } | undefined {
    for (;;) {
      const queue = this.activeCustomers.getFirst()
      if (queue === undefined) return undefined
      const group = queue.findNextGroup(this.round)
      if (group !== undefined) return { queue, group }
      this.activeCustomers.remove(queue)
      if (queue.queued === 0) this.removeIfIdle(queue)
      // A customer whose classes are all blocked by the plan becomes active again when plan units become free.
      else if (!queue.isPlanBlocked()) this.skippedCustomers.push(queue)
    }
  }

  /** Skips the demand class of a group until the next round. */
  skipForRound (group: QueuedTaskGroup): void {
    group.demandClass.skippedInRound = this.round
  }

  /**
   * Skips the demand class of a group until units of the customer's plan become free.
   *
   * @param fitsOwnShare - whether this instance's own share suffices for the task once all of it is free
   */
  skipUntilPlanFree (queue: CustomerQueue, group: QueuedTaskGroup, fitsOwnShare: boolean, now: number): void {
    group.demandClass.isPlanBlocked = true
    if (fitsOwnShare) queue.blockedByShareSince = undefined
    else if (queue.getUsed().parallel === 0) queue.blockedByShareSince ??= now
  }

  clearPlanBlocks (customer: string): void {
    const queue = this.customers.get(customer)
    if (queue === undefined) return
    queue.clearPlanBlocks()
    this.addActive(queue)
  }

  /** Records the start of a task that was taken from the queue. */
  recordStart (queue: CustomerQueue, task: TaskRef): void {
    queue.markDequeued(task.job, task.index)
    queue.blockedByShareSince = undefined
    queue.addUse(task.job.spec.tasks[task.index]!)
    this.updateShare(queue)
  }

  /** Records the end of an attempt, which frees its plan units. */
  recordEnd (task: TaskRef): void {
    const queue = this.customers.get(task.job.spec.customer)
    if (queue === undefined) return
    queue.removeUse(task.job.spec.tasks[task.index]!)
    this.updateShare(queue)
    this.clearPlanBlocks(queue.customer)
    this.removeIfIdle(queue)
  }

  /** Lists customers with queued tasks that are not all known to be blocked by the plan. */
  listStartable (): readonly CustomerQueue[] {
    return [...this.customers.values()].filter(queue => queue.queued > 0 && !queue.isPlanBlocked())
  }

  /** @returns the number of queued tasks of active customers, at most `most` */
  countActive (most: number): number {
    let count = 0
    for (const queue of this.activeCustomers.list()) {
      count += queue.queued
      if (count >= most) return most
    }
    return count
  }

  private getOrCreate (customer: string): CustomerQueue {
    let queue = this.customers.get(customer)
    if (queue === undefined) {
      queue = new CustomerQueue(customer)
      queue.limit = this.findLimit(customer)
      this.customers.set(customer, queue)
    }
    return queue
  }

  private addActive (queue: CustomerQueue): void {
    if (queue.queued > 0 && !this.activeCustomers.has(queue)) this.activeCustomers.add(queue, queue.computeDominantShare())
  }

  private updateShare (queue: CustomerQueue): void {
    if (this.activeCustomers.has(queue)) this.activeCustomers.update(queue, queue.computeDominantShare())
  }

  private removeIfIdle (queue: CustomerQueue): void {
    if (!queue.isIdle()) return
    if (this.activeCustomers.has(queue)) this.activeCustomers.remove(queue)
    this.customers.delete(queue.customer)
  }
}
