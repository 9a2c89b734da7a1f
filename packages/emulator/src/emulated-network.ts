import { type Clock } from '@sesamereel/coordination'
import { type EmulatedProcess } from './emulated-process.js'
import { LinkDelays } from './link-delays.js'

/** One-way latency in milliseconds between two endpoints. */
const latencyMs = 0.5

/** What a cut does to attempts to open a stream: `drops` lets them time out, `refuses` answers them at once. */
export type CutKind = 'drops' | 'refuses'

interface Cut {
  readonly kind: CutKind
}

/** Delivers calls and messages between named endpoints, and drops them in directions that are cut. */
export class EmulatedNetwork {
  readonly #clock: Clock
  /** The cuts in force, by direction as `from>to`; a direction may be cut several times over. */
  readonly #cuts = new Map<string, Set<Cut>>()
  readonly #processes = new Map<string, EmulatedProcess>()
  readonly #delays = new LinkDelays()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Lets a process handle the messages to an endpoint, in place of an earlier process. */
  attachProcess (endpoint: string, process: EmulatedProcess): void {
    this.#processes.set(endpoint, process)
  }

  /** @returns the clock by which the timers of an endpoint run */
  getClock (endpoint: string): Clock {
    return this.#processes.get(endpoint) ?? this.#clock
  }

  /**
   * Cuts one direction; messages in transit that arrive during the cut are dropped too.
   *
   * @param kind - what happens to attempts to open a stream
   * @returns a function that ends this cut and leaves others of the same direction in force
   */
  cut (from: string, to: string, kind: CutKind = 'drops'): () => void {
    const direction = `${from}>${to}`
    const cuts = this.#cuts.get(direction) ?? new Set()
    const cut: Cut = { kind }
    this.#cuts.set(direction, cuts.add(cut))
    return () => { cuts.delete(cut) }
  }

  /**
   * Cuts both directions between every endpoint of one group and every endpoint of the other.
   *
   * @returns a function that ends these cuts and no others
   */
  partition (first: readonly string[], second: readonly string[], kind: CutKind = 'drops'): () => void {
    const ends = first.flatMap(a => second.flatMap(b => [this.cut(a, b, kind), this.cut(b, a, kind)]))
    return () => { for (const end of ends) end() }
  }

  /**
   * Delays what is sent in one direction, as a full link does; it arrives in order.
   *
   * @returns a function that ends this delay and leaves others of the same direction in force
   */
  delay (from: string, to: string, ms: number): () => void {
    return this.#delays.add(from, to, ms)
  }

  /** Removes all cuts and delays. */
  heal (): void {
    this.#cuts.clear()
    this.#delays.clear()
  }

  /** @returns whether messages in this direction are delivered now */
  isOpen (from: string, to: string): boolean {
    return (this.#cuts.get(`${from}>${to}`)?.size ?? 0) === 0
  }

  /** @returns whether a stream in this direction is refused at once; a cut that drops messages hides one that refuses */
  isRefusing (from: string, to: string): boolean {
    const cuts = [...this.#cuts.get(`${from}>${to}`) ?? []]
    return cuts.length > 0 && cuts.every(cut => cut.kind === 'refuses')
  }

  /**
   * Runs a callback at the receiver after the latency, unless the direction is cut when the message is
   * sent or when it arrives. A process that has ended sends nothing.
   */
  deliver (from: string, to: string, callback: () => void): void {
    if (!this.isOpen(from, to) || this.#processes.get(from)?.hasEnded === true) return
    const arrivesInMs = this.#delays.scheduleArrival(from, to, this.#clock.now(), latencyMs)
    this.#clock.startTimer(arrivesInMs, () => { if (this.isOpen(from, to)) this.receive(to, callback) })
  }

  /**
   * Makes a call and waits for its reply.
   *
   * @param serve - runs at the called endpoint and passes on its reply
   * @returns the reply, or undefined when none came in time; the call may have been carried out
   */
  async call<T> (from: string, to: string, timeoutMs: number, serve: (reply: (value: T) => void) => void): Promise<T | undefined> {
    return await new Promise<T | undefined>(resolve => {
      const cancel = this.getClock(from).startTimer(timeoutMs, () => { resolve(undefined) })
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

  /** Hands a message that has arrived to the process of an endpoint. */
  receive (endpoint: string, callback: () => void): void {
    const process = this.#processes.get(endpoint)
    if (process === undefined) callback()
    else process.receive(callback)
  }
}
