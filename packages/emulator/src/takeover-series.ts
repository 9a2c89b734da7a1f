import { type EmulatedFleet } from './emulated-fleet.js'
import { storeEndpoint } from './emulated-store.js'
import { pickDomain } from './fault-choice.js'

/** Number of takeovers that one series causes. */
const minTakeovers = 2
const maxTakeovers = 4

/** Range in milliseconds of the time between two of them. */
const minIntervalMs = 200
const maxIntervalMs = 1_500

/** Range in milliseconds of the time after which an ended instance starts again. */
const minRestartMs = 300
const maxRestartMs = 3_000

/** Ends or cuts off the dispatcher of one failure domain, and then its successors. */
export class TakeoverSeries {
  readonly #fleet: EmulatedFleet
  readonly #domain: string
  readonly #endsOfCuts: Array<() => void> = []
  #remaining: number
  #isStopped = false

  constructor (fleet: EmulatedFleet) {
    this.#fleet = fleet
    this.#domain = pickDomain(fleet)
    this.#remaining = fleet.random.pickInteger(minTakeovers, maxTakeovers)
  }

  /** Starts the series. @returns a function that stops it and ends its cuts */
  start (): () => void {
    this.#disturbDispatcher()
    return () => {
      this.#isStopped = true
      for (const end of this.#endsOfCuts) end()
    }
  }

  #disturbDispatcher (): void {
    if (this.#isStopped || this.#remaining === 0) return
    this.#remaining--
    const { clock, random } = this.#fleet
    const instance = this.#fleet.findDispatchingInstance(this.#domain)
    if (instance !== undefined) {
      if (random.drawBoolean(0.5)) this.#killInstance(instance)
      else this.#cutInstance(instance)
    }
    clock.startTimer(random.pickInteger(minIntervalMs, maxIntervalMs), () => { this.#disturbDispatcher() })
  }

  #killInstance (instance: string): void {
    const { clock, instances, random } = this.#fleet
    const { domain } = instances.get(instance)!.entry
    this.#fleet.killInstance(instance)
    clock.startTimer(random.pickInteger(minRestartMs, maxRestartMs), () => { if (!instances.has(instance)) this.#fleet.startInstance(instance, domain) })
  }

  /** Cuts off the dispatcher from the other instances and the store, in half of the cases from the targets too. */
  #cutInstance (instance: string): void {
    const { network, instances, targets, random } = this.#fleet
    const others = [...instances.keys()].filter(other => other !== instance)
    const cutTargets = random.drawBoolean(0.5) ? [...targets.keys()] : []
    this.#endsOfCuts.push(network.partition([instance], [...others, storeEndpoint, ...cutTargets]))
  }
}
