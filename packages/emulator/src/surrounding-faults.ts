import { type LateOrders } from './emulated-connector.js'
import { type EmulatedStore } from './emulated-store.js'
import { type EmulatedTarget } from './emulated-target.js'
import { type RandomSource } from './random-source.js'

/** Faults of the store and of targets. */
export const surroundingFaultNames = ['store-down', 'store-silent', 'store-loses', 'store-late', 'history', 'crash', 'restart', 'hang', 'fail', 'slow', 'reject', 'late-orders', 'drain'] as const

export type SurroundingFaultName = (typeof surroundingFaultNames)[number]

/** What the faults meet. */
export interface Surroundings {
  readonly store: EmulatedStore
  readonly targets: ReadonlyMap<string, EmulatedTarget>
  readonly late: LateOrders
  readonly random: RandomSource
  /** Writes a target's entry to the store. */
  readonly announce: (target: EmulatedTarget, draining: boolean) => void
}

/** Causes faults of the store and of targets that `random` picks. */
export class SurroundingFaults {
  readonly #surroundings: Surroundings

  constructor (surroundings: Surroundings) {
    this.#surroundings = surroundings
  }

  /** @returns how to end the fault, if it lasts */
  inject (name: SurroundingFaultName): (() => void) | undefined {
    const { store, late, random } = this.#surroundings
    switch (name) {
      case 'store-down': return this.#setStore('down')
      case 'store-silent': return this.#setStore('silent')
      case 'store-loses': return this.#setStore('lose-replies')
      case 'store-late': return this.#setStore('late-writes')
      case 'history': store.dropHistory(); return undefined
      case 'crash': { const target = this.pickTarget(); target.crash(); return () => { target.restart() } }
      case 'restart': this.pickTarget().restart(); return undefined
      case 'hang': return this.#setTarget('hangs')
      case 'fail': return this.#setTarget('fails')
      case 'reject': return this.#setTarget('rejects')
      case 'slow': { const target = this.pickTarget(); target.slowness = random.pickNumber(3, 8); return () => { target.slowness = 1 } }
      case 'late-orders': late.share = random.pickNumber(2, 30) / 100; return () => { late.share = 0 }
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
    const { store, announce } = this.#surroundings
    // A target can say that it leaves only to a store that hears it.
    if (store.fault !== 'none') return undefined
    announce(target, true)
    return () => { announce(target, false) }
  }
}
