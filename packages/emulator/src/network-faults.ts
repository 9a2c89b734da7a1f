import { type EmulatedFleet } from './emulated-fleet.js'
import { storeEndpoint } from './emulated-store.js'
import { pickDomain, pickInstance, pickTarget } from './fault-choice.js'

/** Faults of the network between instances, targets and store. */
export const networkFaultNames = ['cut-domain', 'cut-instance', 'cut-targets', 'one-way', 'refuse', 'reset-streams', 'store-cut'] as const

/** Further faults of the network, kept apart so that the days of earlier seeds stay as they are. */
export const furtherNetworkFaultNames = ['late-links', 'silent-streams', 'store-refuses'] as const

export type NetworkFaultName = (typeof networkFaultNames)[number] | (typeof furtherNetworkFaultNames)[number]

/** Range in milliseconds of the delay of a full link. */
const minLinkDelayMs = 50
const maxLinkDelayMs = 1_500

/** Causes faults of the network; the end of each leaves the others in force. */
export class NetworkFaults {
  readonly #fleet: EmulatedFleet

  constructor (fleet: EmulatedFleet) {
    this.#fleet = fleet
  }

  /** @returns a function that ends the fault, or undefined when it has no duration or could not be injected */
  inject (name: NetworkFaultName): (() => void) | undefined {
    switch (name) {
      case 'cut-domain': return this.#cutDomain()
      case 'cut-instance': return this.#cutInstance()
      case 'cut-targets': return this.#cutTarget(true)
      case 'one-way': return this.#cutTarget(false)
      case 'refuse': return this.#refuseStreams()
      case 'reset-streams': return this.#resetStreams()
      case 'store-cut': return this.#cutStore()
      case 'late-links': return this.#delayLinks()
      case 'silent-streams': return this.#silenceStreams()
      case 'store-refuses': return this.#refuseAtStore()
    }
  }

  /** Cuts off a group of endpoints from all others. */
  #isolate (inside: readonly string[]): () => void {
    const { network, instances, targets } = this.#fleet
    const outside = [...instances.keys(), ...targets.keys(), storeEndpoint].filter(endpoint => !inside.includes(endpoint))
    return network.partition(inside, outside)
  }

  #cutDomain (): () => void {
    const domain = pickDomain(this.#fleet)
    return this.#isolate([...this.#fleet.listInstances(domain), ...this.#fleet.listTargets(domain).map(target => target.info.id)])
  }

  #cutInstance (): (() => void) | undefined {
    const instance = pickInstance(this.#fleet)
    return instance === undefined ? undefined : this.#isolate([instance])
  }

  /** Cuts the way from a target to all instances, or both ways. */
  #cutTarget (bothWays: boolean): () => void {
    const { network, instances } = this.#fleet
    const { id } = pickTarget(this.#fleet).info
    if (bothWays) return network.partition([id], [...instances.keys()])
    const ends = [...instances.keys()].map(instance => network.cut(id, instance))
    return () => { for (const end of ends) end() }
  }

  /** Separates an instance from the others by a partition that refuses streams; both sides still reach targets and store. */
  #refuseStreams (): (() => void) | undefined {
    const { network, instances } = this.#fleet
    const instance = pickInstance(this.#fleet)
    if (instance === undefined) return undefined
    return network.partition([instance], [...instances.keys()].filter(other => other !== instance), 'refuses')
  }

  #resetStreams (): undefined {
    const instance = pickInstance(this.#fleet)
    if (instance !== undefined) this.#fleet.resetStreams(instance)
  }

  /** Cuts off some of the instances from the store. */
  #cutStore (): () => void {
    const { network, instances, random } = this.#fleet
    return network.partition([...instances.keys()].filter(() => random.drawBoolean(0.4)), [storeEndpoint])
  }

  /** Fills the link of an instance in one direction or in both, each with a delay of its own. */
  #delayLinks (): (() => void) | undefined {
    const { instances, targets, random } = this.#fleet
    const instance = pickInstance(this.#fleet)
    if (instance === undefined) return undefined
    const others = [...instances.keys(), ...targets.keys(), storeEndpoint].filter(other => other !== instance)
    const direction = random.pick(['out', 'in', 'both'] as const)
    const ends: Array<() => void> = []
    if (direction !== 'in') ends.push(...this.#delayAll(others.map(other => [instance, other])))
    if (direction !== 'out') ends.push(...this.#delayAll(others.map(other => [other, instance])))
    return () => { for (const end of ends) end() }
  }

  #delayAll (directions: ReadonlyArray<readonly [string, string]>): ReadonlyArray<() => void> {
    const { network, random } = this.#fleet
    const ms = random.pickInteger(minLinkDelayMs, maxLinkDelayMs)
    return directions.map(([from, to]) => network.delay(from, to, ms))
  }

  #silenceStreams (): undefined {
    const instance = pickInstance(this.#fleet)
    if (instance !== undefined) this.#fleet.silenceStreams(instance)
  }

  /** Lets the store turn some of the instances away. */
  #refuseAtStore (): () => void {
    const { store, instances, random } = this.#fleet
    const endpoints = [...instances.keys()].filter(() => random.drawBoolean(0.4))
    for (const endpoint of endpoints) store.turnedAway.add(endpoint)
    return () => { for (const endpoint of endpoints) store.turnedAway.delete(endpoint) }
  }
}
