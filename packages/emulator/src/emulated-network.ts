import { type Clock } from '@sesamereel/coordination'

/** One-way latency in milliseconds between two endpoints. */
const latencyMs = 0.5

/** Delivers calls and messages between named endpoints, and drops them in directions that are cut. */
export class EmulatedNetwork {
  readonly #clock: Clock
  /** Directions that are cut, as `from>to`. */
  readonly #cuts = new Set<string>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Cuts one direction; messages in transit that arrive during the cut are dropped too. */
  cut (from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`)
  }

  /** Cuts both directions between every endpoint of one group and every endpoint of the other. */
  partition (first: readonly string[], second: readonly string[]): void {
    for (const a of first) {
      for (const b of second) {
        this.cut(a, b)
        this.cut(b, a)
      }
    }
  }

  /** Removes all cuts. */
  heal (): void {
    this.#cuts.clear()
  }

  /** @returns whether messages in this direction are delivered now */
  isOpen (from: string, to: string): boolean {
    return !this.#cuts.has(`${from}>${to}`)
  }

  /** Runs a callback after the latency, unless the direction is cut when the message is sent or when it arrives. */
  deliver (from: string, to: string, callback: () => void): void {
    if (!this.isOpen(from, to)) return
    this.#clock.startTimer(latencyMs, () => { if (this.isOpen(from, to)) callback() })
  }

  /**
   * Makes a call and waits for its reply.
   *
   * @param serve - runs at the called endpoint and passes on its reply
   * @returns the reply, or undefined when none came in time; the call may have been carried out
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
