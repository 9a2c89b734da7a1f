import { type EmulatedFleet, type EmulatedInstance } from './emulated-fleet.js'

/** Range in milliseconds of the time from the request to stop until the process ends. */
const minLeaveMs = 200
const maxLeaveMs = 1_500

/** Range in milliseconds of the time from the end of one process until the next one is asked to stop. */
const minIntervalMs = 50
const maxIntervalMs = 800

/** Stops and starts all instances one after the other; each hands its dispatchers over first. */
export class RollingRestart {
  readonly #fleet: EmulatedFleet
  #remaining: readonly string[]
  #isStopped = false

  constructor (fleet: EmulatedFleet) {
    this.#fleet = fleet
    this.#remaining = [...fleet.instances.keys()]
  }

  /** Starts the series. @returns a function that ends it after the restart that is under way */
  start (): () => void {
    this.#stopNext()
    return () => { this.#isStopped = true }
  }

  #stopNext (): void {
    const { clock, instances, random } = this.#fleet
    const [next, ...rest] = this.#remaining
    this.#remaining = rest
    if (this.#isStopped || next === undefined) return
    const parts = instances.get(next)
    if (parts === undefined) {
      this.#stopNext()
      return
    }
    parts.process.receive(() => { parts.election.leave().catch(() => {}) })
    clock.startTimer(random.pickInteger(minLeaveMs, maxLeaveMs), () => { this.#restart(parts) })
  }

  #restart (parts: EmulatedInstance): void {
    const { clock, instances, random } = this.#fleet
    const { instance, domain } = parts.entry
    if (instances.get(instance) === parts) {
      if (!parts.process.isPaused) parts.owner.endAllJobs('the instance stops')
      this.#fleet.killInstance(instance)
      this.#fleet.startInstance(instance, domain)
    }
    clock.startTimer(random.pickInteger(minIntervalMs, maxIntervalMs), () => { this.#stopNext() })
  }
}
