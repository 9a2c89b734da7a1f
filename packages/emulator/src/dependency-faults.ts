import { type LateOrders } from './emulated-connector.js'
import { type EmulatedStore } from './emulated-store.js'
import { type EmulatedTarget } from './emulated-target.js'
import { type RandomSource } from './random-source.js'

/** Faults of what the instances depend on: the store and the targets. */
export const dependencyFaultNames = ['store-down', 'store-silent', 'store-loses', 'store-late', 'history', 'crash', 'restart', 'hang', 'fail', 'slow', 'reject', 'late-orders', 'drain'] as const

export type DependencyFaultName = (typeof dependencyFaultNames)[number]

/** The components in which faults are caused, and the source of random choices. */
export interface DependencyFaultOptions {
  readonly store: EmulatedStore
  readonly targets: ReadonlyMap<string, EmulatedTarget>
  readonly lateOrders: LateOrders
  readonly random: RandomSource
  /** Writes the target's entry, with the given `draining` flag, to the store. */
  readonly writeTargetEntry: (target: EmulatedTarget, draining: boolean) => void
}

/** Causes faults of the store and of randomly picked targets. */
export class DependencyFaults {
  readonly #options: DependencyFaultOptions

  constructor (options: DependencyFaultOptions) {
    this.#options = options
  }

  /** @returns a function that ends the fault, or undefined when it has no duration */
  inject (name: DependencyFaultName): (() => void) | undefined {
    const { store, lateOrders, random } = this.#options
    switch (name) {
      case 'store-down': return this.#setStoreFault('down')
      case 'store-silent': return this.#setStoreFault('silent')
      case 'store-loses': return this.#setStoreFault('lose-replies')
      case 'store-late': return this.#setStoreFault('late-writes')
      case 'history': store.compactHistory(); return undefined
      case 'crash': { const target = this.pickTarget(); target.crash(); return () => { target.restart() } }
      case 'restart': this.pickTarget().restart(); return undefined
      case 'hang': return this.#setTargetFault('hangs')
      case 'fail': return this.#setTargetFault('fails')
      case 'reject': return this.#setTargetFault('rejects')
      case 'slow': { const target = this.pickTarget(); target.slowness = random.pickInteger(3, 8); return () => { target.slowness = 1 } }
      case 'late-orders': lateOrders.probability = random.pickInteger(2, 30) / 100; return () => { lateOrders.probability = 0 }
      case 'drain': return this.#drainTarget()
    }
  }

  pickTarget (): EmulatedTarget {
    return this.#options.random.pick([...this.#options.targets.values()])!
  }

  #setStoreFault (fault: EmulatedStore['fault']): () => void {
    const { store } = this.#options
    store.fault = fault
    return () => { store.fault = 'none' }
  }

  #setTargetFault (fault: EmulatedTarget['fault']): () => void {
    const target = this.pickTarget()
    target.fault = fault
    return () => { target.fault = 'none' }
  }

  #drainTarget (): (() => void) | undefined {
    const target = this.pickTarget()
    const { store, writeTargetEntry } = this.#options
    // A target announces that it leaves by a write to the store, which needs the store to be available.
    if (store.fault !== 'none') return undefined
    writeTargetEntry(target, true)
    return () => { writeTargetEntry(target, false) }
  }
}
