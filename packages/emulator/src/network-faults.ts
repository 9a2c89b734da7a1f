import { type EmulatedFleet } from './emulated-fleet.js'
import { storeEndpoint } from './emulated-store.js'
import { pickDomain, pickInstance, pickTarget } from './fault-choice.js'

/** Faults of the network between instances, targets and store. */
export const networkFaultNames = ['cut-domain', 'cut-instance', 'cut-targets', 'one-way', 'refuse', 'reset-streams', 'store-cut'] as const

export type NetworkFaultName = (typeof networkFaultNames)[number]

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
}
