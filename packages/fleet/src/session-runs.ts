import { type Demand } from '@sesamereel/state'
import { ReservedCapacity } from './reserved-capacity.js'
import { formatRunKey, type Run } from './run.js'

/** Number of ended runs that are remembered, so that an older view that arrives late does not make them look new. */
const maxRememberedEnds = 256

/** The runs at one target, the capacity that they reserve, and the runs that ended last. */
export class SessionRuns {
  readonly #runs = new Map<string, Run>()
  readonly #reserved = new ReservedCapacity()
  /** Keys of the most recently ended runs, in the order of their ends. */
  readonly #recentlyEndedKeys = new Set<string>()
  /** Number of runs whose start orders were not answered. */
  #unansweredCount = 0
  /** Number of runs whose demand is not known. */
  #unknownDemandCount = 0

  /** The runs by their keys. */
  get byKey (): ReadonlyMap<string, Run> { return this.#runs }

  /** @returns whether the capacity that the runs take is known, and whether they exist */
  get areCertain (): boolean {
    return this.#unknownDemandCount === 0 && this.#unansweredCount === 0
  }

  find (task: string, attempt: number): Run | undefined {
    return this.#runs.get(formatRunKey(task, attempt))
  }

  /** Adds a run and reserves the capacity that it demands, if that is known. */
  add (run: Run): void {
    this.#runs.set(formatRunKey(run.task, run.attempt), run)
    if (run.demand === undefined) this.#unknownDemandCount++
    else this.#reserved.add(run.demand)
  }

  /** Removes a run and releases its capacity. */
  remove (run: Run): void {
    if (!this.#runs.delete(formatRunKey(run.task, run.attempt))) return
    if (run.unanswered) this.#unansweredCount--
    if (run.demand === undefined) this.#unknownDemandCount--
    else this.#reserved.release(run.demand)
  }

  /** @returns whether this very run is still there */
  has (run: Run): boolean {
    return this.find(run.task, run.attempt) === run
  }

  /** Sets the demand of a run for which it was not known, and reserves the capacity. */
  setDemand (run: Run, demand: Demand): void {
    if (run.demand !== undefined) return
    run.demand = demand
    this.#unknownDemandCount--
    this.#reserved.add(demand)
  }

  /** Records that the start order of a run was not answered. */
  markUnanswered (run: Run): void {
    if (!run.unanswered) this.#unansweredCount++
    run.unanswered = true
  }

  /** Records that the target has a run. */
  markAccepted (run: Run, now: number): void {
    run.acceptedAt ??= now
    if (run.unanswered) this.#unansweredCount--
    run.unanswered = false
  }

  /** @returns the given capacity less what the runs reserve */
  computeFree (capacity: Demand): Demand {
    return this.#reserved.computeFree(capacity)
  }

  rememberEnd (key: string): void {
    this.#recentlyEndedKeys.add(key)
    if (this.#recentlyEndedKeys.size <= maxRememberedEnds) return
    const [oldest] = this.#recentlyEndedKeys
    this.#recentlyEndedKeys.delete(oldest!)
  }

  hasEndedRecently (key: string): boolean {
    return this.#recentlyEndedKeys.has(key)
  }

  /** Forgets the ended runs, when a new incarnation of the target begins. */
  forgetEnds (): void {
    this.#recentlyEndedKeys.clear()
  }
}
