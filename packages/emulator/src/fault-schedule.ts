import { type RandomSource } from './random-source.js'

/** Ranges in milliseconds of the pause between the starts of two faults, and of the length of a fault. */
const minPauseMs = 100
const maxPauseMs = 1_500
const minFaultMs = 300
const maxFaultMs = 5_000

interface ActiveFault {
  readonly at: number
  readonly end: () => void
}

/** Injects random faults, which may overlap and repeat, and ends those that last for a time. */
export class FaultSchedule<N extends string> {
  /** A line for each fault so far: milliseconds since the start of the schedule, name and length. */
  readonly faults: string[] = []
  readonly #random: RandomSource
  readonly #names: readonly N[]
  readonly #inject: (name: N) => (() => void) | undefined
  readonly #startedAt: number
  #activeFaults: ActiveFault[] = []
  #nextAt: number

  /**
   * @param inject - starts a fault, and returns a function that ends it, or undefined for a fault without duration
   * @param now - current time in milliseconds; the first fault starts `minPauseMs` later at the earliest
   */
  constructor (random: RandomSource, names: readonly N[], inject: (name: N) => (() => void) | undefined, now: number) {
    this.#random = random
    this.#names = names
    this.#inject = inject
    this.#startedAt = now
    this.#nextAt = now + minPauseMs
  }

  /** Ends the faults that are due, and starts the next one when it is due. */
  update (now: number): void {
    this.endExpiredFaults(now)
    if (now < this.#nextAt) return
    this.#nextAt = now + this.#random.pickInteger(minPauseMs, maxPauseMs)
    const name = this.#random.pick(this.#names)!
    const lengthMs = this.#random.pickInteger(minFaultMs, maxFaultMs)
    const end = this.#inject(name)
    this.faults.push(`${Math.round(now - this.#startedAt)} ${name} for ${lengthMs} ms`)
    if (end !== undefined) this.#activeFaults.push({ at: now + lengthMs, end })
  }

  /** Ends the faults whose time has passed; `Infinity` ends all of them. */
  endExpiredFaults (now: number): void {
    const due = this.#activeFaults.filter(fault => fault.at <= now)
    this.#activeFaults = this.#activeFaults.filter(fault => fault.at > now)
    for (const { end } of due) end()
  }
}
