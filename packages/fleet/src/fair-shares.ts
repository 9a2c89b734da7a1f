import { SliceWindow, type WindowSlice } from './slice-window.js'

/** Length in milliseconds of the window over which started and offered work are compared. */
const windowMs = 2_000

/** Length in milliseconds of a slice of the window. */
const sliceMs = 100

/** Number of slices of the window. */
const sliceCount = windowMs / sliceMs

/** Fraction of the ratio of all queues below which a queue's ratio of started to offered work puts it first, unless another one is given. */
const defaultFraction = 0.5

/** Queues of a service that are kept; the work of further ones is not compared. */
const maxQueues = 64

/** Work of one queue in one slice, in milliseconds times thousandths of a core. */
interface Slice extends WindowSlice {
  offered: number
  started: number
}

/** Work of one queue over the window, in milliseconds times thousandths of a core. */
export interface QueueWork {
  readonly queue: string
  readonly offered: number
  readonly started: number
}

class WorkWindow {
  readonly #window = new SliceWindow<Slice>(sliceMs, sliceCount, index => ({ index, offered: 0, started: 0 }), slice => {
    this.offered -= slice.offered
    this.started -= slice.started
  })

  offered = 0
  started = 0

  add (offered: number, started: number, now: number): void {
    const slice = this.#window.findCurrent(now)
    slice.offered += offered
    slice.started += started
    this.offered += offered
    this.started += started
  }

  /** Drops the slices that have left the window. */
  expire (now: number): void {
    this.#window.expire(now)
  }

  get isEmpty (): boolean { return this.#window.slices.length === 0 }
}

/** @returns a new list in which the jobs that go first stand before the others; both keep their order */
export function moveFirst<J> (sorted: readonly J[], goesFirst: (job: J) => boolean): J[] {
  const first: J[] = []
  const others: J[] = []
  for (const job of sorted) (goesFirst(job) ? first : others).push(job)
  return [...first, ...others]
}

/**
 * Keeps a floor under the share of each queue of one service. Answers the load pattern of more urgent queues that alone
 * offer as much work as the targets can do: by priority only, the jobs of the others would never start.
 *
 * Work is run time times processors, so that wide jobs are not worse off than narrow ones. Only the order of waiting
 * jobs changes, so no capacity is left idle. A new dispatcher begins with an empty window.
 *
 * It costs more answers than it brings unless an operator wants the floor, so that it is off by default, see
 * docs/design/contention.md.
 */
export class FairShares {
  readonly #queues = new Map<string, WorkWindow>()
  readonly #fraction: number

  constructor (fraction = defaultFraction) {
    this.#fraction = fraction
  }

  /** @returns whether no queue has work in the window */
  get isEmpty (): boolean { return this.#queues.size === 0 }

  listQueues (): readonly QueueWork[] {
    return [...this.#queues].map(([queue, { offered, started }]) => ({ queue, offered, started }))
  }

  /**
   * Records the work of a job that was submitted.
   *
   * @param queue - key of the job's queue
   * @param work - in milliseconds times thousandths of a core
   * @param now - monotonic time in milliseconds
   */
  recordOffered (queue: string, work: number, now: number): void {
    this.#find(queue)?.add(work, 0, now)
  }

  /**
   * Records the work of a task that was started.
   *
   * @param queue - key of the job's queue
   * @param work - in milliseconds times thousandths of a core
   * @param now - monotonic time in milliseconds
   */
  recordStarted (queue: string, work: number, now: number): void {
    this.#find(queue)?.add(0, work, now)
  }

  /** Drops queues without work in the window. */
  expire (now: number): void {
    for (const [queue, work] of this.#queues) {
      work.expire(now)
      if (work.isEmpty) this.#queues.delete(queue)
    }
  }

  /** @returns the queues that are below the floor */
  listBelowFloor (now: number): ReadonlySet<string> {
    let offered = 0
    let started = 0
    for (const work of this.#queues.values()) {
      work.expire(now)
      offered += work.offered
      started += work.started
    }
    const below = new Set<string>()
    if (this.#queues.size < 2 || offered <= 0) return below
    const floor = this.#fraction * started / offered
    for (const [queue, work] of this.#queues) if (work.offered > 0 && work.started / work.offered < floor) below.add(queue)
    return below
  }

  #find (queue: string): WorkWindow | undefined {
    let work = this.#queues.get(queue)
    if (work === undefined && this.#queues.size < maxQueues) {
      work = new WorkWindow()
      this.#queues.set(queue, work)
    }
    return work
  }
}
