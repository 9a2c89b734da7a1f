/** Time in milliseconds for which an unclaimed run or end is kept after the adoption time. */
const claimMs = 300

/**
 * Runs and ends that targets list and whose jobs are not known yet: their owners may still submit
 * them again after a takeover. What nobody claims in time is stopped.
 */
export class UnclaimedRuns {
  readonly #running = new Map<string, number>()
  readonly #done = new Set<string>()
  readonly #adoptUntil: number

  constructor (adoptUntil: number) {
    this.#adoptUntil = adoptUntil
  }

  add (task: string): void {
    this.#running.set(task, 0)
  }

  addDone (task: string): void {
    this.#done.add(task)
  }

  /** @returns whether the task has ended `done` before its job was submitted here; asked once */
  takeDone (task: string): boolean {
    return this.#done.delete(task)
  }

  forget (task: string): void {
    this.#running.delete(task)
  }

  /** @returns tasks whose jobs were not submitted in time, each once */
  takeExpired (now: number): readonly string[] {
    if (now < this.#adoptUntil) return []
    if (now > this.#adoptUntil + claimMs) this.#done.clear()
    const unclaimed: string[] = []
    for (const [task, since] of this.#running) {
      if (since === 0) this.#running.set(task, now)
      else if (now - since < claimMs) continue
      else unclaimed.push(task)
    }
    for (const task of unclaimed) this.#running.delete(task)
    return unclaimed
  }
}
