import { type LateOrders } from './emulated-connector.js'
import { type EmulatedStore } from './emulated-store.js'
import { type EmulatedTarget } from './emulated-target.js'
import { type RandomSource } from './random-source.js'

/** Faults of the store and of targets. */
export const dependencyFaultNames = ['store-down', 'store-silent', 'store-loses', 'store-late', 'history', 'crash', 'restart', 'hang', 'fail', 'slow', 'reject', 'late-orders', 'drain'] as const

export type DependencyFaultName = (typeof dependencyFaultNames)[number]

/** What the faults meet. */
export interface DependencyFaultOptions {
  readonly store: EmulatedStore
  readonly targets: ReadonlyMap<string, EmulatedTarget>
  readonly lateOrders: LateOrders
  readonly random: RandomSource
  /** Writes a target's entry to the store. */
  readonly writeTargetEntry: (target: EmulatedTarget, draining: boolean) => void
}

/** Causes faults of the store and of targets that `random` picks. */
export class DependencyFaults {
  readonly #surroundings: DependencyFaultOptions

  constructor (surroundings: DependencyFaultOptions) {
    this.#surroundings = surroundings
  }

  /** @returns how to end the fault, if it lasts */
  inject (name: DependencyFaultName): (() => void) | undefined {
    const { store, lateOrders: late, random } = this.#surroundings
    switch (name) {
      case 'store-down': return this.#setStore('down')
      case 'store-silent': return this.#setStore('silent')
      case 'store-loses': return this.#setStore('lose-replies')
      case 'store-late': return this.#setStore('late-writes')
      case 'history': store.compactHistory(); return undefined
      case 'crash': { const target = this.pickTarget(); target.crash(); return () => { target.restart() } }
      case 'restart': this.pickTarget().restart(); return undefined
      case 'hang': return this.#setTarget('hangs')
      case 'fail': return this.#setTarget('fails')
      case 'reject': return this.#setTarget('rejects')
      case 'slow': { const target = this.pickTarget(); target.slowness = random.pickNumber(3, 8); return () => { target.slowness = 1 } }
      case 'late-orders': late.probability = random.pickNumber(2, 30) / 100; return () => { late.probability = 0 }
      case 'drain': return this.#drainTarget()
    }
  }

  pickTarget (): EmulatedTarget {
    return this.#surroundings.random.pick([...this.#surroundings.targets.values()])!
  }

  #setStore (fault: EmulatedStore['fault']): () => void {
    const { store } = this.#surroundings
    store.fault = fault
    return () => { store.fault = 'none' }
  }

  #setTarget (fault: EmulatedTarget['fault']): () => void {
    const target = this.pickTarget()
    target.fault = fault
    return () => { target.fault = 'none' }
  }

  #drainTarget (): (() => void) | undefined {
    const target = this.pickTarget()
    const { store, writeTargetEntry: announce } = this.#surroundings
    // A target can say that it leaves only to a store that hears it.
    if (store.fault !== 'none') return undefined
    announce(target, true)
    return () => { announce(target, false) }
  }
}
