import { type ResourceVector } from '@sesamereel/state'
import { CustomerQueue } from './customer-queue.js'
import { type JobPart } from './demand-class.js'
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

  get (customer: string): CustomerQueue | undefined {
    return this.customers.get(customer)
  }

  list (): Iterable<CustomerQueue> {
    return this.customers.values()
  }

  /** Sets the limits that shares are measured against. */
  applyLimits (findLimit: (customer: string) => ResourceVector): void {
    for (const queue of this.customers.values()) {
      queue.limit = findLimit(queue.customer)
      this.updateShare(queue)
      this.clearPlanBlocks(queue.customer)
    }
  }

  addJob (job: JobRecord, limit: ResourceVector): void {
    let queue = this.customers.get(job.spec.customer)
    if (queue === undefined) {
      queue = new CustomerQueue(job.spec.customer)
      queue.limit = limit
      this.customers.set(job.spec.customer, queue)
    }
    queue.addJob(job)
    this.activate(queue)
  }

  addAgain (task: TaskRef): void {
    const queue = this.customers.get(task.job.spec.customer)!
    queue.addAgain(task.job, task.index)
    this.activate(queue)
  }

  /** @returns how many tasks were dropped */
  removeJob (job: JobRecord): number {
    return this.customers.get(job.spec.customer)?.removeJob(job) ?? 0
  }

  /** Starts a new round: classes that were skipped for lack of targets are tried again. */
  beginRound (): void {
    this.round++
    const parked = this.parked
    this.parked = []
    for (const queue of parked) this.activate(queue)
  }

  /** @returns the part whose first task is next, or undefined when no task can start */
  findFirst (): { queue: CustomerQueue, part: JobPart } | undefined {
    for (;;) {
      const queue = this.active.getFirst()
      if (queue === undefined) return undefined
      const part = queue.findFirst(this.round)
      if (part !== undefined) return { queue, part }
      this.active.remove(queue)
      if (queue.queued > 0) this.parked.push(queue)
      else this.removeIfIdle(queue)
    }
  }

  /** Skips the class of a part until the next round. */
  skipForRound (part: JobPart): void {
    part.demandClass.skippedRound = this.round
  }

  /** Skips the class of a part until units of the customer's plan become free. */
  skipForPlan (part: JobPart): void {
    part.demandClass.isPlanBlocked = true
  }

  clearPlanBlocks (customer: string): void {
    const queue = this.customers.get(customer)
    if (queue === undefined) return
    queue.clearPlanBlocks()
    this.activate(queue)
  }

  /** Notes that a taken task starts. */
  noteStart (queue: CustomerQueue, task: TaskRef): void {
    queue.finishQueued(task.job, task.index)
    queue.addUse(task.job.spec.tasks[task.index]!)
    this.updateShare(queue)
  }

  /** Notes that an attempt ended and its units are free. */
  noteEnd (task: TaskRef): void {
    const queue = this.customers.get(task.job.spec.customer)
    if (queue === undefined) return
    queue.removeUse(task.job.spec.tasks[task.index]!)
    this.updateShare(queue)
    this.clearPlanBlocks(queue.customer)
    this.removeIfIdle(queue)
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

  private activate (queue: CustomerQueue): void {
    if (queue.queued > 0 && !this.active.has(queue)) this.active.add(queue, queue.computeShare())
  }

  private updateShare (queue: CustomerQueue): void {
    if (this.active.has(queue)) this.active.update(queue, queue.computeShare())
  }

  private removeIfIdle (queue: CustomerQueue): void {
    if (!queue.isIdle()) return
    if (this.active.has(queue)) this.active.remove(queue)
    this.customers.delete(queue.customer)
  }
}
