import { type DispatchedJob, type TaskRecord } from './dispatched-job.js'
import { FairShares, moveFirst, type QueueWork } from './fair-shares.js'
import { sumWaitingWork } from './load-estimates.js'
import { formatQueueKey } from './queue-key.js'
import { classifyUrgency } from './queue-order.js'

/** Services whose queues are compared; those of further ones have no floor. */
const maxServices = 64

/** A queue that went below its floor or is above it again, with its work over the window in milliseconds times thousandths of a core. */
export interface FloorChange extends QueueWork {
  readonly isBelow: boolean
}

/** Puts jobs of queues first that get too small a share of the targets, so that more urgent queues don't starve them. */
export abstract class QueueFloor {
  /** Records a job that was submitted, admitted or not. */
  abstract recordOffered (job: DispatchedJob, now: number): void
  abstract recordStarted (job: DispatchedJob, task: TaskRecord, now: number): void

  /**
   * Moves the jobs of queues below their floor to the front, unless they can be of no use any more.
   *
   * @param sorted - jobs in the order in which they start without a floor
   */
  abstract apply (sorted: DispatchedJob[], now: number, predictRemainingMs: (job: DispatchedJob) => number): DispatchedJob[]

  /** @returns whether the queue of a job was below its floor in the last call of `update` or `apply` */
  abstract isBelow (job: DispatchedJob): boolean

  /** Drops what is outdated; called at regular intervals. Returns what has changed since the last call. */
  abstract update (now: number): readonly FloorChange[]

  /** @returns the queues that are below their floor */
  abstract listBelow (): readonly string[]
}

/** No queue has a floor. */
export class NoQueueFloor extends QueueFloor {
  override recordOffered (): void {}
  override recordStarted (): void {}
  override apply (sorted: DispatchedJob[]): DispatchedJob[] { return sorted }
  override isBelow (): boolean { return false }
  override update (): readonly FloorChange[] { return [] }
  override listBelow (): readonly string[] { return [] }
}

/** Compares the queues of each contended service. */
export class FairQueueFloor extends QueueFloor {
  readonly #fraction: number
  readonly #isContended: (service: string) => boolean
  readonly #shares = new Map<string, FairShares>()
  #below: ReadonlySet<string> = new Set()
  #reported: ReadonlySet<string> = new Set()

  /**
   * @param fraction - a queue goes first while its ratio of started to offered work is below this fraction of the ratio of all
   * @param isContended - whether a service has queues of at least two priorities
   */
  constructor (fraction: number, isContended: (service: string) => boolean) {
    super()
    this.#fraction = fraction
    this.#isContended = isContended
  }

  override recordOffered (job: DispatchedJob, now: number): void {
    this.#findShares(job.spec.service)?.recordOffered(formatQueueKey(job), sumWaitingWork(job), now)
  }

  override recordStarted (job: DispatchedJob, task: TaskRecord, now: number): void {
    const { estimateMs, demand } = job.getStep(task)
    this.#findShares(job.spec.service)?.recordStarted(formatQueueKey(job), estimateMs * demand.processors, now)
  }

  override apply (sorted: DispatchedJob[], now: number, predictRemainingMs: (job: DispatchedJob) => number): DispatchedJob[] {
    this.#compare(now)
    if (this.#below.size === 0) return sorted
    return moveFirst(sorted, job => this.isBelow(job) && classifyUrgency(job, now, predictRemainingMs(job)) !== 'useless')
  }

  override isBelow (job: DispatchedJob): boolean {
    return this.#below.has(formatQueueKey(job))
  }

  override update (now: number): readonly FloorChange[] {
    for (const [service, shares] of this.#shares) {
      shares.expire(now)
      if (shares.isEmpty || !this.#isContended(service)) this.#shares.delete(service)
    }
    this.#compare(now)
    const before = this.#reported
    this.#reported = this.#below
    const work = new Map([...this.#shares.values()].flatMap(shares => shares.listQueues()).map(entry => [entry.queue, entry]))
    return [...new Set([...before, ...this.#below])]
      .filter(queue => before.has(queue) !== this.#below.has(queue))
      .map(queue => ({ ...work.get(queue) ?? { queue, offered: 0, started: 0 }, isBelow: this.#below.has(queue) }))
  }

  override listBelow (): readonly string[] {
    return [...this.#below]
  }

  #compare (now: number): void {
    this.#below = new Set([...this.#shares.values()].flatMap(shares => [...shares.listBelowFloor(now)]))
  }

  #findShares (service: string): FairShares | undefined {
    if (!this.#isContended(service)) return undefined
    let shares = this.#shares.get(service)
    if (shares === undefined && this.#shares.size < maxServices) {
      shares = new FairShares(this.#fraction)
      this.#shares.set(service, shares)
    }
    return shares
  }
}
