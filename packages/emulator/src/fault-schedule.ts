import { type RandomSource } from './random-source.js'

/** Range in milliseconds of the pause between two faults, and of their length. */
const minPauseMs = 100
const maxPauseMs = 1_500
const minFaultMs = 300
const maxFaultMs = 5_000

interface ActiveFault {
  readonly at: number
  readonly end: () => void
}

/** Begins random faults, which overlap and repeat, and ends those that last. */
export class FaultSchedule<N extends string> {
  /** A line for each fault so far, with its time since the begin of the schedule. */
  readonly faults: string[] = []
  readonly #random: RandomSource
  readonly #names: readonly N[]
  readonly #inject: (name: N) => (() => void) | undefined
  readonly #begunAt: number
  #endings: ActiveFault[] = []
  #nextAt: number

  /**
   * @param inject - begins a fault, and returns how to end it if it lasts
   * @param now - time in milliseconds from which faults may begin
   */
  constructor (random: RandomSource, names: readonly N[], inject: (name: N) => (() => void) | undefined, now: number) {
    this.#random = random
    this.#names = names
    this.#inject = inject
    this.#begunAt = now
    this.#nextAt = now + minPauseMs
  }

  /** @returns the time in milliseconds after which a fault that begins next has ended */
  get latestNextFaultEnd (): number { return this.#nextAt + maxFaultMs }

  /** Ends and begins what is due. */
  update (now: number): void {
    this.endExpiredFaults(now)
    if (now < this.#nextAt) return
    this.#nextAt = now + this.#random.pickNumber(minPauseMs, maxPauseMs)
    const name = this.#random.pick(this.#names)!
    const lengthMs = this.#random.pickNumber(minFaultMs, maxFaultMs)
    const end = this.#inject(name)
    this.faults.push(`${Math.round(now - this.#begunAt)} ${name} for ${lengthMs} ms`)
    if (end !== undefined) this.#endings.push({ at: now + lengthMs, end })
  }

  /** Ends the faults that are due; all of them at `Infinity`. */
  endExpiredFaults (now: number): void {
    const due = this.#endings.filter(ending => ending.at <= now)
    this.#endings = this.#endings.filter(ending => ending.at > now)
    for (const { end } of due) end()
  }
}
