/** Time in milliseconds for which an unclaimed run or end is kept after the adoption window. */
const claimWindowMs = 300

/**
 * Runs, and ends of runs, that targets list although their jobs are not known: after a takeover the
 * owners may still resubmit the jobs. Runs that are not claimed in time are to be stopped.
 */
export class UnclaimedRuns {
  /** Monotonic time in milliseconds at which each run was first checked after the adoption window; 0 until then. */
  readonly #running = new Map<string, number>()
  /** Tasks that ended with `done`. */
  readonly #done = new Set<string>()
  readonly #adoptionEndsAt: number

  /** @param adoptionEndsAt - end of the adoption window, in monotonic milliseconds */
  constructor (adoptionEndsAt: number) {
    this.#adoptionEndsAt = adoptionEndsAt
  }

  add (task: string): void {
    this.#running.set(task, 0)
  }

  addDone (task: string): void {
    this.#done.add(task)
  }

  /** @returns whether the task ended with `done` before its job was submitted here; the entry is removed */
  takeDone (task: string): boolean {
    return this.#done.delete(task)
  }

  has (task: string): boolean {
    return this.#running.has(task)
  }

  remove (task: string): void {
    this.#running.delete(task)
  }

  /** @returns the running tasks whose jobs were not submitted in time; their entries are removed */
  takeExpired (now: number): readonly string[] {
    if (now < this.#adoptionEndsAt) return []
    if (now > this.#adoptionEndsAt + claimWindowMs) this.#done.clear()
    const unclaimed: string[] = []
    for (const [task, since] of this.#running) {
      if (since === 0) this.#running.set(task, now)
      else if (now - since < claimWindowMs) continue
      else unclaimed.push(task)
    }
    for (const task of unclaimed) this.#running.delete(task)
    return unclaimed
  }
}
