import { setTimeout as delay } from 'node:timers/promises'
import { type RandomSource } from '@sesamereel/emulator'
import { type CallerSession } from './caller-session.js'
import { type Cluster } from './cluster.js'
import { type EntryProcess } from './cluster-model.js'
import { type ActiveFault, type FaultInjector } from './fault-injector.js'

const waitStepMs = 100

/** What all fault loops of a run share. */
export interface FaultEnvironment {
  readonly cluster: Cluster
  readonly injector: FaultInjector
  readonly session: CallerSession
  readonly customers: readonly string[]
  readonly isOver: () => boolean
  /** Superseded processes that were resumed; they must end by themselves. */
  readonly superseded: EntryProcess[]
  /** Failures of the run itself, such as an instance that did not become ready. */
  readonly problems: string[]
}

/** What the faults of one loop work with: the environment, random choices and reservations. */
export class FaultContext {
  readonly environment: FaultEnvironment
  readonly random: RandomSource
  readonly #busy: Set<string>

  /**
   * @param environment - shared by all fault loops
   * @param random - random choices of this loop
   * @param busy - names of the processes and parts that one of the fault loops is using now
   */
  constructor (environment: FaultEnvironment, random: RandomSource, busy: Set<string>) {
    this.environment = environment
    this.random = random
    this.#busy = busy
  }

  /**
   * Reserves a part of the system for one fault.
   *
   * @returns false when another fault uses the part
   */
  reserve (part: string): boolean {
    if (this.#busy.has(part)) return false
    this.#busy.add(part)
    return true
  }

  /**
   * Picks an item that no other fault uses, and reserves it.
   *
   * @param readName - returns the name of the part that an item is
   * @returns the item, or undefined when none is free
   */
  reserveOneOf<T> (items: readonly T[], readName: (item: T) => string): T | undefined {
    const item = this.random.pick(items.filter(candidate => !this.#busy.has(readName(candidate))))
    if (item !== undefined) this.#busy.add(readName(item))
    return item
  }

  /** Releases a reserved part. */
  release (part: string): void {
    this.#busy.delete(part)
  }

  /**
   * Lets a fault last for a random time, then ends it and releases its part.
   *
   * @param longestMs - longest duration of the fault
   */
  async hold (part: string, fault: ActiveFault, longestMs: number): Promise<void> {
    try {
      await this.waitAndEnd(fault, longestMs)
    } finally {
      this.release(part)
    }
  }

  /**
   * Lets a fault last for a random time, then ends it. Half of the faults last at most 3 s, so that
   * short ones are as likely as those that outlast a loan or a lease.
   *
   * @param longestMs - longest duration of the fault
   */
  async waitAndEnd (fault: ActiveFault, longestMs: number): Promise<void> {
    const isShort = this.random.drawBoolean(0.5)
    await this.wait(isShort ? this.random.pickInteger(300, 3_000) : this.random.pickInteger(3_000, longestMs))
    await fault.end()
  }

  /** Waits for a random time between two bounds in milliseconds, but not beyond the end of the run. */
  async waitBetween (shortestMs: number, longestMs: number): Promise<void> {
    await this.wait(this.random.pickInteger(shortestMs, longestMs))
  }

  /** Waits, but not beyond the end of the run. */
  async wait (ms: number): Promise<void> {
    const until = Date.now() + ms
    while (Date.now() < until && !this.environment.isOver()) {
      await delay(Math.min(waitStepMs, Math.max(1, until - Date.now())))
    }
  }
}
