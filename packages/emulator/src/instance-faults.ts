import { type EmulatedFleet } from './emulated-fleet.js'
import { pickDomain, pickInstance } from './fault-choice.js'
import { RollingRestart } from './rolling-restart.js'
import { TakeoverSeries } from './takeover-series.js'

/** Faults of the instances themselves. */
export const instanceFaultNames = ['kill', 'power-loss', 'outage', 'outage-domain', 'stop', 'pause', 'slow-instance', 'takeover-series'] as const

/** Further faults of the instances, kept apart so that the days of earlier seeds stay as they are. */
export const furtherInstanceFaultNames = ['rolling-restart', 'slow-fleet', 'suspend', 'reset-callers'] as const

/** Breaks the connections of callers without notice to their instance; no product can then tell that the caller has left. */
export const unnoticedFaultNames = ['lose-callers'] as const

export type InstanceFaultName = (typeof instanceFaultNames)[number] | (typeof furtherInstanceFaultNames)[number] | (typeof unnoticedFaultNames)[number]

/** Range in milliseconds of the time after which an instance starts again in an outage of many. */
const minOutageMs = 300
const maxOutageMs = 1_200

/** Range in milliseconds of the longest stall of a slow instance. */
const minStallMs = 50
const maxStallMs = 300

/** Range in milliseconds of the time for which a machine is suspended. */
const minSuspensionMs = 200
const maxSuspensionMs = 1_200

/** Longest time in milliseconds from the start of a fault until the connections of callers are reset. */
const maxResetDelayMs = 500

/** Causes faults of randomly picked instances. */
export class InstanceFaults {
  readonly #fleet: EmulatedFleet

  constructor (fleet: EmulatedFleet) {
    this.#fleet = fleet
  }

  /** @returns a function that ends the fault, or undefined when it has no duration or could not be injected */
  inject (name: InstanceFaultName): (() => void) | undefined {
    if (name === 'takeover-series') return new TakeoverSeries(this.#fleet).start()
    if (name === 'rolling-restart') return new RollingRestart(this.#fleet).start()
    if (name === 'slow-fleet') return this.#slowFleet()
    const instance = pickInstance(this.#fleet)
    if (instance === undefined) return undefined
    switch (name) {
      case 'kill': return this.#killInstance(instance)
      case 'power-loss': return this.#powerOffInstance(instance)
      case 'outage': return this.#endInstances([...this.#fleet.instances.keys()])
      case 'outage-domain': return this.#endInstances(this.#fleet.listInstances(pickDomain(this.#fleet)))
      case 'stop': return this.#stopInstance(instance)
      case 'pause': return this.#fleet.instances.get(instance)!.process.pause()
      case 'slow-instance': return this.#slowInstance(instance)
      case 'suspend': return this.#suspendInstance(instance)
      case 'reset-callers': return this.#resetCallers(instance)
      case 'lose-callers': this.#fleet.instances.get(instance)!.process.loseCallers(); return undefined
    }
  }

  #killInstance (instance: string): () => void {
    const { domain } = this.#fleet.instances.get(instance)!.entry
    this.#fleet.killInstance(instance)
    return () => { this.#startInstance(instance, domain) }
  }

  #powerOffInstance (instance: string): () => void {
    const { domain } = this.#fleet.instances.get(instance)!.entry
    this.#fleet.powerOffInstance(instance)
    return () => { this.#startInstance(instance, domain) }
  }

  /** Ends instances at once; each starts again by itself, so that the fault has no duration. */
  #endInstances (instances: readonly string[]): undefined {
    for (const instance of instances) {
      const start = this.#killInstance(instance)
      this.#fleet.clock.startTimer(this.#fleet.random.pickInteger(minOutageMs, maxOutageMs), start)
    }
  }

  #stopInstance (instance: string): () => void {
    const parts = this.#fleet.instances.get(instance)!
    parts.process.receive(() => { parts.election.leave().catch(() => {}) })
    return () => {
      if (this.#fleet.instances.get(instance) !== parts) return
      if (!parts.process.isPaused) parts.owner.endAllJobs('the instance stops')
      this.#fleet.killInstance(instance)
      this.#fleet.startInstance(instance, parts.entry.domain)
    }
  }

  #slowInstance (instance: string): () => void {
    const { process } = this.#fleet.instances.get(instance)!
    process.setSlowness(this.#fleet.random.pickInteger(minStallMs, maxStallMs))
    return () => { process.setSlowness(0) }
  }

  /** Suspends an instance's machine, mostly for less than a lease, so that runs outlive it. */
  #suspendInstance (instance: string): undefined {
    const end = this.#fleet.instances.get(instance)!.process.suspend()
    this.#fleet.clock.startTimer(this.#fleet.random.pickInteger(minSuspensionMs, maxSuspensionMs), end)
  }

  /** Resets the connections of an instance's callers, in half of the cases shortly after those to the other instances have fallen silent. */
  #resetCallers (instance: string): undefined {
    const { clock, instances, random } = this.#fleet
    const { process } = instances.get(instance)!
    if (random.drawBoolean(0.5)) this.#fleet.silenceStreams(instance)
    clock.startTimer(random.pickInteger(0, maxResetDelayMs), () => { process.resetCallers() })
  }

  #slowFleet (): () => void {
    const ends = [...this.#fleet.instances.keys()].map(instance => this.#slowInstance(instance))
    return () => { for (const end of ends) end() }
  }

  /** Starts an instance unless another fault's end has done so. */
  #startInstance (instance: string, domain: string): void {
    if (!this.#fleet.instances.has(instance)) this.#fleet.startInstance(instance, domain)
  }
}
