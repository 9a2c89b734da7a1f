import { type RandomSource } from './random-source.js'

/** Range in milliseconds of the pause between two faults, and of their length. */
const shortestPauseMs = 100
const longestPauseMs = 1_500
const shortestFaultMs = 300
const longestFaultMs = 5_000

interface Ending {
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
  #endings: Ending[] = []
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
    this.#nextAt = now + shortestPauseMs
  }

  /** @returns the time in milliseconds after which a fault that begins next has ended */
  get nextEndsBy (): number { return this.#nextAt + longestFaultMs }

  /** Ends and begins what is due. */
  update (now: number): void {
    this.endDue(now)
    if (now < this.#nextAt) return
    this.#nextAt = now + this.#random.pickNumber(shortestPauseMs, longestPauseMs)
    const name = this.#random.pick(this.#names)!
    const lengthMs = this.#random.pickNumber(shortestFaultMs, longestFaultMs)
    const end = this.#inject(name)
    this.faults.push(`${Math.round(now - this.#begunAt)} ${name} for ${lengthMs} ms`)
    if (end !== undefined) this.#endings.push({ at: now + lengthMs, end })
  }

  /** Ends the faults that are due; all of them at `Infinity`. */
  endDue (now: number): void {
    const due = this.#endings.filter(ending => ending.at <= now)
    this.#endings = this.#endings.filter(ending => ending.at > now)
    for (const { end } of due) end()
  }
}
