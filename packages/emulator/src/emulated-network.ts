import { type Clock } from '@sesamereel/coordination'

/** Time in milliseconds of one way between two places. */
const latencyMs = 0.5

/** Carries calls and messages between named places, and loses them where a cut is. */
export class EmulatedNetwork {
  readonly #clock: Clock
  /** Directions that are cut, as `from>to`. */
  readonly #cuts = new Set<string>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  cut (from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`)
  }

  /** Cuts both directions between each of two groups of places. */
  partition (first: readonly string[], second: readonly string[]): void {
    for (const a of first) {
      for (const b of second) {
        this.cut(a, b)
        this.cut(b, a)
      }
    }
  }

  heal (): void {
    this.#cuts.clear()
  }

  isOpen (from: string, to: string): boolean {
    return !this.#cuts.has(`${from}>${to}`)
  }

  /** Runs a callback at the other place, unless the way is cut when the message is sent or arrives. */
  deliver (from: string, to: string, callback: () => void): void {
    if (!this.isOpen(from, to)) return
    this.#clock.startTimer(latencyMs, () => { if (this.isOpen(from, to)) callback() })
  }

  /**
   * Makes a call and waits for its reply.
   *
   * @returns undefined when no reply came in time; the call may have been carried out
   */
  async call<T> (from: string, to: string, timeoutMs: number, serve: (reply: (value: T) => void) => void): Promise<T | undefined> {
    return await new Promise<T | undefined>(resolve => {
      const cancel = this.#clock.startTimer(timeoutMs, () => { resolve(undefined) })
      this.deliver(from, to, () => {
        serve(value => {
          this.deliver(to, from, () => {
            cancel()
            resolve(value)
          })
        })
      })
    })
  }
}
